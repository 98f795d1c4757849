#include <CppUTest/TestHarness.h>

#include <signal.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "real_floor.h"

namespace {

using bbv::CompletionAnswer;
using bbv::RealFloor;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kSilence{1500};
constexpr milliseconds kLongSilence{6000};
constexpr milliseconds kCallUnderWay{250};
constexpr int kCallMs = 600;
// The answer comes after the silence of the entry has been noticed.
constexpr int kLongCallMs = 1600;
constexpr int kCallsOfAKind = 4;
// A side that is gone is noticed by its connection's end.
constexpr milliseconds kNoticeTime{800};

// What the callers of one kind of call got.
struct Calls {
  int served = 0;
  std::vector<std::string> failures;
  std::vector<std::string> ids;
  milliseconds longest{0};
};

// Callers that each wait for one request.
class Callers {
 public:
  explicit Callers(RealFloor* floor) : floor_(floor) {}
  ~Callers() { Join(); }

  void Call(const std::string& method,
            const std::string& path,
            const std::string& key,
            Calls* calls) {
    threads_.emplace_back([=, this] {
      const auto began = steady_clock::now();
      const auto answer = floor_->Call(0, 0, method, path, "", key);
      const std::scoped_lock lock(mutex_);
      calls->longest =
          std::max(calls->longest, std::chrono::duration_cast<milliseconds>(
                                       steady_clock::now() - began));
      if (!answer || answer->status != 200) {
        calls->failures.push_back(
            method + " " + path + " key \"" + key + "\": " +
            (answer ? std::to_string(answer->status) + " " + answer->body
                    : "no answer"));
        return;
      }
      ++calls->served;
      calls->ids.push_back(nlohmann::json::parse(answer->body)["id"]);
    });
  }

  void Stream(const std::string& prompt, int tokens, Calls* calls) {
    threads_.emplace_back([=, this] {
      const CompletionAnswer answer =
          floor_->Complete(0, 0, prompt, tokens, true);
      const bool whole =
          answer.whole && answer.text == floor_->ExpectedText(prompt, tokens);
      const std::scoped_lock lock(mutex_);
      if (whole)
        ++calls->served;
      else
        calls->failures.push_back(prompt + ": " +
                                  std::to_string(answer.status) + " " +
                                  answer.outcome + ", last event " +
                                  std::to_string(answer.last_event_id));
    });
  }

  void Join() {
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
  }

 private:
  RealFloor* floor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

void Pause(RealFloor* floor,
           const std::vector<std::string>& processes,
           milliseconds time) {
  for (const std::string& process : processes)
    floor->Signal(process, SIGSTOP);
  std::this_thread::sleep_for(time);
  for (const std::string& process : processes)
    floor->Signal(process, SIGCONT);
}

void CheckServed(int expected, const Calls& calls) {
  for (const std::string& failure : calls.failures)
    UT_PRINT(failure.c_str());
  CHECK_EQUAL(expected, calls.served);
}

void CheckRanOnce(const RealFloor& floor, const Calls& calls) {
  const auto runs = floor.ServiceRuns();
  for (const std::string& id : calls.ids)
    CHECK_EQUAL(1, runs.at(id));
}

void SlowDownServices(RealFloor* floor, int call_ms = kCallMs) {
  const std::string delay = nlohmann::json{{"delay_ms", call_ms}}.dump();
  CHECK_TRUE(floor->Control("service-s0", delay));
  CHECK_TRUE(floor->Control("service-s1", delay));
}

// Lets `processes` fall silent while calls of each kind run.
void CheckCallsOutlastSilence(const std::vector<std::string>& processes,
                              int call_ms = kCallMs) {
  RealFloor floor({.stages = 0});
  CHECK_TRUE(floor.started());
  SlowDownServices(&floor, call_ms);
  Calls unsafe;
  Calls keyed;
  Calls safe;
  Callers callers(&floor);
  for (int it = 0; it < kCallsOfAKind; ++it) {
    callers.Call("POST", "/bookings", "", &unsafe);
    callers.Call("POST", "/bookings", "key-" + std::to_string(it), &keyed);
    callers.Call("GET", "/benches", "", &safe);
  }
  std::this_thread::sleep_for(kCallUnderWay);
  Pause(&floor, processes, kSilence);
  callers.Join();
  CheckServed(kCallsOfAKind, unsafe);
  CheckServed(kCallsOfAKind, keyed);
  CheckServed(kCallsOfAKind, safe);
  CheckRanOnce(floor, unsafe);
  CheckRanOnce(floor, keyed);
}

// Lets `process` of the only chain fall silent while streams run.
void CheckStreamsOutlastSilence(const std::string& process,
                                milliseconds silence) {
  RealFloor floor({.replicas = 1, .services = 0, .step_us = 3000});
  CHECK_TRUE(floor.started());
  constexpr int kStreams = 8;
  Calls streams;
  Callers callers(&floor);
  for (int it = 0; it < kStreams; ++it)
    callers.Stream("silence " + std::to_string(it), 60, &streams);
  std::this_thread::sleep_for(kCallUnderWay);
  Pause(&floor, {process}, silence);
  callers.Join();
  CheckServed(kStreams, streams);
  CHECK_TRUE(floor.EngineTraceFaults().empty());
}

}  // namespace

TEST_GROUP(SilentSide){};

TEST(SilentSide, CallsAreLostWhileOneSideOfTheServiceIsSilent) {
  CheckCallsOutlastSilence({"side-s0"});
}

TEST(SilentSide, CallsAreLostWhileAllSidesOfTheServiceAreSilent) {
  CheckCallsOutlastSilence({"side-s0", "side-s1"});
}

TEST(SilentSide, CallsAreLostWhileTheirEntryIsSilent) {
  CheckCallsOutlastSilence({"e0"}, kLongCallMs);
}

TEST(SilentSide, CallsAreLostWhileTheServiceItselfIsSilent) {
  CheckCallsOutlastSilence({"service-s0", "service-s1"});
}

TEST(SilentSide, StreamsOfTheOnlyChainEndAfterAShortSilence) {
  CheckStreamsOutlastSilence("side-t1-0", kSilence);
}

TEST(SilentSide, StreamsOfTheOnlyChainEndDuringALongSilence) {
  CheckStreamsOutlastSilence("side-t1-0", kLongSilence);
}

TEST(SilentSide, StreamsOfTheOnlyChainEndWhileAnEngineIsSilent) {
  CheckStreamsOutlastSilence("engine-t1-0", kSilence);
}

TEST(SilentSide, StreamsOfTheOnlyChainEndWhileTheirEntryIsSilent) {
  CheckStreamsOutlastSilence("e0", kSilence);
}

TEST(SilentSide, ADeadSideHoldsItsCallsForItsSilence) {
  RealFloor floor({.stages = 0});
  CHECK_TRUE(floor.started());
  SlowDownServices(&floor);
  Calls unsafe;
  Calls safe;
  Callers callers(&floor);
  for (int it = 0; it < kCallsOfAKind; ++it) {
    callers.Call("POST", "/bookings", "", &unsafe);
    callers.Call("GET", "/benches", "", &safe);
  }
  std::this_thread::sleep_for(kCallUnderWay);
  floor.Signal("side-s0", SIGKILL);
  floor.Signal("side-s1", SIGKILL);
  callers.Join();
  CHECK_EQUAL(0, unsafe.served);
  CHECK_TRUE(unsafe.longest < kCallUnderWay + kNoticeTime);
  CHECK_TRUE(safe.longest < kCallUnderWay + kNoticeTime);
}

TEST(SilentSide, ASideThatDiesSilentHoldsItsCalls) {
  RealFloor floor({.stages = 0});
  CHECK_TRUE(floor.started());
  SlowDownServices(&floor);
  Calls unsafe;
  Callers callers(&floor);
  for (int it = 0; it < kCallsOfAKind; ++it)
    callers.Call("POST", "/bookings", "", &unsafe);
  std::this_thread::sleep_for(kCallUnderWay);
  for (const char* side : {"side-s0", "side-s1"})
    floor.Signal(side, SIGSTOP);
  std::this_thread::sleep_for(kSilence);
  for (const char* side : {"side-s0", "side-s1"})
    floor.Signal(side, SIGKILL);
  callers.Join();
  CHECK_EQUAL(0, unsafe.served);
  CHECK_TRUE(unsafe.longest < kCallUnderWay + kSilence + kNoticeTime);
}
