#include "bbv_front/connection_eviction.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using bbv::ConnectionActivity;
using bbv::ConnectionEviction;
using bbv::Instant;
using bbv::Milliseconds;
using Phase = bbv::ConnectionPhase;

TEST_GROUP(ConnectionEviction) {
  const Instant start = Instant() + Milliseconds(1000);
  std::vector<ConnectionActivity> connections;

  void Add(Phase phase, int progress_ms) {
    connections.push_back(
        {connections.size() + 1, phase, start + Milliseconds(progress_ms)});
  }
  // The id that is chosen 1000 ms after the start; 0 for none.
  uint64_t Chosen() const {
    return ConnectionEviction::Choose(connections, start + Milliseconds(1000))
        .value_or(0);
  }
};

TEST(ConnectionEviction, ABusyConnectionIsNeverClosed) {
  Add(Phase::kBusy, 0);
  CHECK_EQUAL(0, Chosen());
}

TEST(ConnectionEviction, APeerThatStandsStillGoesBeforeAnIdleOne) {
  Add(Phase::kIdle, 0);
  Add(Phase::kRequestPartial, 300);
  Add(Phase::kAnswerUntaken, 200);
  CHECK_EQUAL(3, Chosen());
}

TEST(ConnectionEviction, ACallerInTheMiddleOfItsRequestOutlastsACrowd) {
  Add(Phase::kRequestPartial, 990);
  for (int it = 0; it < 100; ++it)
    Add(Phase::kRequestPartial, 600 + it);
  CHECK_EQUAL(2, Chosen());
  Add(Phase::kIdle, 999);
  CHECK_EQUAL(102, Chosen());
}
