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

// Guards against learning anew: all entries were killed after enough crashes,
// but before the output that the verdict needed.
TEST(DeadlyPart, RestartOfAllEntriesForgetsCrashesWithoutAVerdict) {
  constexpr std::chrono::milliseconds kRareDeadlyInterval{3600};
  constexpr std::chrono::milliseconds kRareSoundInterval{5000};
  constexpr std::chrono::milliseconds kAfterCrash{100};
  options.restart_ms = 3000;
  StartFleet();
  sound = fleet->SendStreams("sound", kRareSoundInterval,
                             [](int n) { return "5" + std::to_string(n % 7); });
  deadly = fleet->SendStreams("deadly", kRareDeadlyInterval,
                              [](int) { return std::string(kDeadlyPart); });
  standins::FleetTargets& targets = fleet->floor().targets();
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(15);
  while (targets.DeadlyCrashCount() < kCrashesToLearn &&
         std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  std::this_thread::sleep_for(kAfterCrash);
  for (int it = 0; it < DeadlyFleet::kEntries; ++it)
    fleet->floor().Signal(it, SIGKILL);
  for (int it = 0; it < DeadlyFleet::kEntries; ++it) {
    fleet->floor().WaitForExit(it);
    fleet->floor().StartEntry(it);
  }
  std::this_thread::sleep_for(DeadlyFleet::kTimeToAct);
  const int calls = targets.DeadlyCallCount();
  std::this_thread::sleep_for(6 * kRareDeadlyInterval);
  const int later_calls = targets.DeadlyCallCount() - calls;
  if (later_calls > DeadlyFleet::kMaxLaterCalls)
    FAIL((std::to_string(later_calls) + " more calls reached targets").c_str());
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
