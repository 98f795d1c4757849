#include "bbv_fleet/crossing_limit.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using bbv::CrossingLimit;
using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(CrossingLimit){};

TEST(CrossingLimit, AllEntriesTogetherLeaveTheLinksHalfOfTheirTime) {
  // Plays 26 entries whose 117 calls a second all want a path across zones;
  // each takes 48 ms of the link.
  constexpr int kEntries = 26;
  constexpr double kCallMs = 48;
  std::vector<CrossingLimit> entries(kEntries);
  for (CrossingLimit& it : entries)
    it.SetEntries(kEntries);
  Instant now = Instant() + Milliseconds(100'000);
  double taken_ms = 0;
  constexpr int kCalls = 10 * 117;
  for (int call = 0; call < kCalls; ++call) {
    now += std::chrono::microseconds(10'000'000 / kCalls);
    CrossingLimit& entry = entries[call % kEntries];
    if (!entry.HasRoom(now))
      continue;
    entry.Spend(kCallMs);
    taken_ms += kCallMs;
  }
  CHECK(taken_ms <= 0.5 * 10'000 + 400 + kEntries * kCallMs);
  CHECK(taken_ms >= 0.4 * 10'000);
}

TEST(CrossingLimit, ASingleCallMayCrossAtOnce) {
  CrossingLimit limit;
  limit.SetEntries(26);
  CHECK(limit.HasRoom(Instant() + Milliseconds(1000)));
}
