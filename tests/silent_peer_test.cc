#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::CountOf;
using bbv::FleetFloor;
using bbv::standins::LinkFault;
using std::chrono::milliseconds;

// The store or another entry falls silent for a few seconds and goes on while
// calls run.
TEST_GROUP(SilentPeer) {
  static constexpr int kEntries = 3;

  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;
  std::vector<std::thread> callers;
  std::atomic<bool> done{false};
  std::atomic<int> answered{0};
  // Calls that got anything but their whole answer.
  std::atomic<int> harmed{0};

  void StartFloor() {
    options.events = 20;
    options.event_ms = 20;
    // Each unsafe call leaves a connection open for some seconds.
    options.services = 6;
    floor = std::make_unique<FleetFloor>(kEntries, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    std::this_thread::sleep_for(milliseconds(600));
  }
  // Keeps a stream, a safe and an unsafe call under way at `entry`; `round`
  // makes their ids unique.
  void StartCallers(int entry, int round = 0) {
    for (const char* path : {"/safe/x", "/unsafe/x", "/stream/x"}) {
      callers.emplace_back([this, entry, round, path] {
        const std::string route = path;
        for (int n = 0; !done; ++n) {
          const std::string id = std::to_string(round) + "-" +
                                 std::to_string(entry) + route +
                                 std::to_string(n);
          const bool is_whole = route == "/stream/x"
                                    ? IsWholeStream(entry, id)
                                    : IsWhole(entry, route, id);
          ++(is_whole ? answered : harmed);
          std::this_thread::sleep_for(milliseconds(60));
        }
      });
    }
  }
  bool IsWholeStream(int entry, const std::string& id) {
    const auto answer = floor->Stream(entry, id);
    return answer.whole &&
           static_cast<int>(answer.events.size()) == options.events;
  }
  bool IsWhole(int entry, const std::string& path, const std::string& id) {
    const auto answer = floor->Call(entry, path, id);
    return answer && answer->status == 200;
  }
  void JoinCallers() {
    done = true;
    for (std::thread& it : callers)
      it.join();
    callers.clear();
  }
  void SetStoreFault(LinkFault fault) {
    for (int it = 0; it < kEntries; ++it)
      floor->store_proxy(it).SetFault(fault);
  }
  int CountPlanners() {
    int count = 0;
    for (int it = 0; it < kEntries; ++it)
      count += CountOf(floor->Metrics(it), "plans\"} 1");
    return count;
  }
  // Checks for `duration` that each entry stays ready and lists all targets and
  // that an entry plans.
  void WatchEntries(milliseconds duration) {
    const std::string all = "targets\"} " +
                            std::to_string(options.engines + options.services) +
                            "\n";
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      for (int it = 0; it < kEntries; ++it) {
        CHECK(floor->IsReady(it));
        CHECK(floor->Metrics(it).find(all) != std::string::npos);
      }
      CHECK(CountPlanners() >= 1);
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  int CountInLogs(const std::string& event) {
    int count = 0;
    for (int it = 0; it < kEntries; ++it)
      count += CountOf(floor->Output(it), event);
    return count;
  }
  void teardown() override {
    JoinCallers();
    floor.reset();
  }
};

TEST(SilentPeer, ASilentStoreBesideAConfigurationHarmsNothing) {
  options.proxied = true;
  StartFloor();
  for (int it = 0; it < kEntries; ++it)
    StartCallers(it);
  WatchEntries(milliseconds(500));
  floor->store().Put("keyed.op", "config",
                     floor->targets().MakeConfiguration(2));
  SetStoreFault(LinkFault::kSilent);
  WatchEntries(milliseconds(3000));
  SetStoreFault(LinkFault::kNone);
  WatchEntries(milliseconds(1500));
  JoinCallers();
  CHECK_EQUAL(0, harmed);
  CHECK(answered > 100);
  for (int it = 0; it < kEntries; ++it) {
    CHECK(floor->Metrics(it).find("configuration_version\"} 2") !=
          std::string::npos);
  }
  CHECK_EQUAL(1, CountPlanners());
  CHECK_EQUAL(0, CountInLogs("target-gone"));
}

TEST(SilentPeer, ASilentEntryHarmsNoCallAtTheOthers) {
  StartFloor();
  for (int silent = 0; silent < kEntries; ++silent) {
    done = false;
    for (int it = 0; it < kEntries; ++it) {
      if (it != silent)
        StartCallers(it, silent);
    }
    std::this_thread::sleep_for(milliseconds(100));
    floor->Signal(silent, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500));
    floor->Signal(silent, SIGCONT);
    std::this_thread::sleep_for(milliseconds(300));
    JoinCallers();
  }
  CHECK_EQUAL(0, harmed);
  CHECK(answered > 100);
}
