#include "fleet_floor.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using bbv::FleetFloor;
using bbv::StreamAnswer;
using bbv::standins::LinkFault;

namespace {

bool IsCompleteStream(const StreamAnswer& answer, int events) {
  if (!answer.whole || static_cast<int>(answer.events.size()) != events)
    return false;
  for (int it = 0; it < events; ++it) {
    if (answer.events[it] != it + 1)
      return false;
  }
  return true;
}

}  // namespace

TEST_GROUP(FleetFloor) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet(int entries) {
    floor = std::make_unique<FleetFloor>(entries, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }
  // Returns a plain target that entry 0 calls. Consecutive calls all go to the
  // least loaded target.
  int FindPreferredTarget() {
    floor->Call(0, "/safe/x", "probe");
    int it = options.engines;
    while (it < options.engines + options.services - 1 &&
           floor->targets().CallCount(it) == 0)
      ++it;
    return it;
  }
};

TEST(FleetFloor, PlacesLayersAndServesStreamsAndCalls) {
  StartFleet(2);
  for (int entry = 0; entry < 2; ++entry) {
    const std::string number = std::to_string(entry);
    CHECK(IsCompleteStream(floor->Stream(entry, "s" + number), options.events));
    const auto safe = floor->Call(entry, "/safe/x", "a" + number);
    CHECK(safe && safe->status == 200);
    STRCMP_EQUAL("done for account", safe->body.c_str());
    const auto unsafe = floor->Call(entry, "/unsafe/x", "u" + number);
    CHECK(unsafe && unsafe->status == 200);
    CHECK_EQUAL(1, floor->targets().ExecutionCounts()["u" + number]);
  }
  CHECK(floor->Metrics(0).find("bbv_fleet_calls_served_total") !=
        std::string::npos);
}

TEST(FleetFloor, RejectsUnknownRoutesAndKeys) {
  StartFleet(1);
  CHECK_EQUAL(404, floor->Call(0, "/other/x", "a")->status);
  CHECK_EQUAL(401, floor->Call(0, "/safe/x", "b", "unknown")->status);
  CHECK(floor->targets().ExecutionCounts().empty() ||
        floor->targets().ExecutionCounts().count("b") == 0);
}

TEST(FleetFloor, StreamsContinueAndLayersReloadAfterACrash) {
  options.events = 150;
  StartFleet(2);
  std::vector<StreamAnswer> answers(8);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < answers.size(); ++it) {
    callers.emplace_back([this, it, &answers] {
      answers[it] =
          floor->Stream(static_cast<int>(it % 2), "c" + std::to_string(it));
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  const int lost = floor->targets().FindHolder(options.layers / 2);
  floor->targets().Crash(lost);
  for (std::thread& it : callers)
    it.join();
  // No other engine holds these layers, so the streams wait until they are
  // reloaded.
  for (const StreamAnswer& it : answers)
    CHECK(IsCompleteStream(it, options.events));
  for (int waited = 0; waited < 400 && !floor->targets().HoldsAllLayers();
       ++waited)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(floor->targets().HoldsAllLayers());
}

TEST(FleetFloor, StreamsContinueOnAReplicaWithoutRunningAgain) {
  options.engines = 8;
  options.events = 200;
  StartFleet(1);
  std::vector<StreamAnswer> answers(8);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < answers.size(); ++it) {
    callers.emplace_back([this, it, &answers] {
      answers[it] = floor->Stream(0, "t" + std::to_string(it));
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  // Not the first hop of a path, since it holds the state of the execution.
  int lost = -1;
  for (int it = 0; it < options.engines && lost < 0; ++it) {
    if (floor->targets().FirstLayerOf(it) > 0 &&
        floor->targets().HoldsAllLayersWithout(it))
      lost = it;
  }
  CHECK(lost >= 0);
  floor->targets().Crash(lost);
  for (std::thread& it : callers)
    it.join();
  for (const StreamAnswer& it : answers)
    CHECK(IsCompleteStream(it, options.events));
  CHECK(floor->targets().PathChangeCount() > 0);
  for (const auto& [id, runs] : floor->targets().ExecutionCounts())
    CHECK_EQUAL(1, runs);
}

TEST(FleetFloor, AppliesANewConfiguration) {
  StartFleet(1);
  floor->store().Put("keyed.op", "config",
                     floor->targets().MakeConfiguration(2));
  for (int it = 0; it < 100; ++it) {
    if (floor->Metrics(0).find("configuration_version\"} 2") !=
        std::string::npos)
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  FAIL("the second configuration is not in force after 2 s");
}

TEST(FleetFloor, OneEntryReadsTheStoreForItsZone) {
  constexpr int kEntries = 5;
  constexpr int kSeconds = 5;
  StartFleet(kEntries);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto before = floor->store().CallCounts();
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const auto after = floor->store().CallCounts();
  const auto calls = [&](const std::string& call) {
    const auto it = before.find(call);
    return after.at(call) - (it == before.end() ? 0 : it->second);
  };
  std::string all;
  for (const auto& [call, n] : after)
    all += call + ": " + std::to_string(calls(call)) + "\n";
  // One reader with long polls of 700 ms, and a second one that reads if the
  // first is late.
  if (calls("/v1/log-read keyed.servers") > 2 * kSeconds)
    FAIL(all.c_str());
  // Two entries read the configuration, with long polls of 1.3 s and 6 s.
  if (calls("/v1/log-read keyed.op") > kSeconds)
    FAIL(all.c_str());
  // One entry tries to acquire the planner lease.
  if (calls("/v1/log-join ") > 2 * kSeconds)
    FAIL(all.c_str());
  int total = 0;
  for (const auto& [call, n] : after)
    total += calls(call);
  if (total > kEntries * kSeconds)
    FAIL(all.c_str());
}

TEST(FleetFloor, ServesDuringAStoreOutage) {
  StartFleet(1);
  floor->store().SetOutage(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  CHECK(IsCompleteStream(floor->Stream(0, "s"), options.events));
  CHECK(floor->Output(0).find("store-lost") != std::string::npos);
  floor->store().SetOutage(false);
}

TEST(FleetFloor, ShutdownCompletesRunningStreams) {
  options.events = 200;
  StartFleet(1);
  StreamAnswer answer;
  std::thread caller([&] { answer = floor->Stream(0, "s"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  floor->Signal(0, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(!floor->IsReady(0));
  caller.join();
  CHECK(IsCompleteStream(answer, options.events));
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(FleetFloor, SlowReaderReceivesTheCompleteStream) {
  // More than the entry buffers for a caller, so that it stops reading from the
  // target.
  options.events = 3000;
  options.event_ms = 0;
  options.padding = 4000;
  StartFleet(1);
  std::size_t bytes = 0;
  httplib::Client client("127.0.0.1", floor->callers_port(0));
  client.set_read_timeout(6);
  const auto result = client.Get(
      "/stream/x", bbv::MakeCallHeaders("slow", 5000),
      [&](const char*, std::size_t n) {
        if (bytes == 0)
          std::this_thread::sleep_for(std::chrono::milliseconds(900));
        bytes += n;
        return true;
      });
  CHECK(result && result->status == 200);
  CHECK(bytes > static_cast<std::size_t>(options.events) * options.padding);
  CHECK_EQUAL(1, floor->targets().ExecutionCounts()["slow"]);
}

TEST(FleetFloor, KilledEntryServesWithin2SecondsOfItsRestart) {
  StartFleet(1);
  floor->Signal(0, SIGKILL);
  floor->WaitForExit(0);
  floor->StartEntry(0);
  CHECK(floor->WaitReady(0, 2000));
  CHECK(IsCompleteStream(floor->Stream(0, "s"), options.events));
}

TEST(FleetFloor, AnotherEntryPlansAfterLosingStoreAndPlanner) {
  StartFleet(2);
  const int planner =
      floor->Metrics(0).find("plans\"} 1") != std::string::npos ? 0 : 1;
  const int other = 1 - planner;
  // Lets the entries exchange heartbeats.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  floor->store().SetOutage(true);
  floor->Signal(planner, SIGKILL);
  floor->WaitForExit(planner);
  // Crashes every holder of the first layer, so that a new plan is needed.
  for (int it = floor->targets().FindHolder(0); it >= 0;
       it = floor->targets().FindHolder(0))
    floor->targets().Crash(it);
  for (int waited = 0; waited < 60 && !floor->targets().HoldsAllLayers();
       ++waited) {
    // A new stream makes the entry detect and report the lost target.
    floor->Stream(other, "w" + std::to_string(waited));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
  }
  CHECK(floor->targets().HoldsAllLayers());
  CHECK(floor->Output(other).find("standing_in") != std::string::npos);
}

TEST(FleetFloor, ReaderPartitionedFromTheStoreKeepsAllTargets) {
  options.proxied = true;
  StartFleet(3);
  const std::string all =
      "targets\"} " + std::to_string(options.engines + options.services) + "\n";
  int reader = -1;
  for (int it = 0; it < 3; ++it) {
    const std::string metrics = floor->Metrics(it);
    CHECK(metrics.find(all) != std::string::npos);
    if (metrics.find("zone_rank\"} 0") != std::string::npos)
      reader = it;
  }
  CHECK(reader >= 0);
  // Its reads fail, while the other entries still share the lists they read.
  floor->store_proxy(reader).SetFault(LinkFault::kSilent);
  for (int it = 0; it < 16; ++it) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(floor->Metrics(reader).find(all) != std::string::npos);
  }
}

TEST(FleetFloor, PlannerPartitionedFromTheStoreIsReplaced) {
  options.proxied = true;
  StartFleet(3);
  const auto plans = [&](int entry) {
    return floor->Metrics(entry).find("plans\"} 1") != std::string::npos;
  };
  int planner = -1;
  for (int it = 0; it < 3; ++it)
    planner = plans(it) ? it : planner;
  CHECK(planner >= 0);
  floor->store_proxy(planner).SetFault(LinkFault::kSilent);
  for (int tries = 0; tries < 120; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const bool replaced = plans((planner + 1) % 3) || plans((planner + 2) % 3);
    if (!replaced)
      continue;
    // Both may plan only until the message of the new planner arrives.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK(!plans(planner));
    return;
  }
  FAIL("no other entry plans after 12 s");
}

// The target announces in its responses that it is leaving, while the target
// list does not say so.
TEST(FleetFloor, LeavingTargetGetsNoMoreCallsFromAnyEntry) {
  options.services = 3;
  StartFleet(2);
  const int leaving = FindPreferredTarget();
  floor->targets().AnnounceLeaving(leaving);
  const int before = floor->targets().CallCount(leaving);
  int n = 0;
  const auto call = [&](int entry) {
    const auto answer =
        floor->Call(entry, "/safe/x", "leave" + std::to_string(n++));
    CHECK(answer && answer->status == 200);
  };
  while (floor->targets().CallCount(leaving) == before && n < 200)
    call(0);
  // The notice must reach the other entry, which has not called the target.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int calls = floor->targets().CallCount(leaving);
  for (int it = 0; it < 60; ++it)
    call(it % 2);
  CHECK_EQUAL(calls, floor->targets().CallCount(leaving));
  CHECK(floor->Output(1).find("target-leaves") != std::string::npos);
}

TEST(FleetFloor, TargetGetsNoRequestsUntilItsRetryAfterExpires) {
  options.services = 3;
  options.work_ms = 20;
  StartFleet(1);
  const int unavailable = FindPreferredTarget();
  floor->targets().RejectRequests(unavailable, "2.5");
  const int before = floor->targets().RequestCount(unavailable);
  int n = 0;
  const auto call = [&] {
    const auto answer = floor->Call(0, "/safe/x", "rest" + std::to_string(n++));
    CHECK(answer && answer->status == 200);
  };
  while (floor->targets().RequestCount(unavailable) == before && n < 200)
    call();
  const auto told = std::chrono::steady_clock::now();
  floor->targets().RejectRequests(unavailable, "");
  const int requests = floor->targets().RequestCount(unavailable);
  while (std::chrono::steady_clock::now() <
         told + std::chrono::milliseconds(2300)) {
    call();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK_EQUAL(requests, floor->targets().RequestCount(unavailable));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  // More concurrent calls than the other targets accept.
  std::vector<std::thread> callers;
  callers.reserve(120);
  for (int it = 0; it < 120; ++it) {
    callers.emplace_back([this, it] {
      floor->Call(0, "/safe/x", "again" + std::to_string(it));
    });
  }
  for (std::thread& it : callers)
    it.join();
  CHECK(floor->targets().RequestCount(unavailable) > requests);
}

// If no other target is left, callers get the remaining Retry-After time.
TEST(FleetFloor, RetryAfterOfTheLastTargetIsPassedToCallers) {
  options.services = 1;
  StartFleet(1);
  floor->targets().RejectRequests(options.engines, "4");
  floor->Call(0, "/safe/x", "first");
  const auto answer = floor->Call(0, "/safe/x", "second");
  CHECK(answer && answer->status == 503);
  const double after = std::stod(answer->get_header_value("Retry-After"));
  CHECK(after > 3.0 && after < 6.0);
}

TEST(FleetFloor, EndlessResponsesAreAbortedInBoundedMemory) {
  options.services = 3;
  StartFleet(1);
  for (int it = 0; it < options.engines + 1; ++it)
    floor->targets().SendEndlessResponses(it);
  std::vector<std::thread> callers;
  callers.reserve(24);
  for (int it = 0; it < 24; ++it) {
    callers.emplace_back([this, it] {
      const std::string id = "endless" + std::to_string(it);
      if (it % 2 == 0)
        CHECK_FALSE(floor->Stream(0, id).whole);
      else
        floor->Call(0, "/safe/x", id);
    });
  }
  for (std::thread& it : callers)
    it.join();
  const std::string metrics = floor->Metrics(0);
  const std::string name = "peak_memory_kilobytes\"} ";
  const std::size_t at = metrics.find(name);
  CHECK(at != std::string::npos);
  constexpr double kMaxKilobytes = 160 * 1024;
  CHECK(std::stod(metrics.substr(at + name.size())) < kMaxKilobytes);
  CHECK(floor->IsRunning(0));
}

// The store is restored from a backup that is older than a configuration, which
// may have withdrawn a key, and older than the departure of a target. Entries
// must keep the configuration that they have applied.
TEST(FleetFloor, RestoringTheStoreFromABackupRevertsNothing) {
  options.services = 3;
  StartFleet(2);
  const auto version_is = [&](int entry, int version) {
    return floor->Metrics(entry).find("configuration_version\"} " +
                                      std::to_string(version)) !=
           std::string::npos;
  };
  const auto wait = [](const auto& done) {
    for (int it = 0; it < 250; ++it) {
      if (done())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  };
  // The backup dates from this moment.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto copied = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  floor->store().Put("keyed.op", "config",
                     floor->targets().MakeConfiguration(2));
  CHECK(wait([&] { return version_is(0, 2) && version_is(1, 2); }));
  floor->store().SetOutage(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  floor->store().RestoreBackup(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - copied));
  floor->store().SetOutage(false);
  CHECK(wait([&] {
    return floor->Output(0).find("store-era-changed") != std::string::npos ||
           floor->Output(1).find("store-era-changed") != std::string::npos;
  }));
  for (int it = 0; it < 40; ++it) {
    CHECK(version_is(0, 2) && version_is(1, 2));
    const auto answer =
        floor->Call(it % 2, "/version-2/x", "era" + std::to_string(it));
    CHECK(answer && answer->status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  // A configuration written after the restore is applied although its offset
  // was already used before.
  floor->store().Put("keyed.op", "config",
                     floor->targets().MakeConfiguration(3));
  CHECK(wait([&] { return version_is(0, 3) && version_is(1, 3); }));
  CHECK(IsCompleteStream(floor->Stream(0, "after"), options.events));
}

TEST(FleetFloor, StreamsThatEndWithTheirConnectionAreWhole) {
  options.close_delimited = true;
  StartFleet(1);
  CHECK(IsCompleteStream(floor->Stream(0, "s"), options.events));
  CHECK_EQUAL(1, floor->targets().ExecutionCounts()["s"]);
}

TEST(FleetFloor, StreamsThatEndInsideAnEventAreContinued) {
  // Cut inside a field, inside a multi-byte character, and before the end of an
  // event that looks complete.
  for (const char* cut :
       {"id: 2", "id: 21\ndata: \xe2\x82", "id: 21\ndata: t21\n"}) {
    for (const bool close_delimited : {false, true}) {
      options.cut_event = cut;
      options.close_delimited = close_delimited;
      StartFleet(1);
      CHECK(IsCompleteStream(floor->Stream(0, "s"), options.events));
      CHECK_EQUAL(2, floor->targets().ExecutionCounts()["s"]);
      floor.reset();
    }
  }
}
