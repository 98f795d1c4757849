#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet_floor.h"

using std::chrono::milliseconds;

// Sound targets that fall silent for a second or two and go on.
TEST_GROUP(SilentTarget) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<bbv::FleetFloor> floor;
  std::vector<bbv::StreamAnswer> answers = std::vector<bbv::StreamAnswer>(6);
  std::vector<std::thread> callers;

  void StartFloor(const char* retries = bbv::FleetFloor::kUsualRetries) {
    options.event_ms = 20;
    options.events = 40;
    floor = std::make_unique<bbv::FleetFloor>(1, options, 8, retries);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  // Starts streams that last 0.8 s if nothing disturbs them.
  void StartStreams(const std::string& id = "s",
                    const std::string& path = "/stream/x") {
    for (std::size_t it = 0; it < answers.size(); ++it) {
      callers.emplace_back([this, it, id, path] {
        answers[it] = floor->Stream(0, id + std::to_string(it), {}, path);
      });
    }
  }
  // Silences the holder of `layer` while streams run on `path`.
  void SilenceUnderWay(int layer, milliseconds duration,
                       const std::string& path) {
    const std::string id = path + std::to_string(layer);
    StartStreams(id, path);
    std::this_thread::sleep_for(milliseconds(300));
    floor->targets().FallSilent(floor->targets().FindHolder(layer), duration);
    CheckWhole();
    CheckRunsOnce(id);
  }
  // Engines whose first layer is `layer`.
  std::vector<int> HoldersFrom(int layer) {
    std::vector<int> holders;
    for (int it = 0; it < options.engines; ++it) {
      if (floor->targets().FirstLayerOf(it) == layer)
        holders.push_back(it);
    }
    return holders;
  }
  void CheckRunsOnce(const std::string& id) {
    const auto runs = floor->targets().ExecutionCounts();
    for (std::size_t it = 0; it < answers.size(); ++it)
      CHECK_EQUAL(1, runs.at(id + std::to_string(it)));
  }
  void SilenceAllEngines(milliseconds duration) {
    for (int it = 0; it < options.engines; ++it)
      floor->targets().FallSilent(it, duration);
  }
  void JoinCallers() {
    for (std::thread& it : callers)
      it.join();
    callers.clear();
  }
  void CheckWhole() {
    JoinCallers();
    std::vector<int> events(options.events);
    std::iota(events.begin(), events.end(), 1);
    for (const bbv::StreamAnswer& it : answers) {
      CHECK_EQUAL(options.events, static_cast<int>(it.events.size()));
      CHECK(it.events == events);
      CHECK(it.whole);
    }
  }
  void teardown() override {
    JoinCallers();
    floor.reset();
  }
};

TEST(SilentTarget, StreamsAreNotBrokenOffForTheSilenceOfTheirTargets) {
  StartFloor();
  StartStreams();
  std::this_thread::sleep_for(milliseconds(300));
  SilenceAllEngines(milliseconds(3600));
  CheckWhole();
}

TEST(SilentTarget, StreamsOfAStoppingEntryAreNotBrokenOffForSilence) {
  StartFloor();
  StartStreams();
  std::this_thread::sleep_for(milliseconds(300));
  floor->Signal(0, SIGTERM);
  SilenceAllEngines(milliseconds(3600));
  CheckWhole();
}

TEST(SilentTarget, CallsWithoutAnEventAreNotFailedForSilence) {
  StartFloor();
  SilenceAllEngines(milliseconds(3600));
  StartStreams();
  CheckWhole();
}

TEST(SilentTarget, ARunIsNotEndedForAnotherTargetThatRefusesTheCall) {
  StartFloor();
  StartStreams();
  std::this_thread::sleep_for(milliseconds(300));
  const int first = floor->targets().FindHolder(0);
  floor->targets().FallSilent(first, milliseconds(1500));
  for (int it = 0; it < options.engines; ++it)
    floor->targets().RejectRequests(it, "0");
  CheckWhole();
  CheckRunsOnce("s");
}

TEST(SilentTarget, CallsAreNotRefusedOnceTheOnlyTargetOfTheirLayersHasGoneOn) {
  options.engines = 3;
  options.layers = 9;
  StartFloor();
  SilenceUnderWay(4, milliseconds(1500), "/stream/x");
  StartStreams("later");
  CheckWhole();
}

TEST(SilentTarget, StreamsThroughASilentLaterHopMoveAtOnceAndRunOnce) {
  options.engines = 8;
  StartFloor(bbv::FleetFloor::kNoRetries);
  const std::vector<std::pair<int, const char*>> rounds = {{4, "/stream/x"},
                                                           {10, "/once/x"}};
  for (const auto& [layer, path] : rounds) {
    const int changes = floor->targets().PathChangeCount();
    const auto began = std::chrono::steady_clock::now();
    SilenceUnderWay(layer, milliseconds(2500), path);
    CHECK(std::chrono::steady_clock::now() < began + milliseconds(2000));
    CHECK(floor->targets().PathChangeCount() > changes);
  }
}

TEST(SilentTarget,
     APathThatASilentFirstTargetChangedLateIsKnownWhenItsHopDies) {
  options.engines = 8;
  StartFloor(bbv::FleetFloor::kNoRetries);
  StartStreams();
  std::this_thread::sleep_for(milliseconds(300));
  const std::vector<int> middle = HoldersFrom(3);
  CHECK_EQUAL(2, static_cast<int>(middle.size()));
  floor->targets().FallSilent(middle[0], milliseconds(1500));
  std::this_thread::sleep_for(milliseconds(120));
  for (const int it : HoldersFrom(0))
    floor->targets().FallSilent(it, milliseconds(900));
  std::this_thread::sleep_for(milliseconds(1130));
  CHECK(floor->targets().PathChangeCount() > 0);
  floor->targets().Crash(middle[1]);
  CheckWhole();
  CheckRunsOnce("s");
}
