#ifndef MODULES_BBV_CORE_HASHING_H_
#define MODULES_BBV_CORE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace bbv {

struct Hash128 {
  uint64_t high = 0;
  uint64_t low = 0;
};

// Returns the 64-bit XXH3 hash of `data`. Not a cryptographic hash. Thread
// safe.
uint64_t HashBytes(std::string_view data, uint64_t seed = 0);

// Returns the low 32 bits of HashBytes(data), which identify targets and
// members in messages between entries. Thread safe.
uint32_t HashBytes32(std::string_view data);

// Returns the 128-bit XXH3 hash of `data`, for identifiers that must not
// collide. Thread safe.
Hash128 HashBytes128(std::string_view data);

// Returns a hash that combines `left` and `right`, as used for rendezvous
// hashing. Thread safe.
uint64_t CombineHashes(uint64_t left, uint64_t right);

// Whether `left` comes before `right` in the order of rendezvous hashing for
// `key`, which all processes compute alike. Thread safe.
bool RendezvousBefore(uint32_t key, uint32_t left, uint32_t right);

}  // namespace bbv

#endif  // MODULES_BBV_CORE_HASHING_H_
