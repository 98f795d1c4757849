#ifndef TESTS_DEADLY_FLEET_H_
#define TESTS_DEADLY_FLEET_H_

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "background_callers.h"
#include "fleet_floor.h"

namespace bbv {

// Three entries before targets that some calls crash, with callers.
//
// Thread safety: as FleetFloor.
class DeadlyFleet {
 public:
  static constexpr int kEntries = 3;
  // First part of all prompts.
  static constexpr char kFirstPart[] = "f1";
  // Users' bound: calls that may reach targets after the time to act.
  static constexpr int kMaxLaterCalls = 3;
  static constexpr std::chrono::milliseconds kTimeToAct{3000};
  static constexpr std::chrono::milliseconds kDeadlyInterval{150};
  static constexpr std::chrono::milliseconds kSoundInterval{60};

  explicit DeadlyFleet(const standins::FleetTargets::Options& options)
      : floor_(kEntries, options) {}

  FleetFloor& floor() { return floor_; }

  // Sends a stream every `interval`, at the next entry in turn; `middle_part`
  // returns the second part of the prompt of call `n`.
  std::unique_ptr<BackgroundCallers> SendStreams(
      const std::string& name,
      std::chrono::milliseconds interval,
      const std::function<std::string(int n)>& middle_part,
      const std::string& path = "/stream/x") {
    return std::make_unique<BackgroundCallers>(
        interval, [this, name, path, middle_part](int n) {
          const std::string id = name + std::to_string(n);
          return floor_
              .Stream(n % kEntries, id,
                      std::string(kFirstPart) + ":40," + middle_part(n) +
                          ":60," + id + ":9",
                      path)
              .whole;
        });
  }
  // Sends a call of a plain service every `interval`, at the next entry in
  // turn.
  std::unique_ptr<BackgroundCallers> SendPlainCalls(
      const std::string& name,
      std::chrono::milliseconds interval,
      const std::string& path) {
    return std::make_unique<BackgroundCallers>(
        interval, [this, name, path](int n) {
          const auto answer =
              floor_.Call(n % kEntries, path, name + std::to_string(n));
          return answer && answer->status == 200;
        });
  }
  // Streams with the same first part as the deadly ones and one of seven second
  // parts.
  std::unique_ptr<BackgroundCallers> SendSoundStreams() {
    return SendStreams("sound", kSoundInterval,
                       [](int n) { return "5" + std::to_string(n % 7); });
  }

  // Waits until `crashes` targets have crashed and the entries had time to act,
  // and returns how many deadly calls reach targets in the seconds after that.
  // Fewer crashes mean that the entries have acted earlier.
  int CountLaterCalls(int crashes) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (floor_.targets().DeadlyCrashCount() < crashes &&
           std::chrono::steady_clock::now() < deadline)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    std::this_thread::sleep_for(kTimeToAct);
    const int calls = floor_.targets().DeadlyCallCount();
    std::this_thread::sleep_for(2 * kTimeToAct + std::chrono::seconds(1));
    return floor_.targets().DeadlyCallCount() - calls;
  }

  // Whether at least half of the calls of the next seconds are served.
  static bool AreServed(const BackgroundCallers& callers) {
    const int ended = callers.ended();
    const int served = callers.served();
    std::this_thread::sleep_for(std::chrono::seconds(4));
    return callers.ended() - ended >= 20 &&
           2 * (callers.served() - served) >= callers.ended() - ended;
  }

 private:
  FleetFloor floor_;
};

// Base of the test groups with such a fleet: sound calls, and calls that crash
// their targets.
class DeadlyFleetTest : public Utest {
 protected:
  void teardown() override {
    deadly.reset();
    sound.reset();
    fleet.reset();
  }
  void StartFleet() {
    fleet = std::make_unique<DeadlyFleet>(options);
    if (!fleet->floor().Start())
      FAIL(("could not start: " + fleet->floor().Output(0)).c_str());
  }
  // Starts streams that crash targets, after a second with sound ones alone.
  void StartStreams(const std::string& deadly_middle_part,
                    const std::string& deadly_path = "/stream/x") {
    sound = fleet->SendSoundStreams();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    deadly = fleet->SendStreams(
        "deadly", DeadlyFleet::kDeadlyInterval,
        [deadly_middle_part](int) { return deadly_middle_part; }, deadly_path);
  }
  void CheckFewLaterCalls(int crashes_to_learn) {
    const int later_calls = fleet->CountLaterCalls(crashes_to_learn);
    if (later_calls > DeadlyFleet::kMaxLaterCalls)
      FAIL((std::to_string(later_calls) + " more calls reached targets")
               .c_str());
  }

  standins::FleetTargets::Options options;
  std::unique_ptr<DeadlyFleet> fleet;
  std::unique_ptr<BackgroundCallers> sound;
  std::unique_ptr<BackgroundCallers> deadly;
};

}  // namespace bbv

#endif  // TESTS_DEADLY_FLEET_H_
