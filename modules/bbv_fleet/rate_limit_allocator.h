#ifndef MODULES_BBV_FLEET_RATE_LIMIT_ALLOCATOR_H_
#define MODULES_BBV_FLEET_RATE_LIMIT_ALLOCATOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bbv {

// An entry that has calls for a target with a rate limit.
struct RateClaim {
  // Short hashes of the target's id and of the entry's address.
  uint32_t target = 0;
  uint32_t member = 0;
  // Whether the entry is in the target's zone.
  bool is_in_zone = false;
};

// Decides which entries share the rate limit of each target.
//
// A limit may be too low for every entry to have a part of it. It is therefore
// shared by as many entries as can have one request per second each, at least
// by one and at most by kMaxHolders. Entries in the target's zone go first, the
// order among equals follows from a hash of target and entry. Two relays with
// the same claims decide alike. A pure function. Thread safe.
class RateLimitAllocator {
 public:
  static constexpr int kMaxHolders = 16;

  // Returns the number of entries that share a limit.
  static int HolderCount(double per_second);

  // Returns the claims that are granted. `limit_of` returns the limit of a
  // target; claims on targets without a limit are dropped.
  static std::vector<RateClaim> Allocate(
      std::vector<RateClaim> claims,
      const std::function<std::optional<double>(uint32_t target)>& limit_of);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RATE_LIMIT_ALLOCATOR_H_
