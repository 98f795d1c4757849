#include "bbv_core/hashing.h"

#include <xxhash.h>

namespace bbv {

uint64_t HashBytes(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint32_t HashBytes32(std::string_view data) {
  return static_cast<uint32_t>(HashBytes(data));
}

Hash128 HashBytes128(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return {hash.high64, hash.low64};
}

uint64_t CombineHashes(uint64_t left, uint64_t right) {
  return XXH3_64bits_withSeed(&left, sizeof(left), right);
}

bool RendezvousBefore(uint32_t key, uint32_t left, uint32_t right) {
  const uint64_t left_hash = CombineHashes(key, left);
  const uint64_t right_hash = CombineHashes(key, right);
  return left_hash != right_hash ? left_hash < right_hash : left < right;
}

}  // namespace bbv
