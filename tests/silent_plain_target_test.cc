#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"

using bbv::FleetFloor;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Sound plain targets that fall silent for a second or two and go on.
TEST_GROUP(SilentPlainTarget) {
  // Ends during the silence.
  static constexpr int kShortDeadlineMs = 1200;

  struct Answer {
    int status = 0;
    std::string body;
    milliseconds took{0};
  };

  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;
  std::map<std::string, Answer> answers;
  std::vector<std::thread> callers;

  void StartFloor() {
    options.engines = 4;
    options.plain_padding = 1000;
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void StartCall(const std::string& path, const std::string& id,
                 int deadline_ms = 3000) {
    Answer* const answer = &answers[id];
    callers.emplace_back([this, path, id, deadline_ms, answer] {
      httplib::Client client("127.0.0.1", floor->callers_port(0));
      client.set_read_timeout(6);
      const auto began = steady_clock::now();
      const auto result = client.Post(
          path, bbv::MakeCallHeaders(id, deadline_ms), "body", "text/plain");
      if (result) {
        answer->status = result->status;
        answer->body = result->body;
      }
      answer->took =
          std::chrono::duration_cast<milliseconds>(steady_clock::now() - began);
    });
  }
  // Starts calls of every kind; those to "/feed/" make the entry suspect a
  // silent target.
  void StartCalls(const std::string& prefix) {
    for (const char* suffix : {"1", "2"}) {
      StartCall("/safe/x", prefix + "safe-" + suffix);
      StartCall("/unsafe/x", prefix + "unsafe-" + suffix);
      StartCall("/feed/x", prefix + "feed-" + suffix);
    }
  }
  void Silence(milliseconds duration) {
    for (int it = 0; it < options.services; ++it)
      floor->targets().FallSilent(options.engines + it, duration);
  }
  void JoinCallers() {
    for (std::thread& it : callers)
      it.join();
    callers.clear();
  }
  // Checks that all calls were answered whole, and which of them ran again.
  void CheckAnswers() {
    JoinCallers();
    const auto runs = floor->targets().ExecutionCounts();
    for (const auto& [id, answer] : answers) {
      if (id.starts_with("short")) {
        CHECK_EQUAL(504, answer.status);
        CHECK(answer.took >= milliseconds(kShortDeadlineMs - 50));
        continue;
      }
      if (answer.status != 200)
        FAIL((id + ": " + std::to_string(answer.status) + " after " +
              std::to_string(answer.took.count()) + " ms")
                 .c_str());
      if (id.find("feed") == std::string::npos) {
        CHECK_EQUAL(std::string("done for account").size() + 1000,
                    answer.body.size());
      }
      if (id.find("-safe") != std::string::npos)
        CHECK(runs.at(id) <= options.max_attempts);
      else
        CHECK_EQUAL(1, runs.at(id));
    }
  }
  void teardown() override {
    JoinCallers();
    floor.reset();
  }
};

TEST(SilentPlainTarget, NoCallIsEndedAndNoUnsafeOneIsRepeated) {
  options.work_ms = 200;
  options.half_body_ms = 300;
  StartFloor();
  StartCalls("in-body-");
  std::this_thread::sleep_for(milliseconds(220));
  StartCalls("before-head-");
  StartCall("/safe/x", "short-safe", kShortDeadlineMs);
  StartCall("/unsafe/x", "short-unsafe", kShortDeadlineMs);
  std::this_thread::sleep_for(milliseconds(120));
  Silence(milliseconds(1800));
  CheckAnswers();
  CHECK(floor->Output(0).find("target-suspected") != std::string::npos);
}

TEST(SilentPlainTarget, CallsOfABrokenConnectionWithoutAnotherTargetEndAtOnce) {
  options.services = 1;
  options.work_ms = 2000;
  options.proxied = true;
  StartFloor();
  for (const char* kind : {"safe", "unsafe"})
    StartCall(std::string("/") + kind + "/x", kind);
  std::this_thread::sleep_for(milliseconds(200));
  floor->targets().proxy(options.engines).ResetConnections();
  JoinCallers();
  for (const auto& [id, answer] : answers) {
    CHECK_EQUAL(502, answer.status);
    CHECK(answer.took <= milliseconds(600));
  }
}

TEST(SilentPlainTarget, SilentReportsEndNoRunOfAStream) {
  constexpr int kStreams = 4;
  options.event_ms = 300;
  options.events = 7;
  StartFloor();
  std::vector<bbv::StreamAnswer> streams(kStreams);
  for (int it = 0; it < kStreams; ++it) {
    callers.emplace_back([this, &streams, it] {
      streams[it] = floor->Stream(0, "stream-" + std::to_string(it));
    });
  }
  std::this_thread::sleep_for(milliseconds(400));
  for (int it = 0; it < options.engines; ++it)
    floor->targets().SilenceReports(it, milliseconds(1800));
  JoinCallers();
  const auto runs = floor->targets().ExecutionCounts();
  for (int it = 0; it < kStreams; ++it) {
    CHECK(streams[it].whole);
    CHECK_EQUAL(options.events, static_cast<int>(streams[it].events.size()));
    CHECK_EQUAL(1, runs.at("stream-" + std::to_string(it)));
  }
  // The entry has asked for reports.
  const std::string log = floor->Output(0);
  CHECK(log.find("target-fault-doubted") != std::string::npos ||
        log.find("target-suspected") != std::string::npos);
}
