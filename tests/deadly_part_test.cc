#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "background_callers.h"
#include "fleet_floor.h"

namespace bbv {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDeadlyPart[] = "dead";
constexpr char kFirstPart[] = "f1";
constexpr int kEntries = 3;
// Crashes after which the part must be known, the time to act on it, and the
// calls that may reach targets after that.
constexpr int kCrashesToLearn = 5;
constexpr milliseconds kTimeToAct{3000};
constexpr int kMaxLaterCalls = 3;
constexpr milliseconds kDeadlyInterval{150};
constexpr milliseconds kSoundInterval{60};

}  // namespace

TEST_GROUP(DeadlyPart) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void setup() override {
    options.engines = 12;
    options.events = 20;
    options.deadly_part = kDeadlyPart;
  }
  void teardown() override {
    floor.reset();
  }
  void StartFleet() {
    floor = std::make_unique<FleetFloor>(kEntries, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  bool WaitForCrashes(int count, milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (floor->targets().DeadlyPartCrashCount() < count) {
      if (std::chrono::steady_clock::now() >= deadline)
        return false;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
  }
  // Sends a stream every `interval`, at the next entry in turn; `middle_part`
  // returns the second part of the prompt of call `n`.
  std::unique_ptr<BackgroundCallers> Send(
      const std::string& name, milliseconds interval,
      const std::function<std::string(int n)>& middle_part) {
    return std::make_unique<BackgroundCallers>(
        interval, [this, name, middle_part](int n) {
          const std::string id = name + std::to_string(n);
          return floor
              ->Stream(n % kEntries, id,
                       std::string(kFirstPart) + ":40," + middle_part(n) +
                           ":60," + id + ":9")
              .whole;
        });
  }
  // Waits until the part can be known, and checks how many calls with it reach
  // targets in the seconds after that.
  void CheckFewLaterCalls() {
    // Fewer crashes than that mean that the part was recognized earlier.
    WaitForCrashes(kCrashesToLearn, seconds(10));
    std::this_thread::sleep_for(kTimeToAct);
    const int calls = floor->targets().DeadlyPartCallCount();
    std::this_thread::sleep_for(2 * kTimeToAct + seconds(1));
    const int later_calls = floor->targets().DeadlyPartCallCount() - calls;
    if (later_calls > kMaxLaterCalls)
      FAIL((std::to_string(later_calls) + " more calls reached targets")
               .c_str());
  }
};

// One part of a prompt crashed one target after the other.
TEST(DeadlyPart, CallsWithAPartThatCrashesTargetsKeepReachingThem) {
  StartFleet();
  const auto sound = Send("sound", kSoundInterval,
                          [](int n) { return "5" + std::to_string(n % 7); });
  std::this_thread::sleep_for(seconds(1));
  const auto deadly =
      Send("deadly", kDeadlyInterval, [](int) { return kDeadlyPart; });
  CheckFewLaterCalls();
  const int ended = sound->ended();
  const int served = sound->served();
  std::this_thread::sleep_for(seconds(4));
  // Sound calls with the same first part are served as if nothing happened.
  CHECK(sound->ended() - ended >= 20);
  CHECK(2 * (sound->served() - served) >= sound->ended() - ended);
}

TEST(DeadlyPart, ErrorResponsesClearAPartThatCrashesTargets) {
  options.failing_every = 2;
  StartFleet();
  const auto sound = Send("sound", kSoundInterval,
                          [](int n) { return "5" + std::to_string(n % 7); });
  std::this_thread::sleep_for(seconds(1));
  const auto deadly =
      Send("deadly", kDeadlyInterval, [](int) { return kDeadlyPart; });
  CheckFewLaterCalls();
}

}  // namespace bbv
