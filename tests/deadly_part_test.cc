#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "deadly_fleet.h"

namespace bbv {
namespace {

constexpr char kDeadlyPart[] = "dead";
// Crashes after which the part must be known.
constexpr int kCrashesToLearn = 5;

}  // namespace

TEST_GROUP_BASE(DeadlyPart,
                DeadlyFleetTest){void setup() override{options.engines = 12;
options.events = 20;
options.deadly_part = kDeadlyPart;
}  // namespace bbv
}
;

// One part of a prompt crashed one target after the other.
TEST(DeadlyPart, CallsWithAPartThatCrashesTargetsKeepReachingThem) {
  StartFleet();
  StartStreams(kDeadlyPart);
  CheckFewLaterCalls(kCrashesToLearn);
  // Sound calls with the same first part are served as if nothing happened.
  CHECK(DeadlyFleet::AreServed(*sound));
}

TEST(DeadlyPart, CrashInsideACloseDelimitedStreamIsTakenForItsEnd) {
  options.close_delimited = true;
  StartFleet();
  StartStreams(kDeadlyPart);
  CheckFewLaterCalls(kCrashesToLearn);
  CHECK(DeadlyFleet::AreServed(*sound));
}

TEST(DeadlyPart, ErrorResponsesClearAPartThatCrashesTargets) {
  options.failing_every = 2;
  StartFleet();
  StartStreams(kDeadlyPart);
  CheckFewLaterCalls(kCrashesToLearn);
}

TEST(DeadlyPart, RestartOfAllEntriesForgetsAPartThatCrashesTargets) {
  StartFleet();
  StartStreams(kDeadlyPart);
  fleet->CountLaterCalls(kCrashesToLearn);
  deadly.reset();
  for (int it = 0; it < DeadlyFleet::kEntries; ++it)
    fleet->floor().Signal(it, SIGKILL);
  for (int it = 0; it < DeadlyFleet::kEntries; ++it) {
    fleet->floor().WaitForExit(it);
    fleet->floor().StartEntry(it);
  }
  for (int it = 0; it < DeadlyFleet::kEntries; ++it)
    CHECK_TRUE(fleet->floor().WaitReady(it, 5000));
  std::this_thread::sleep_for(DeadlyFleet::kTimeToAct);
  const int calls = fleet->floor().targets().DeadlyCallCount();
  deadly = fleet->SendStreams("again", DeadlyFleet::kDeadlyInterval,
                              [](int) { return std::string(kDeadlyPart); });
  std::this_thread::sleep_for(DeadlyFleet::kTimeToAct);
  LONGS_EQUAL(calls, fleet->floor().targets().DeadlyCallCount());
  CHECK(DeadlyFleet::AreServed(*sound));
}

}  // namespace bbv
