#include "bbv_fleet/target_loss_detector.h"

#include <CppUTest/TestHarness.h>

#include "tests/fleet_fixtures.h"

using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetLossDetector) {
  bbv::TargetLossDetector detector;
  bbv::TargetRegistry registry;
  Instant now = Instant() + Milliseconds(1000);

  void setup() override {
    registry.Apply(bbv_test::MakeRecord("t", "s", "a"), now);
  }
  bool IsLost(bool usable, int after_ms) {
    return detector.IsLost("t", *registry.Find("t"), usable,
                           now + Milliseconds(after_ms));
  }
};

TEST(TargetLossDetector, TargetIsLostAfterTheTimeout) {
  CHECK(!IsLost(false, 0));
  CHECK(!IsLost(false, 199));
  CHECK(IsLost(false, 200));
  CHECK(!IsLost(true, 210));
  CHECK(!IsLost(false, 220));
}

TEST(TargetLossDetector, LeavingTargetIsLostImmediately) {
  registry.MarkLeaving("t", 1);
  CHECK(IsLost(false, 0));
}

// A lost target stays in the list for seconds. Guards against counting it as a
// new loss in every planning round, which would postpone the replication of its
// layers until the list is updated.
TEST(TargetLossDetector, LossOfAListedTargetIsCountedOnce) {
  for (int at = 0; at < 4000; at += 100)
    IsLost(false, at);
  CHECK(detector.last_loss() == now);
  IsLost(true, 4000);
  IsLost(false, 4100);
  CHECK(detector.last_loss() == now + Milliseconds(4100));
}
