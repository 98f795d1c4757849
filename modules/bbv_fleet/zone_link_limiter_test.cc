#include "bbv_fleet/zone_link_limiter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::ZoneLinkLimiter;

TEST_GROUP(ZoneLinkLimiter){};

TEST(ZoneLinkLimiter, AllEntriesTogetherUseAtMostHalfOfTheLinkTime) {
  // Simulates 26 entries that together receive 117 calls per second. Every call
  // requests a path across zones and uses the link for 48 ms.
  constexpr int kEntries = 26;
  constexpr double kCallMs = 48;
  std::vector<ZoneLinkLimiter> entries(kEntries);
  for (ZoneLinkLimiter& it : entries)
    it.SetEntries(kEntries);
  Instant now = Instant() + Milliseconds(100'000);
  double consumed_ms = 0;
  constexpr int kCalls = 10 * 117;
  for (int call = 0; call < kCalls; ++call) {
    now += std::chrono::microseconds(10'000'000 / kCalls);
    ZoneLinkLimiter& entry = entries[call % kEntries];
    if (!entry.HasCapacity(now))
      continue;
    entry.Consume(kCallMs);
    consumed_ms += kCallMs;
  }
  CHECK(consumed_ms <= 0.5 * 10'000 + 400 + kEntries * kCallMs);
  CHECK(consumed_ms >= 0.4 * 10'000);
}

TEST(ZoneLinkLimiter, AdmitsASingleCallImmediately) {
  ZoneLinkLimiter limit;
  limit.SetEntries(26);
  CHECK(limit.HasCapacity(Instant() + Milliseconds(1000)));
}
