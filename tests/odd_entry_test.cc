#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet_floor.h"

using bbv::FleetFloor;

namespace {

constexpr char kTargetTopic[] = "keyed.servers";
constexpr int kEntries = 2;

// The record of an engine at an unused `port`, with `fields` in addition.
std::string EngineRecord(int port, const std::string& fields) {
  return R"({"service":"engine","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"zone-a",)"
         R"("version":"v1","type":"middle","state":"ready","slots":64,)"
         R"("born":1700000000000,)" +
         fields + "}";
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Records of another writer, by key.
std::vector<std::pair<std::string, std::string>> OddRecords() {
  const std::string layers = R"("sequence":1,"layers":{"from":)";
  const std::string address = R"({"service":"plain","zone":"zone-a",)"
                              R"("state":"ready","slots":64,"sequence":1,)"
                              R"("version":"v1","address":")";
  return {
      {"odd-nested",
       EngineRecord(1, R"("sequence":1,"x":)" + Nested(1'000'000))},
      {"odd-unclosed", std::string(100'000, '[')},
      {"odd-infinite", EngineRecord(2, R"("sequence":1e999)")},
      {"odd-2^31", EngineRecord(3, layers + R"(2147483648,)"
                                            R"("target_version":2147483653})")},
      {"odd-2^32",
       EngineRecord(4, layers + R"(0,"target_version":4294967308})")},
      {"odd-2^64", EngineRecord(5, R"("sequence":18446744073709551615)")},
      {"odd-port-0", address + R"(127.0.0.1:0"})"},
      {"odd-port-65536", address + R"(127.0.0.1:65536"})"},
      {"odd-port-2^32", address + R"(127.0.0.1:4294967376"})"},
      {"odd-text", "\xff\xfe\x80"},
      {"odd key & more#%", address + R"(127.0.0.1:6"})"},
      {"odd-\xff\xfe", address + R"(127.0.0.1:7"})"},
  };
}

int CountOf(const std::string& text, const std::string& part) {
  int n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size()))
    ++n;
  return n;
}

// Returns the addresses at which a log lists targets of `service`.
std::set<std::string> ListedAddresses(const std::string& log,
                                      const std::string& service) {
  std::set<std::string> addresses;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_object() && json.value("service", "") == service)
      addresses.insert(json.value("address", ""));
  }
  return addresses;
}

}  // namespace

TEST_GROUP(OddEntry) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void setup() override {
    options.services = 2;
    floor = std::make_unique<FleetFloor>(kEntries, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }
  void PutOddRecords() {
    for (const auto& [key, value] : OddRecords())
      floor->store().Put(kTargetTopic, key, value);
  }
  void CheckEntriesRun() {
    for (int it = 0; it < kEntries; ++it) {
      int code = 0;
      if (floor->HasExited(it, &code))
        FAIL(("entry ended: " + floor->Output(it)).c_str());
    }
  }
  // Kills each entry, starts it again and waits until it is ready, before the
  // next one follows.
  void RestartEntriesInTurn() {
    for (int it = 0; it < kEntries; ++it) {
      floor->Signal(it, SIGKILL);
      floor->WaitForExit(it);
      floor->StartEntry(it);
      CHECK(floor->WaitReady(it, 5000));
    }
  }
  // Waits until all entries list `n` targets.
  void WaitForTargets(int n) {
    const std::string listed = "targets\"} " + std::to_string(n) + "\n";
    for (int tries = 0; tries < 250; ++tries) {
      CheckEntriesRun();
      bool all = true;
      for (int it = 0; it < kEntries; ++it)
        all &= floor->Metrics(it).find(listed) != std::string::npos;
      if (all)
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    FAIL(("other targets than expected: " + floor->Metrics(0)).c_str());
  }
};

TEST(OddEntry, EntriesFollowTheOtherTargets) {
  const int leaving = options.engines;
  const int added = options.engines + 1;
  const int all = options.engines + options.services;
  floor->targets().SetListed(added, false);
  WaitForTargets(all - 1);
  PutOddRecords();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  floor->targets().SetListed(added, true);
  floor->targets().Drain(leaving);
  WaitForTargets(all);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const int calls = floor->targets().CallCount(leaving);
  for (int it = 0; it < 20; ++it) {
    const auto answer =
        floor->Call(it % kEntries, "/safe/x", "odd" + std::to_string(it));
    CHECK(answer && answer->status == 200);
  }
  CHECK_EQUAL(calls, floor->targets().CallCount(leaving));
  CHECK(floor->targets().CallCount(added) >= 20);
  for (int it = 0; it < kEntries; ++it)
    CHECK(floor->Stream(it, "stream" + std::to_string(it)).whole);
  CheckEntriesRun();
}

TEST(OddEntry, RecordOfAnUnnamedServiceTakesNoTargetOutOfUse) {
  WaitForTargets(options.engines + options.services);
  int foreign = 0;
  for (const std::string& it : ListedAddresses(floor->Output(0), "plain")) {
    floor->store().Put(kTargetTopic, "odd-" + std::to_string(++foreign),
                       R"({"service":"unnamed","zone":"zone-a","slots":64,)"
                       R"("state":"ready","version":"v1","sequence":1,)"
                       R"("born":4000000000000,"address":")" +
                           it + "\"}");
  }
  CHECK_EQUAL(options.services, foreign);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // Restarted entries read the list before or after the configuration.
  RestartEntriesInTurn();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (int it = 0; it < 20; ++it) {
    const auto answer =
        floor->Call(it % kEntries, "/safe/x", "foreign" + std::to_string(it));
    CHECK(answer && answer->status == 200);
  }
}

namespace {

// How records of another writer for the addresses of targets look.
struct RivalKind {
  const char* name;
  // Service that the records name.
  const char* service;
  // Start time in Unix milliseconds; 0 for none.
  int64_t born;
  // Whether they have all fields of a target's record.
  bool is_complete;
};

constexpr int64_t kLateBorn = 4'000'000'000'000;
constexpr RivalKind kRivalKinds[] = {
    {"later", "plain", kLateBorn, false},
    {"complete", "plain", kLateBorn, true},
    {"earlier", "plain", 1'000'000'000'000, true},
    {"unborn", "plain", 0, false},
    {"engine", "engine", kLateBorn, true},
};

std::string RivalRecord(const RivalKind& kind,
                        const std::string& address,
                        int sequence) {
  nlohmann::json record = {{"service", kind.service}, {"address", address},
                           {"zone", "zone-a"},        {"slots", 64},
                           {"state", "ready"},        {"sequence", sequence}};
  if (kind.born > 0)
    record["born"] = kind.born;
  if (kind.is_complete) {
    record["version"] = "v1";
    record["warmup_left_ms"] = 0;
  }
  return record.dump();
}

}  // namespace

// Guards against an outage of a service: records of another writer for the
// addresses of all its targets took the targets out of use.
TEST(OddEntry, RecordsOfAnotherWriterTakeNoServiceOutOfUse) {
  WaitForTargets(options.engines + options.services);
  const std::set<std::string> addresses =
      ListedAddresses(floor->Output(0), "plain");
  for (const RivalKind& kind : kRivalKinds) {
    for (int sequence = 1; sequence <= 2; ++sequence) {
      for (const std::string& it : addresses) {
        floor->store().Put(kTargetTopic, "of-" + it,
                           RivalRecord(kind, it, sequence));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      int served = 0;
      for (int it = 0; it < 20; ++it) {
        const auto answer =
            floor->Call(it % kEntries, "/safe/x",
                        kind.name + std::to_string(20 * sequence + it));
        served += answer && answer->status == 200 ? 1 : 0;
      }
      if (served < 20)
        FAIL((std::string(kind.name) + ": " + std::to_string(served)).c_str());
    }
    for (const std::string& it : addresses)
      floor->store().Put(kTargetTopic, "of-" + it, "");
  }
}

// Guards against the same outage after a restart of all entries, which then
// read all records at once.
TEST(OddEntry, RestartedEntriesUseTargetsWhoseAddressAnotherWriterClaims) {
  WaitForTargets(options.engines + options.services);
  int n = 0;
  for (const std::string& it : ListedAddresses(floor->Output(0), "plain")) {
    floor->store().Put(kTargetTopic, "a-" + std::to_string(++n),
                       RivalRecord(kRivalKinds[0], it, 1));
  }
  RestartEntriesInTurn();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (int it = 0; it < 20; ++it) {
    const auto answer =
        floor->Call(it % kEntries, "/safe/x", "again" + std::to_string(it));
    CHECK(answer && answer->status == 200);
  }
}

// Guards against streams without a path: the same records for the addresses of
// all engines hid the layers that the engines hold.
TEST(OddEntry, RecordsOfAnotherWriterHideNoLayers) {
  WaitForTargets(options.engines + options.services);
  for (const char* service : {"engine", "plain"}) {
    for (const std::string& it : ListedAddresses(floor->Output(0), "engine")) {
      floor->store().Put(
          kTargetTopic, service + it,
          RivalRecord({service, service, kLateBorn, true}, it, 1));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    for (int it = 0; it < 2 * kEntries; ++it)
      CHECK(floor->Stream(it % kEntries, service + std::to_string(it)).whole);
  }
}

TEST(OddEntry, EntriesStartWithOddRecordsInAListOfManyPages) {
  PutOddRecords();
  floor->store().SetPageSize(2);
  for (int it = 0; it < kEntries; ++it) {
    floor->Signal(it, SIGKILL);
    floor->WaitForExit(it);
    floor->StartEntry(it);
  }
  for (int it = 0; it < kEntries; ++it) {
    if (!floor->WaitReady(it, 5000))
      FAIL(("not ready: " + floor->Output(it)).c_str());
  }
  WaitForTargets(options.engines + options.services);
  CHECK(floor->Stream(0, "stream").whole);
}

TEST(OddEntry, IsLoggedAndCountedOnceHoweverOftenItIsRead) {
  PutOddRecords();
  // After each outage the whole list is read again.
  for (int it = 0; it < 3; ++it) {
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    floor->store().SetOutage(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    floor->store().SetOutage(false);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  CheckEntriesRun();
  const int odd = static_cast<int>(OddRecords().size());
  int readers = 0;
  for (int it = 0; it < kEntries; ++it) {
    const int lines = CountOf(floor->Output(it), "target-record-rejected");
    if (lines == 0)
      continue;
    ++readers;
    CHECK_EQUAL(odd, lines);
    const std::string counted =
        "rejected_target_records\"} " + std::to_string(odd) + "\n";
    if (floor->Metrics(it).find(counted) == std::string::npos)
      FAIL(floor->Metrics(it).c_str());
  }
  CHECK(readers > 0);
}
