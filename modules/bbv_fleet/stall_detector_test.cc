#include "bbv_fleet/stall_detector.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::StallDetector;
using bbv::StreamActivity;

TEST_GROUP(StallDetector) {
  const Instant now = Instant() + Milliseconds(10'000);
  const std::vector<std::string> path_b = {"a", "b", "d"};
  const std::vector<std::string> path_c = {"a", "c", "d"};

  StreamActivity Stream(const std::vector<std::string>& hops, int idle_ms) {
    return {&hops, now - Milliseconds(idle_ms), 28};
  }
};

TEST(StallDetector, SuspectsTheHopThatOnlyStalledStreamsShare) {
  // Two streams lost a hop 100 ms ago; the paths of the others avoid it.
  const auto suspects =
      StallDetector::FindSuspects({Stream(path_b, 100), Stream(path_b, 110),
                                   Stream(path_c, 10), Stream(path_c, 25)},
                                  now);
  CHECK_EQUAL(1, static_cast<int>(suspects.size()));
  STRCMP_EQUAL("b", suspects[0].c_str());
}

TEST(StallDetector, SuspectsEveryHopWithoutAnActiveStream) {
  CHECK_EQUAL(
      3, static_cast<int>(StallDetector::FindSuspects(
                              {Stream(path_b, 100), Stream(path_b, 110)}, now)
                              .size()));
}

TEST(StallDetector, OneStalledStreamIsNotSufficient) {
  CHECK(StallDetector::FindSuspects({Stream(path_b, 200), Stream(path_c, 10)},
                                    now)
            .empty());
}

TEST(StallDetector, IgnoresPausesWithinTheExpectedInterval) {
  CHECK(
      StallDetector::FindSuspects({Stream(path_b, 80), Stream(path_b, 85)}, now)
          .empty());
  std::vector<StreamActivity> slow = {Stream(path_b, 200), Stream(path_b, 210)};
  for (StreamActivity& it : slow)
    it.event_ms = 100;
  CHECK(StallDetector::FindSuspects(slow, now).empty());
}

TEST(StallDetector, SuspectsNoTargetWhenEveryPathStalls) {
  // This happens when the entry itself was suspended.
  std::vector<std::vector<std::string>> paths(40);
  std::vector<StreamActivity> streams;
  for (std::size_t it = 0; it < paths.size(); ++it) {
    for (int hop = 0; hop < 3; ++hop)
      paths[it].push_back("t" + std::to_string((it / 2) * 3 + hop));
    streams.push_back(Stream(paths[it], 150));
  }
  CHECK(StallDetector::FindSuspects(streams, now).empty());
}
