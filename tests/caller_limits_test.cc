#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::FleetFloor;
using bbv::RawCaller;

namespace {

constexpr int kTimeoutMs = 5000;

// Header lines that are longer than the built-in limit of a head.
std::string LongHeaderLines() {
  std::string lines;
  for (int it = 0; it < 6; ++it)
    lines +=
        "X-Line-" + std::to_string(it) + ": " + std::string(4000, 'x') + "\r\n";
  return lines;
}

}  // namespace

// An entry that accepts a connection before it can read its configuration,
// which allows longer heads than the built-in limit.
TEST_GROUP(CallerLimits) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;
  std::unique_ptr<RawCaller> caller;

  void setup() override {
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    std::string configuration = floor->targets().MakeConfiguration(2);
    const std::string limits = R"("limits":{)";
    const std::size_t at = configuration.find(limits);
    CHECK(at != std::string::npos);
    configuration.insert(at + limits.size(), R"("max_header_bytes":65536,)");
    floor->Signal(0, SIGKILL);
    floor->WaitForExit(0);
    floor->store().Put("keyed.op", "config", configuration);
    floor->store().SetOutage(true);
    floor->StartEntry(0);
    WaitFor([this] { return !floor->Metrics(0).empty(); });
    caller = std::make_unique<RawCaller>(floor->callers_port(0));
    WaitFor([this] {
      return floor->Metrics(0).find("caller_connections\"} 1\n") !=
             std::string::npos;
    });
  }
  void teardown() override {
    caller.reset();
    floor.reset();
  }

  static void WaitFor(const std::function<bool()>& condition) {
    for (int waited = 0; !condition(); waited += 20) {
      CHECK(waited < kTimeoutMs);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
};

TEST(CallerLimits, AConnectionAcceptedBeforeTheConfigurationGetsItsLimits) {
  floor->store().SetOutage(false);
  CHECK(floor->WaitReady(0, kTimeoutMs));
  CHECK(caller->Send(bbv::RequestText("/safe/x", "long", LongHeaderLines())));
  STRCMP_CONTAINS("HTTP/1.1 200",
                  caller->Receive(kTimeoutMs, "done for").c_str());
}

TEST(CallerLimits, NoRequestIsTooLongForAnEntryWithoutAConfiguration) {
  CHECK(caller->Send(bbv::RequestText("/safe/x", "long", LongHeaderLines())));
  STRCMP_CONTAINS("HTTP/1.1 503", caller->Receive(kTimeoutMs).c_str());
  floor->store().SetOutage(false);
  CHECK(floor->WaitReady(0, kTimeoutMs));
  CHECK_EQUAL(0, floor->targets().ExecutionCounts()["long"]);
}
