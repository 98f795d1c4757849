#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"
#include "raw_caller.h"
#include "real_floor.h"

using bbv::FleetFloor;
using bbv::RawCaller;
using bbv::RealFloor;
using bbv::RequestText;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Answers, by attempt id.
using Answers = std::map<std::string, std::string>;

}  // namespace

// A stopping entry takes calls only if they can end before it exits.
TEST_GROUP(EntryStop) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet(int stop_timeout_s = 8, int stream_wait_ms = 5000) {
    floor = std::make_unique<FleetFloor>(2, options, stop_timeout_s);
    floor->SetStreamWait(stream_wait_ms);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }

  // Waits until `entry` has handled its stop signal.
  void WaitForStop(int entry) const {
    while (floor->Output(entry).find("node-leaving") == std::string::npos)
      std::this_thread::sleep_for(milliseconds(5));
  }

  // Stops the first entry and sends it a call every `interval` for `span`;
  // waits for all answers.
  Answers SendThroughStop(const std::string& path, milliseconds span,
                          milliseconds interval) {
    std::vector<std::pair<std::string, RawCaller>> callers;
    floor->Signal(0, SIGTERM);
    const auto began = Clock::now();
    for (milliseconds at{}; at < span; at += interval) {
      std::this_thread::sleep_until(began + at);
      const std::string id = "at-" + std::to_string(at.count());
      callers.emplace_back(id, RawCaller(floor->callers_port(0)));
      CHECK(callers.back().second.Send(RequestText(path, id)));
    }
    Answers answers;
    for (auto& [id, caller] : callers)
      answers[id] = caller.Receive(9000);
    CHECK_EQUAL(0, floor->WaitForExit(0));
    return answers;
  }

  // Checks that each call has an answer of its target, or was refused and has
  // not run. Returns the number of calls that were answered by a target.
  int CheckAnsweredOrRefused(const Answers& answers) {
    const std::map<std::string, int> runs = floor->targets().ExecutionCounts();
    int answered = 0;
    for (const auto& [id, answer] : answers) {
      const std::string shown = (id + ": ").append(answer);
      if (answer.starts_with("HTTP/1.1 200")) {
        CHECK_TEXT(answer.ends_with("done for account"), shown.c_str());
        CHECK_EQUAL_TEXT(1, runs.at(id), shown.c_str());
        ++answered;
      } else {
        CHECK_TEXT(answer.starts_with("HTTP/1.1 503"), shown.c_str());
        CHECK_TEXT(answer.find("Retry-After: ") != std::string::npos,
                   shown.c_str());
        CHECK_TEXT(!runs.contains(id), shown.c_str());
      }
    }
    return answered;
  }
};

TEST(EntryStop, UnsafeCallsAsSlowAsTheirRoutePermitsAreNotCut) {
  // The routes' limit is 5 s.
  options.work_ms = 4800;
  StartFleet();
  const Answers answers =
      SendThroughStop("/unsafe/x", milliseconds(7000), milliseconds(350));
  CHECK_EQUAL(20, static_cast<int>(answers.size()));
  // Until 2.7 s after the signal the limit of the calls passes in time.
  CHECK(CheckAnsweredOrRefused(answers) >= 7);
}

TEST(EntryStop, CallsWhoseLimitExceedsTheStopAreNotCut) {
  // The routes' limit is 5 s, the stop deadline 4.7 s.
  options.work_ms = 2000;
  StartFleet(5);
  RawCaller caller(floor->callers_port(0));
  CHECK(caller.Send(RequestText("/unsafe/x", "before")));
  STRNCMP_EQUAL("HTTP/1.1 200", caller.Receive(4000, "done").c_str(), 12);
  const Answers answers =
      SendThroughStop("/unsafe/x", milliseconds(4000), milliseconds(150));
  CHECK_EQUAL(27, static_cast<int>(answers.size()));
  CHECK(CheckAnsweredOrRefused(answers) >= 2);
}

TEST(EntryStop, AStopTimeoutThatWasShortenedWithoutASignalHolds) {
  options.work_ms = 4500;
  StartFleet();
  RawCaller caller(floor->callers_port(0));
  CHECK(caller.Send(RequestText("/unsafe/x", "open")));
  std::this_thread::sleep_for(milliseconds(150));
  floor->SetStopTimeout(0, 3);
  floor->Signal(0, SIGTERM);
  // The process is killed at the new timeout.
  const std::string answer = caller.Receive(3000);
  floor->Signal(0, SIGKILL);
  STRNCMP_EQUAL("HTTP/1.1 502", answer.c_str(), 12);
}

TEST(EntryStop, AReloadDuringTheStopDoesNotMoveItsEnd) {
  options.work_ms = 4500;
  StartFleet();
  floor->SetStopTimeout(1, 3);
  floor->Signal(1, SIGHUP);
  RawCaller shortened(floor->callers_port(0));
  RawCaller extended(floor->callers_port(1));
  CHECK(shortened.Send(RequestText("/unsafe/x", "shortened")));
  CHECK(extended.Send(RequestText("/unsafe/x", "extended")));
  std::this_thread::sleep_for(milliseconds(150));
  for (const int entry : {0, 1}) {
    floor->Signal(entry, SIGTERM);
    std::this_thread::sleep_for(milliseconds(50));
    floor->SetStopTimeout(entry, entry == 0 ? 3 : 8);
    floor->Signal(entry, SIGHUP);
  }
  STRNCMP_EQUAL("HTTP/1.1 502", extended.Receive(2900).c_str(), 12);
  STRNCMP_EQUAL("HTTP/1.1 200", shortened.Receive(4000).c_str(), 12);
}

TEST(EntryStop, StreamsThatOutlastTheStopAreRefusedAfterItsSignal) {
  // Streams of 5.2 s; a stop ends open calls after 5.7 s.
  options.event_ms = 40;
  options.events = 130;
  options.timeout_ms = 20'000;
  StartFleet(6, 20'000);
  std::vector<bbv::StreamAnswer> usual(4);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < usual.size(); ++it) {
    callers.emplace_back([this, &usual, it] {
      usual[it] = floor->Stream(0, "usual-" + std::to_string(it));
    });
  }
  for (std::thread& it : callers)
    it.join();
  callers.clear();
  for (const bbv::StreamAnswer& it : usual)
    CHECK(it.whole);
  std::vector<bbv::StreamAnswer> answers(6);
  floor->Signal(0, SIGTERM);
  for (std::size_t it = 0; it < answers.size(); ++it) {
    std::this_thread::sleep_for(milliseconds(120));
    callers.emplace_back([this, &answers, it] {
      answers[it] = floor->Stream(0, "late-" + std::to_string(it));
    });
  }
  for (std::thread& it : callers)
    it.join();
  const std::map<std::string, int> runs = floor->targets().ExecutionCounts();
  for (std::size_t it = 0; it < answers.size(); ++it) {
    const bool is_refused = answers[it].status == 503 &&
                            !runs.contains("late-" + std::to_string(it));
    CHECK_TEXT(answers[it].whole || is_refused, floor->Output(0).c_str());
  }
}

TEST(EntryStop, RefusedCallersWaitLongAlthoughAnotherEntryServes) {
  // The routes' limit is 5 s, the stop deadline 4.7 s.
  StartFleet(5);
  const auto refusal = [this](int entry, const std::string& id) {
    RawCaller caller(floor->callers_port(entry));
    CHECK(caller.Send(RequestText("/unsafe/x", id)));
    return caller.Receive(1000);
  };
  floor->Signal(0, SIGTERM);
  WaitForStop(0);
  const std::string answer = refusal(0, "other-serves");
  STRNCMP_EQUAL("HTTP/1.1 503", answer.c_str(), 12);
  STRCMP_CONTAINS("Retry-After: 0.05\r\n", answer.c_str());
  floor->Signal(1, SIGTERM);
  WaitForStop(1);
  // The other entry hears of the stop with the next messages.
  std::string last;
  for (int it = 0;
       it < 15 && last.find("Retry-After: 0.5\r\n") == std::string::npos;
       ++it) {
    std::this_thread::sleep_for(milliseconds(100));
    last = refusal(0, "none-serves-" + std::to_string(it));
  }
  STRCMP_CONTAINS("Retry-After: 0.5\r\n", last.c_str());
}

// The same for an entry with sides.
TEST_GROUP(EntryNodeStop) {
  RealFloor::Shape shape;

  void setup() override {
    shape.entries = 1;
    shape.stages = 1;
    shape.replicas = 1;
    shape.services = 0;
    shape.step_us = 20'000;
  }
};

TEST(EntryNodeStop, AStreamThatMayOutlastTheStopIsRefusedAsNotRun) {
  shape.stop_timeout_ms = 2000;
  RealFloor floor(shape);
  CHECK_TRUE(floor.started());
  floor.Signal("e0", SIGTERM);
  std::this_thread::sleep_for(milliseconds(500));
  // About 3 s.
  const auto answer = floor.Complete(0, 0, "late", 150, true);
  CHECK_FALSE(answer.whole);
  CHECK_EQUAL(503, answer.status);
  STRCMP_EQUAL("not-run", answer.outcome.c_str());
  CHECK_EQUAL(0, floor.WaitForExit("e0"));
}

TEST(EntryNodeStop, StreamsThatFitIntoTheStopAreTakenUntilTheBalancerKnows) {
  shape.stop_timeout_ms = 6000;
  shape.request_timeout_ms = 4000;
  RealFloor floor(shape);
  CHECK_TRUE(floor.started());
  floor.Signal("e0", SIGTERM);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK_TRUE(floor.Complete(0, 0, "in time", 100, true).whole);
  CHECK_EQUAL(0, floor.WaitForExit("e0"));
}
