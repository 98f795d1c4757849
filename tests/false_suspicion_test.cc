#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"

using std::chrono::milliseconds;

TEST_GROUP(FalseSuspicion) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<bbv::FleetFloor> floor;
  std::vector<bbv::StreamAnswer> answers = std::vector<bbv::StreamAnswer>(6);
  std::vector<std::thread> callers;
  std::vector<std::thread> late_callers;

  // Starts streams of 2 s that are all whole if nothing disturbs them.
  void StartStreams() {
    options.event_ms = 20;
    options.events = 100;
    floor = std::make_unique<bbv::FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    for (std::size_t it = 0; it < answers.size(); ++it) {
      callers.emplace_back([this, it] {
        answers[it] = floor->Stream(0, "s" + std::to_string(it));
      });
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
  void JoinCallers() {
    for (std::thread& it : callers)
      it.join();
    callers.clear();
    for (std::thread& it : late_callers)
      it.join();
    late_callers.clear();
  }
  void teardown() override {
    JoinCallers();
    floor.reset();
  }
};

TEST(FalseSuspicion, ATargetThatAnswersLateKeepsTheStreamsThatItServes) {
  StartStreams();
  for (int it = 0; it < options.engines; ++it)
    floor->targets().DelayAnswers(it, milliseconds(1000));
  // No event within 400 ms: the entry asks the target, which does not answer
  // the status request either, while the other streams go on.
  for (int it = 0; it < 3; ++it) {
    late_callers.emplace_back(
        [this, it] { floor->Stream(0, "late" + std::to_string(it)); });
  }
  JoinCallers();
  for (const bbv::StreamAnswer& it : answers) {
    CHECK(it.whole);
    CHECK_EQUAL(options.events, static_cast<int>(it.events.size()));
  }
  for (std::size_t it = 0; it < answers.size(); ++it) {
    CHECK_EQUAL(1,
                floor->targets().ExecutionCounts()["s" + std::to_string(it)]);
  }
}
