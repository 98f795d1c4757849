#include "bbv_fleet/call_trait.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <memory>
#include <utility>

namespace bbv {
namespace {

// Bounds the evidence that one call can bring.
constexpr std::size_t kMaxPartTraits = 64;
constexpr int kHexadecimal = 16;
// Set in the traits of requests, cleared in those of parts, which clients name.
constexpr uint64_t kRequestBit = 1ULL << 63U;
constexpr std::string_view kRequestPrefix = "request-";

// Adds a field with its length, so that the borders between fields count.
void HashField(std::string_view field, EVP_MD_CTX* context) {
  const uint64_t n = field.size();
  EVP_DigestUpdate(context, &n, sizeof(n));
  EVP_DigestUpdate(context, field.data(), field.size());
}

}  // namespace

std::vector<uint64_t> PartTraits(const std::vector<uint64_t>& prompt_parts) {
  std::vector<uint64_t> shared;
  for (std::size_t it = 0; it + 1 < prompt_parts.size(); ++it) {
    if (shared.size() == kMaxPartTraits)
      break;
    const uint64_t trait = prompt_parts[it] & ~kRequestBit;
    if (std::find(shared.begin(), shared.end(), trait) == shared.end())
      shared.push_back(trait);
  }
  return shared;
}

uint64_t RequestTrait(const RequestIdentity& identity) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  if (context == nullptr ||
      EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
    std::abort();
  HashField(identity.account, context.get());
  HashField(identity.method, context.get());
  HashField(identity.path, context.get());
  HashField(identity.body, context.get());
  if (EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1)
    std::abort();
  uint64_t trait = 0;
  for (std::size_t it = 0; it < sizeof(trait); ++it)
    trait = trait << 8U | digest[it];
  return trait | kRequestBit;
}

bool IsRequestTrait(uint64_t trait) {
  return (trait & kRequestBit) != 0;
}

std::string FormatTraits(const std::vector<uint64_t>& traits) {
  std::string text;
  for (const uint64_t it : traits) {
    std::array<char, 16> digits{};
    const auto result =
        std::to_chars(digits.data(), digits.data() + digits.size(),
                      it & ~kRequestBit, kHexadecimal);
    if (!text.empty())
      text += ',';
    if (IsRequestTrait(it))
      text += kRequestPrefix;
    text.append(digits.data(), result.ptr);
  }
  return text;
}

CallTraits::CallTraits(const RequestIdentity& identity,
                       std::vector<uint64_t> parts)
    : identity_(identity), parts_(std::move(parts)) {}

const std::vector<uint64_t>& CallTraits::Get() const {
  if (!all_) {
    all_.emplace({RequestTrait(identity_)});
    all_->insert(all_->end(), parts_.begin(), parts_.end());
  }
  return *all_;
}

}  // namespace bbv
