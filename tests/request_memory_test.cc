#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::FleetFloor;
using bbv::RawCaller;

namespace {

constexpr std::size_t kBodyBytes = 4'000'000;
constexpr int kAnswerTimeoutMs = 6000;

std::string ReservationRequest(const std::string& id) {
  return bbv::RequestText("/unsafe/x", id, {}, std::string(kBodyBytes, 'x'));
}

}  // namespace

TEST_GROUP(RequestMemory) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet() {
    options.services = 3;
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    std::string configuration = floor->targets().MakeConfiguration(2);
    const std::string limit = R"("max_body_bytes":100000)";
    const std::size_t at = configuration.find(limit);
    CHECK(at != std::string::npos);
    floor->store().Put(
        "keyed.op", "config",
        configuration.replace(at, limit.size(), R"("max_body_bytes":4194304)"));
    while (Gauge("configuration_version") < 2)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  void teardown() override {
    floor.reset();
  }

  double Gauge(const std::string& name) const {
    const std::string metrics = floor->Metrics(0);
    const std::size_t at = metrics.find(name + "\"} ");
    CHECK(at != std::string::npos);
    return std::stod(metrics.substr(at + name.size() + 3));
  }

  // Largest memory of the entry so far, in bodies.
  double PeakBodies() const {
    return static_cast<double>(floor->PeakMemory(0)) / kBodyBytes;
  }
};

TEST(RequestMemory, AnsweredRequestsDoNotStayInMemory) {
  constexpr int kRequests = 20;
  constexpr double kMaxBodies = 8;
  StartFleet();
  const double before = PeakBodies();
  RawCaller caller(floor->callers_port(0));
  for (int it = 0; it < kRequests; ++it) {
    const std::string id = "answered-" + std::to_string(it);
    CHECK(caller.Send(ReservationRequest(id)));
    CHECK(caller.Receive(kAnswerTimeoutMs, id).find(id) != std::string::npos);
  }
  CHECK_EQUAL(kRequests, bbv::CountOf(caller.Receive(0), "HTTP/1.1 200"));
  CHECK_COMPARE(PeakBodies() - before, <, kMaxBodies);
}

TEST(RequestMemory, EachRequestUnderWayIsInMemoryOnce) {
  constexpr int kRequests = 10;
  constexpr double kMaxBodies = 1.4 * kRequests;
  options.work_ms = 1500;
  StartFleet();
  const double before = PeakBodies();
  std::vector<RawCaller> callers;
  callers.reserve(kRequests);
  for (int it = 0; it < kRequests; ++it) {
    callers.emplace_back(floor->callers_port(0));
    CHECK(callers.back().Send(
        ReservationRequest("under-way-" + std::to_string(it))));
  }
  for (RawCaller& it : callers)
    CHECK(it.Receive(kAnswerTimeoutMs, "done for").starts_with("HTTP/1.1 200"));
  CHECK_COMPARE(PeakBodies() - before, <, kMaxBodies);
}

TEST(RequestMemory, IdleConnectionsDoNotKeepTheirAnswers) {
  constexpr int kConnections = 20;
  constexpr double kMaxBodies = 10;
  options.plain_padding = kBodyBytes;
  StartFleet();
  const double before = PeakBodies();
  std::vector<RawCaller> callers;
  callers.reserve(kConnections);
  for (int it = 0; it < kConnections; ++it) {
    RawCaller& caller = callers.emplace_back(floor->callers_port(0));
    CHECK(caller.Send(
        bbv::RequestText("/safe/x", "answer-" + std::to_string(it))));
    const auto is_whole = [&] {
      return caller.Receive(20).size() > kBodyBytes;
    };
    for (int waited = 0; !is_whole() && waited < kAnswerTimeoutMs; waited += 20)
      CHECK_FALSE(caller.ended());
    CHECK(is_whole());
  }
  CHECK_COMPARE(PeakBodies() - before, <, kMaxBodies);
}

TEST(RequestMemory, BodiesBeyondTheMemoryOfAnInstanceAreRefused) {
  constexpr int kConnections = 80;
  // Memory of the smallest instances that are deployed.
  constexpr double kMaxBodies = 260e6 / kBodyBytes;
  StartFleet();
  std::vector<RawCaller> callers;
  callers.reserve(kConnections);
  for (int it = 0; it < kConnections; ++it) {
    RawCaller& caller = callers.emplace_back(floor->callers_port(0));
    std::string request = ReservationRequest("partial-" + std::to_string(it));
    request.pop_back();
    // A refused caller may stop here.
    caller.Send(request);
  }
  int refused = 0;
  for (RawCaller& it : callers)
    refused += bbv::CountOf(it.Receive(20, "HTTP/1.1 503"), "HTTP/1.1 503");
  CHECK_COMPARE(floor->PeakMemory(0) / static_cast<double>(kBodyBytes), <,
                kMaxBodies);
  CHECK(refused > 0);
}

TEST(RequestMemory, BodiesThatFillTheMemoryStarveOtherRequests) {
  constexpr int kConnections = 40;
  constexpr int kSmallRequests = 20;
  StartFleet();
  std::vector<RawCaller> callers;
  callers.reserve(kConnections);
  for (int it = 0; it < kConnections; ++it) {
    std::string request = ReservationRequest("partial-" + std::to_string(it));
    request.pop_back();
    callers.emplace_back(floor->callers_port(0)).Send(request);
  }
  const std::string& refusal = callers.back().Receive(1000, "\r\n\r\n");
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK_EQUAL(1, bbv::CountOf(refusal, "Retry-After: "));
  CHECK_EQUAL(1, bbv::CountOf(refusal, "partial-39"));
  const auto wait_for_gauge = [this](bool is_held) {
    while ((Gauge("held_bytes") > 0) != is_held)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  };
  wait_for_gauge(true);
  RawCaller other(floor->callers_port(0));
  for (int it = 0; it < kSmallRequests; ++it) {
    const std::string id = "small-" + std::to_string(it);
    CHECK(other.Send(bbv::RequestText("/unsafe/x", id, {}, "small")));
    CHECK(other.Receive(kAnswerTimeoutMs, id).find(id) != std::string::npos);
  }
  CHECK_EQUAL(kSmallRequests, bbv::CountOf(other.Receive(0), "HTTP/1.1 200"));
  callers.clear();
  wait_for_gauge(false);
  CHECK(other.Send(ReservationRequest("later")));
  other.Receive(kAnswerTimeoutMs, "later");
  CHECK_EQUAL(kSmallRequests + 1,
              bbv::CountOf(other.Receive(0), "HTTP/1.1 200"));
}

TEST(RequestMemory, AnswersThatAreNotReadExceedTheMemoryOfAnInstance) {
  constexpr int kConnections = 50;
  constexpr int kReceiveBytes = 8192;
  constexpr std::size_t kAnswerBytes = 12'000'000;
  constexpr double kMaxBodies = 260e6 / kBodyBytes;
  options.plain_padding = kAnswerBytes;
  StartFleet();
  std::vector<RawCaller> callers;
  callers.reserve(kConnections);
  for (int it = 0; it < kConnections; ++it) {
    RawCaller& caller =
        callers.emplace_back(floor->callers_port(0), kReceiveBytes);
    CHECK(caller.Send(
        bbv::RequestText("/safe/x", "unread-" + std::to_string(it))));
    // Reads no more than the head.
    caller.Receive(1000, "HTTP/1.1");
  }
  CHECK_COMPARE(PeakBodies(), <, kMaxBodies);
}
