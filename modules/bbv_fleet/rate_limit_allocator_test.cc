#include "bbv_fleet/rate_limit_allocator.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace bbv {
namespace {

constexpr uint32_t kTarget = 77;

std::vector<RateClaim> Allocate(std::vector<RateClaim> claims, double limit) {
  return RateLimitAllocator::Allocate(
      std::move(claims),
      [limit](uint32_t) -> std::optional<double> { return limit; });
}

std::vector<RateClaim> MakeClaims(uint32_t count, bool is_in_zone) {
  std::vector<RateClaim> claims;
  for (uint32_t it = 1; it <= count; ++it)
    claims.push_back({kTarget, it + (is_in_zone ? 0 : 1000), is_in_zone});
  return claims;
}

}  // namespace

TEST_GROUP(RateLimitAllocator){};

TEST(RateLimitAllocator, LowLimitIsHeldByOneEntryOfManyInItsZone) {
  auto claims = MakeClaims(350, false);
  const auto near = MakeClaims(3, true);
  claims.insert(claims.end(), near.begin(), near.end());
  const auto granted = Allocate(claims, 0.4);
  CHECK_EQUAL(1U, granted.size());
  CHECK_TRUE(granted.front().is_in_zone);
}

TEST(RateLimitAllocator, EachHolderCanSendOneRequestPerSecond) {
  CHECK_EQUAL(3U, Allocate(MakeClaims(350, true), 5).size());
  CHECK_EQUAL(RateLimitAllocator::kMaxHolders,
              static_cast<int>(Allocate(MakeClaims(350, true), 1e6).size()));
}

TEST(RateLimitAllocator, EntriesWithoutCallsHoldNoPart) {
  CHECK_EQUAL(1U, Allocate(MakeClaims(1, false), 50).size());
  CHECK_TRUE(Allocate({}, 50).empty());
}

TEST(RateLimitAllocator, OrderOfClaimsDoesNotMatter) {
  auto claims = MakeClaims(20, true);
  const auto granted = Allocate(claims, 3);
  std::reverse(claims.begin(), claims.end());
  const auto again = Allocate(claims, 3);
  CHECK_EQUAL(granted.size(), again.size());
  for (std::size_t it = 0; it < granted.size(); ++it)
    CHECK_EQUAL(granted[it].member, again[it].member);
}

TEST(RateLimitAllocator, TargetsWithoutALimitAreDropped) {
  const auto none = RateLimitAllocator::Allocate(
      MakeClaims(2, true),
      [](uint32_t) -> std::optional<double> { return std::nullopt; });
  CHECK_TRUE(none.empty());
}

}  // namespace bbv
