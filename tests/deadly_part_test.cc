#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "deadly_fleet.h"

namespace bbv {
namespace {

constexpr char kDeadlyPart[] = "dead";
// Crashes after which the part must be known.
constexpr int kCrashesToLearn = 5;

}  // namespace

TEST_GROUP(DeadlyPart) {
  standins::FleetTargets::Options options;
  std::unique_ptr<DeadlyFleet> fleet;
  std::unique_ptr<BackgroundCallers> sound;
  std::unique_ptr<BackgroundCallers> deadly;

  void setup() override {
    options.engines = 12;
    options.events = 20;
    options.deadly_part = kDeadlyPart;
  }
  void teardown() override {
    deadly.reset();
    sound.reset();
    fleet.reset();
  }
  void StartCalls() {
    fleet = std::make_unique<DeadlyFleet>(options);
    if (!fleet->floor().Start())
      FAIL(("could not start: " + fleet->floor().Output(0)).c_str());
    sound = fleet->SendSoundStreams();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    deadly = fleet->SendStreams("deadly", DeadlyFleet::kDeadlyInterval,
                                [](int) { return kDeadlyPart; });
  }
  void CheckFewLaterCalls() {
    const int later_calls = fleet->CountLaterCalls(kCrashesToLearn);
    if (later_calls > DeadlyFleet::kMaxLaterCalls)
      FAIL((std::to_string(later_calls) + " more calls reached targets")
               .c_str());
  }
};

// One part of a prompt crashed one target after the other.
TEST(DeadlyPart, CallsWithAPartThatCrashesTargetsKeepReachingThem) {
  StartCalls();
  CheckFewLaterCalls();
  // Sound calls with the same first part are served as if nothing happened.
  CHECK(DeadlyFleet::AreServed(*sound));
}

TEST(DeadlyPart, ErrorResponsesClearAPartThatCrashesTargets) {
  options.failing_every = 2;
  StartCalls();
  CheckFewLaterCalls();
}

}  // namespace bbv
