#include "bbv_fleet/loss_watch.h"

#include <CppUTest/TestHarness.h>

#include "tests/fleet_fixtures.h"

using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetLossDetector) {
  bbv::TargetLossDetector watch;
  bbv::TargetBoard board;
  Instant now = Instant() + Milliseconds(1000);

  void setup() override {
    board.Apply(bbv_test::MakeRecord("t", "s", "a"), now);
  }
  bool IsLost(bool usable, int after_ms) {
    return watch.IsLost("t", *board.Find("t"), usable,
                        now + Milliseconds(after_ms));
  }
};

TEST(TargetLossDetector,
     ATargetIsLostOnceItHasBeenUnusableForLongerThanAPause) {
  CHECK(!IsLost(false, 0));
  CHECK(!IsLost(false, 199));
  CHECK(IsLost(false, 200));
  CHECK(!IsLost(true, 210));
  CHECK(!IsLost(false, 220));
}

TEST(TargetLossDetector, ALeavingTargetIsLostAtOnce) {
  board.MarkLeaving("t", 1);
  CHECK(IsLost(false, 0));
}

// Load: a target is lost and stays on the list for seconds. Layers are doubled
// again some time after the loss, not only once the list tells of it.
TEST(TargetLossDetector, AListedLossCountsAsOneChange) {
  for (int at = 0; at < 4000; at += 100)
    IsLost(false, at);
  CHECK(watch.last_loss() == now);
  IsLost(true, 4000);
  IsLost(false, 4100);
  CHECK(watch.last_loss() == now + Milliseconds(4100));
}
