#ifndef MODULES_BBV_CORE_HASHING_H_
#define MODULES_BBV_CORE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace bbv {

// A 128-bit hash value.
struct Hash128 {
  uint64_t high = 0;
  uint64_t low = 0;
};

// Returns the XXH3 hash of `data`; not for secrets. Thread safe.
uint64_t HashBytes(std::string_view data, uint64_t seed = 0);

// Returns the low half of HashBytes, as messages between entries name targets
// and members. Thread safe.
uint32_t HashBytes32(std::string_view data);

// As HashBytes with 128 bits, for identities that must not collide.
Hash128 HashBytes128(std::string_view data);

// Returns a value mixed from two, for rendezvous choices. Thread safe.
uint64_t CombineHashes(uint64_t left, uint64_t right);

}  // namespace bbv

#endif  // MODULES_BBV_CORE_HASHING_H_
