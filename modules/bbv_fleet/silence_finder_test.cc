#include "bbv_fleet/silence_finder.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::StallDetector;
using bbv::StreamActivity;

TEST_GROUP(StallDetector) {
  const Instant now = Instant() + Milliseconds(10'000);
  const std::vector<std::string> by_b = {"a", "b", "d"};
  const std::vector<std::string> by_c = {"a", "c", "d"};

  StreamActivity Pulse(const std::vector<std::string>& hops, int silent_ms) {
    return {&hops, now - Milliseconds(silent_ms), 28};
  }
};

TEST(StallDetector, NamesTheHopThatOnlySilentStreamsHave) {
  // Two streams lost a hop 100 ms ago; the others run past it.
  const auto suspects = StallDetector::FindSuspects(
      {Pulse(by_b, 100), Pulse(by_b, 110), Pulse(by_c, 10), Pulse(by_c, 25)},
      now);
  CHECK_EQUAL(1, static_cast<int>(suspects.size()));
  STRCMP_EQUAL("b", suspects[0].c_str());
}

TEST(StallDetector, NamesEveryHopWhenNoStreamRunsPastThem) {
  CHECK_EQUAL(3, static_cast<int>(StallDetector::FindSuspects(
                                      {Pulse(by_b, 100), Pulse(by_b, 110)}, now)
                                      .size()));
}

TEST(StallDetector, OneSilentStreamProvesNothing) {
  CHECK(StallDetector::FindSuspects({Pulse(by_b, 200), Pulse(by_c, 10)}, now)
            .empty());
}

TEST(StallDetector, TakesNoUsualPauseForSilence) {
  CHECK(StallDetector::FindSuspects({Pulse(by_b, 80), Pulse(by_b, 85)}, now)
            .empty());
  std::vector<StreamActivity> slow = {Pulse(by_b, 200), Pulse(by_b, 210)};
  for (StreamActivity& it : slow)
    it.event_ms = 100;
  CHECK(StallDetector::FindSuspects(slow, now).empty());
}

TEST(StallDetector, AsksNobodyWhenEveryPathIsSilent) {
  // As when this entry itself was paused.
  std::vector<std::vector<std::string>> paths(40);
  std::vector<StreamActivity> streams;
  for (std::size_t it = 0; it < paths.size(); ++it) {
    for (int hop = 0; hop < 3; ++hop)
      paths[it].push_back("t" + std::to_string((it / 2) * 3 + hop));
    streams.push_back(Pulse(paths[it], 150));
  }
  CHECK(StallDetector::FindSuspects(streams, now).empty());
}
