#ifndef MODULES_BBV_FLEET_CALL_TRAIT_H_
#define MODULES_BBV_FLEET_CALL_TRAIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// Traits of a call that it may share with others and by which it may crash its
// target: parts of its prompt, and the request as a whole. A trait is a 64-bit
// id, whose highest bit tells the two kinds apart.

// What makes two requests the same: they come from the same client account and
// have the same method, path with query, and body.
struct RequestIdentity {
  // Empty if the route needs no account.
  std::string_view account;
  std::string_view method;
  std::string_view path;
  std::string_view body;
};

// Returns the traits that the parts of a prompt give a call: all but the last,
// which no other request has, each once, up to a limit. Thread safe.
std::vector<uint64_t> PartTraits(const std::vector<uint64_t>& prompt_parts);

// Returns the trait of a request as a whole. It is taken from a cryptographic
// hash, so that no client can find a request of its own with the trait of
// another one. Thread safe.
uint64_t RequestTrait(const RequestIdentity& identity);

// Whether a trait is that of a whole request. Thread safe.
bool IsRequestTrait(uint64_t trait);

// Returns the traits as text, separated by commas: parts as hexadecimal
// numbers, requests with "request-" before theirs. Thread safe.
std::string FormatTraits(const std::vector<uint64_t>& traits);

// The traits of one call. The hash over its body is computed on first use, as
// hardly any call needs it.
//
// Thread safety: none, owned by the call's thread.
class CallTraits {
 public:
  // What `identity` refers to must outlive this object. `parts` are the call's
  // PartTraits().
  CallTraits(const RequestIdentity& identity, std::vector<uint64_t> parts);

  // Returns all traits, that of the request first.
  const std::vector<uint64_t>& Get() const;

 private:
  RequestIdentity identity_;
  std::vector<uint64_t> parts_;
  mutable std::optional<std::vector<uint64_t>> all_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CALL_TRAIT_H_
