#include "bbv_fleet/call_durations.h"

#include <CppUTest/TestHarness.h>

#include "tests/fleet_fixtures.h"

using bbv::CallDurations;
using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(CallDurations) {
  CallDurations durations;
  Instant start{std::chrono::hours(1)};

  int64_t LongestAt(const char* route, int seconds) const {
    return durations.Longest(route, start + std::chrono::seconds(seconds))
        .value_or(Milliseconds(-1))
        .count();
  }
  int64_t PercentileAt(const char* route, int percent, int seconds) const {
    return durations
        .Percentile(route, percent, start + std::chrono::seconds(seconds))
        .value_or(Milliseconds(-1))
        .count();
  }
  void RecordAt(const char* route, int duration_ms, int seconds) {
    durations.Record(route, Milliseconds(duration_ms),
                     start + std::chrono::seconds(seconds));
  }
};

TEST(CallDurations, KeepsTheLongestOfEachRoute) {
  CHECK_EQUAL(-1, LongestAt("a", 0));
  RecordAt("a", 40, 0);
  RecordAt("a", 900, 1);
  RecordAt("a", 50, 2);
  CHECK_EQUAL(900, LongestAt("a", 2));
  CHECK_EQUAL(-1, LongestAt("b", 2));
}

TEST(CallDurations, ALongCallCountsForAWindowAtLeastAndTwoAtMost) {
  RecordAt("a", 40, 0);
  RecordAt("a", 900, 59);
  RecordAt("a", 50, 60);
  CHECK_EQUAL(900, LongestAt("a", 119));
  RecordAt("a", 60, 120);
  CHECK_EQUAL(60, LongestAt("a", 120));
}

TEST(CallDurations, NothingIsKnownAfterALongSilence) {
  RecordAt("a", 900, 0);
  CHECK_EQUAL(900, LongestAt("a", 119));
  CHECK_EQUAL(-1, LongestAt("a", 120));
  RecordAt("b", 40, 120);
  CHECK_EQUAL(-1, LongestAt("a", 120));
}

TEST(CallDurations, APercentileIsRoundedUpToAStep) {
  CHECK_EQUAL(-1, PercentileAt("a", 90, 0));
  for (int it = 0; it < 9; ++it)
    RecordAt("a", 100, 0);
  RecordAt("a", 5100, 0);
  CHECK_EQUAL(250, PercentileAt("a", 90, 0));
  CHECK_EQUAL(5250, PercentileAt("a", 91, 0));
  CHECK_EQUAL(-1, PercentileAt("b", 90, 0));
}

TEST(CallDurations, APercentileBeyondAllStepsIsTheLongestDuration) {
  RecordAt("a", 90'000, 0);
  CHECK_EQUAL(90'000, PercentileAt("a", 50, 0));
}

TEST(CallDurations, APercentileForgetsOldCalls) {
  RecordAt("a", 9000, 0);
  RecordAt("a", 100, 60);
  CHECK_EQUAL(9250, PercentileAt("a", 90, 119));
  RecordAt("a", 100, 120);
  CHECK_EQUAL(250, PercentileAt("a", 90, 120));
}
