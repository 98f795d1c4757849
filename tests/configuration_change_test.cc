#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::CountOf;
using bbv::FleetFloor;
using bbv::RawCaller;
using bbv::RequestText;

namespace {

void SleepFor(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}  // namespace

// Callers whose route, service and key are gone with a new configuration.
TEST_GROUP(ConfigurationChange) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet() {
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }

  std::unique_ptr<RawCaller> Connect() {
    return std::make_unique<RawCaller>(floor->callers_port(0));
  }
  std::unique_ptr<RawCaller> Send(const std::string& path,
                                  const std::string& id) {
    auto caller = Connect();
    CHECK(caller->Send(RequestText(path, id, "X-Token-Counts: 100,50\r\n")));
    return caller;
  }
  // Puts a configuration in force that keeps no route, service, key or limit.
  void DropEverything() {
    auto json = nlohmann::json::parse(floor->targets().MakeConfiguration(2));
    auto route = json["routes"].back();
    route["service"] = "other";
    json["routes"] = nlohmann::json::array({route});
    json["services"] = nlohmann::json::array({{{"name", "other"}}});
    json["tenants"] =
        nlohmann::json::array({{{"name", "other"}, {"api_keys", {"other"}}}});
    json["limits"] = {{"max_body_bytes", 10},
                      {"max_header_bytes", 300},
                      {"header_timeout_ms", 100},
                      {"idle_timeout_ms", 400}};
    floor->store().Put("keyed.op", "config", json.dump());
    for (int it = 0; it < 100; ++it) {
      if (floor->Metrics(0).find("configuration_version\"} 2") !=
          std::string::npos)
        return;
      SleepFor(20);
    }
    FAIL("the second configuration is not in force after 2 s");
  }
  static void CheckStatus(int status, RawCaller* caller) {
    const std::string line = "HTTP/1.1 " + std::to_string(status);
    STRNCMP_EQUAL(line.c_str(), caller->Receive(4000, "\r\n").c_str(),
                  line.size());
  }
};

TEST(ConfigurationChange, CallsWhoseTargetBreaksThemOffAfterItAreSentAgain) {
  options.work_ms = 900;
  options.event_ms = 40;
  options.proxied = true;
  StartFleet();
  const int targets = options.engines + options.services;
  std::vector<int> calls_before;
  calls_before.reserve(targets);
  for (int it = 0; it < targets; ++it)
    calls_before.push_back(floor->targets().CallCount(it));
  const auto safe = Send("/safe/x", "safe");
  const auto stream = Send("/stream/x", "stream");
  SleepFor(200);
  DropEverything();
  // Only their targets, so that the next sends are not broken off as well.
  for (int it = 0; it < targets; ++it) {
    if (floor->targets().CallCount(it) > calls_before[it])
      floor->targets().proxy(it).ResetConnections();
  }
  CheckStatus(200, safe.get());
  const std::string events = stream->Receive(4000, "\r\n0\r\n\r\n");
  CHECK_EQUAL(options.events, CountOf(events, "id: "));
  const auto runs = floor->targets().ExecutionCounts();
  CHECK_EQUAL(2, runs.at("safe"));
  CHECK_EQUAL(2, runs.at("stream"));
}

TEST(ConfigurationChange, CallsThatWaitForCapacityAreAnswered) {
  constexpr int kCalls = 30;
  options.slots = 1;
  options.work_ms = 250;
  StartFleet();
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kCalls);
  for (int it = 0; it < kCalls; ++it)
    callers.push_back(Send("/unsafe/x", "call-" + std::to_string(it)));
  // All are read before the configuration.
  SleepFor(50);
  DropEverything();
  const int sent_before =
      static_cast<int>(floor->targets().ExecutionCounts().size());
  int served = 0;
  for (const auto& it : callers) {
    const std::string answer = it->Receive(2000, "\r\n\r\n");
    served += CountOf(answer, "HTTP/1.1 200");
    CHECK(answer.starts_with("HTTP/1.1 200") ||
          answer.starts_with("HTTP/1.1 503"));
  }
  CHECK(sent_before < kCalls);
  CHECK(served > options.services * 4);
}

TEST(ConfigurationChange, EveryRequestReadBeforeOrAcrossItIsAnswered) {
  options.work_ms = 800;
  options.event_ms = 40;
  StartFleet();
  const auto kept = Send("/version-1/x", "kept");
  CheckStatus(200, kept.get());
  const auto safe = Send("/safe/x", "safe");
  const auto unsafe = Send("/unsafe/x", "unsafe");
  const auto stream = Send("/stream/x", "stream");
  const auto body = Connect();
  const std::string request =
      RequestText("/safe/x", "body", {}, std::string(1000, 'b'));
  CHECK(body->Send(request.substr(0, request.size() - 500)));
  const auto head = Connect();
  CHECK(head->Send(request.substr(0, 40)));
  SleepFor(200);
  DropEverything();
  SleepFor(500);
  CHECK(body->Send(request.substr(request.size() - 500)));
  CHECK(head->Send(request.substr(40)));
  CheckStatus(404, body.get());
  CheckStatus(413, head.get());
  CHECK(kept->Send(RequestText("/safe/x", "kept-2")));
  CHECK_EQUAL(1, CountOf(kept->Receive(1000, "404 "), "HTTP/1.1 404"));
  CheckStatus(200, safe.get());
  CheckStatus(200, unsafe.get());
  const std::string events = stream->Receive(4000, "\r\n0\r\n\r\n");
  CHECK_EQUAL(options.events, CountOf(events, "id: "));
  CHECK(events.ends_with("\r\n0\r\n\r\n"));
  const auto runs = floor->targets().ExecutionCounts();
  for (const char* id : {"safe", "unsafe", "stream"})
    CHECK_EQUAL(1, runs.at(id));
}
