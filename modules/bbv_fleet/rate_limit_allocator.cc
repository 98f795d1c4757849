#include "bbv_fleet/rate_limit_allocator.h"

#include <algorithm>
#include <cmath>

#include "bbv_core/hashing.h"
#include "bbv_fleet/target_rate_limit.h"

namespace bbv {
namespace {

bool RanksBefore(const RateClaim& left, const RateClaim& right) {
  if (left.target != right.target)
    return left.target < right.target;
  if (left.is_in_zone != right.is_in_zone)
    return left.is_in_zone;
  return RendezvousBefore(left.target, left.member, right.member);
}

}  // namespace

int RateLimitAllocator::HolderCount(double per_second) {
  const double holders = std::floor(TargetRateLimit::kUsablePart * per_second);
  return static_cast<int>(
      std::clamp(holders, 1.0, static_cast<double>(kMaxHolders)));
}

std::vector<RateClaim> RateLimitAllocator::Allocate(
    std::vector<RateClaim> claims,
    const std::function<std::optional<double>(uint32_t target)>& limit_of) {
  std::sort(claims.begin(), claims.end(), RanksBefore);
  std::vector<RateClaim> granted;
  for (auto first = claims.begin(); first != claims.end();) {
    const auto end = std::find_if(
        first, claims.end(),
        [first](const RateClaim& it) { return it.target != first->target; });
    if (const auto limit = limit_of(first->target)) {
      const auto count = std::min<std::ptrdiff_t>(HolderCount(*limit),
                                                  std::distance(first, end));
      granted.insert(granted.end(), first, first + count);
    }
    first = end;
  }
  return granted;
}

}  // namespace bbv
