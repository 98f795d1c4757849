#include "virtual_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace bbv {
namespace {

constexpr Milliseconds kSettleTime{5000};
// Time limit for a target that leaves, less the duration of a read and a tick.
constexpr Milliseconds kMaxListAge{2000};
constexpr Milliseconds kReadTime{100};
constexpr double kRetryExtra = 320;
constexpr double kRetryShare = 0.2;

VirtualFleet::Options MakeOptions(int entries, int zones, uint64_t seed = 1) {
  VirtualFleet::Options options;
  options.entries = entries;
  options.zones = zones;
  options.seed = seed;
  options.max_list_age = kMaxListAge;
  return options;
}

// Whether every running entry counts the calls of each other entry exactly
// once.
bool CountsEachOnce(const VirtualFleet& fleet, uint32_t all_calls) {
  for (int it = 0; it < fleet.size(); ++it) {
    if (fleet.IsRunning(it) && fleet.PeerCalls(it, 0) != all_calls - 1)
      return false;
  }
  return true;
}

// Mean bytes per second sent and received by an entry that is not a relay.
double MeanBytesPerSecond(int entries, int zones) {
  VirtualFleet fleet(MakeOptions(entries, zones));
  fleet.Run(kSettleTime);
  fleet.ResetTraffic();
  fleet.Run(Milliseconds(4000));
  double bytes = 0;
  int counted = 0;
  for (int it = 0; it < fleet.size(); ++it) {
    if (fleet.RelayOf(fleet.ZoneOf(it)) == it)
      continue;
    const VirtualFleet::Traffic& traffic = fleet.TrafficOf(it);
    bytes +=
        static_cast<double>(traffic.bytes_sent + traffic.bytes_received) / 4;
    ++counted;
  }
  return bytes / counted;
}

// Mean store calls per second and entry.
double MeanStoreCallsPerSecond(int entries, int zones) {
  VirtualFleet fleet(MakeOptions(entries, zones));
  fleet.Run(kSettleTime);
  fleet.ResetTraffic();
  fleet.Run(Milliseconds(10'000));
  double calls = 0;
  for (int it = 0; it < fleet.size(); ++it)
    calls += static_cast<double>(fleet.TrafficOf(it).store_calls);
  return calls / 10 / entries;
}

// Injects random kills, freezes and partitions, preferably of relays.
class FaultInjector {
 public:
  FaultInjector(VirtualFleet* fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  // Injects a fault, or ends the oldest one if four are active.
  void Step() {
    if (faults_.size() >= 4) {
      End(faults_.front());
      faults_.pop_front();
      return;
    }
    Fault fault;
    const std::string zone =
        fleet_->ZoneOf(static_cast<int>(random_() % fleet_->size()));
    const int relay = fleet_->RelayOf(zone);
    fault.entry =
        relay >= 0 ? relay : static_cast<int>(random_() % fleet_->size());
    fault.kind = static_cast<int>(random_() % 4);
    Begin(fault);
    faults_.push_back(fault);
  }

  void EndAll() {
    for (const Fault& it : faults_)
      End(it);
    faults_.clear();
  }

  bool IsAffected(int entry) const {
    const bool affected =
        std::any_of(faults_.begin(), faults_.end(),
                    [entry](const Fault& it) { return it.entry == entry; });
    return affected ||
           std::any_of(ended_.begin(), ended_.end(), [&](const auto& it) {
             return it.second == entry && fleet_->now() < it.first + kReadTime;
           });
  }

 private:
  struct Fault {
    int entry = 0;
    int kind = 0;
  };

  void Begin(const Fault& fault) {
    switch (fault.kind) {
      case 0:
        return fleet_->Kill(fault.entry);
      case 1:
        return fleet_->Freeze(fault.entry, true);
      case 2:
        return fleet_->SetStorePartition(fault.entry, true);
      default:
        return fleet_->SetPeerPartition(fault.entry, true);
    }
  }
  void End(const Fault& fault) {
    ended_.emplace_back(fleet_->now(), fault.entry);
    switch (fault.kind) {
      case 0:
        return fleet_->Restart(fault.entry);
      case 1:
        return fleet_->Freeze(fault.entry, false);
      case 2:
        return fleet_->SetStorePartition(fault.entry, false);
      default:
        return fleet_->SetPeerPartition(fault.entry, false);
    }
  }

  VirtualFleet* fleet_;
  std::mt19937_64 random_;
  std::deque<Fault> faults_;
  // End time and entry of past faults.
  std::vector<std::pair<Instant, int>> ended_;
};

}  // namespace

TEST_GROUP(VirtualFleet){};

TEST(VirtualFleet, CountsCallsOfEachPeerOnce) {
  for (const int entries : {1, 2, 4, 10, 70}) {
    VirtualFleet fleet(MakeOptions(entries, std::min(entries, 5)));
    fleet.Run(kSettleTime);
    CHECK_TRUE(CountsEachOnce(fleet, static_cast<uint32_t>(entries)));
  }
}

TEST(VirtualFleet, SumsFollowReportedCalls) {
  VirtualFleet fleet(MakeOptions(70, 5));
  fleet.Run(kSettleTime);
  fleet.SetCalls(33, 8);
  fleet.Run(Milliseconds(1000));
  CHECK_EQUAL(69 + 7, static_cast<int>(fleet.PeerCalls(1, 0)));
  CHECK_EQUAL(69, static_cast<int>(fleet.PeerCalls(33, 0)));
}

TEST(VirtualFleet, SumsRecoverAfterRelayLoss) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualFleet fleet(MakeOptions(70, 5, seed));
    fleet.Run(kSettleTime);
    const int first = fleet.RelayOf("zone-0");
    const int second = fleet.RelayOf("zone-1");
    fleet.Kill(first);
    fleet.Freeze(second, true);
    fleet.Run(Milliseconds(6000));
    CHECK_TRUE(CountsEachOnce(fleet, 68));
    fleet.Restart(first);
    fleet.Freeze(second, false);
    fleet.Run(Milliseconds(4000));
    CHECK_TRUE(CountsEachOnce(fleet, 70));
  }
}

TEST(VirtualFleet, FaultReachesAllEntriesWithin100Ms) {
  for (const int entries : {10, 70, 350}) {
    VirtualFleet fleet(MakeOptions(entries, 5));
    fleet.Run(kSettleTime);
    fleet.AnnounceFault(entries - 1, "target");
    fleet.Run(Milliseconds(100));
    for (int it = 0; it < entries; ++it)
      CHECK_TRUE(fleet.KnowsFault(it, "target"));
  }
}

TEST(VirtualFleet, FaultReachesAllEntriesDespiteADeadRelay) {
  VirtualFleet fleet(MakeOptions(70, 5));
  fleet.Run(kSettleTime);
  const int relay = fleet.RelayOf("zone-0");
  fleet.Kill(relay);
  const int finder = relay == 0 ? 5 : 0;
  fleet.AnnounceFault(finder, "target");
  fleet.Run(Milliseconds(100));
  for (int it = 0; it < fleet.size(); ++it)
    CHECK_TRUE(it == relay || fleet.KnowsFault(it, "target"));
}

TEST(VirtualFleet, CrashesSeenByDifferentEntriesAddUpAtAllWithin100Ms) {
  constexpr uint64_t kPart = 0xdead;
  for (const int entries : {10, 70, 350}) {
    VirtualFleet fleet(MakeOptions(entries, 5));
    fleet.Run(kSettleTime);
    for (uint32_t it = 1; it <= 3; ++it) {
      fleet.ReportCrash(entries - static_cast<int>(it), it, kPart);
      fleet.Run(Milliseconds(100));
      for (int entry = 0; entry < entries; ++entry)
        CHECK_EQUAL(static_cast<int>(it), fleet.CrashCount(entry, kPart));
    }
  }
}

TEST(VirtualFleet, AQuarantineReachesAllEntriesDespiteADeadRelay) {
  VirtualFleet fleet(MakeOptions(70, 5));
  fleet.Run(kSettleTime);
  const int relay = fleet.RelayOf("zone-0");
  fleet.Kill(relay);
  fleet.Quarantine(relay == 0 ? 5 : 0, 0xdead);
  fleet.Run(Milliseconds(100));
  for (int it = 0; it < fleet.size(); ++it)
    CHECK_TRUE(it == relay || fleet.IsQuarantined(it, 0xdead));
}

TEST(VirtualFleet, AnEntryThatMissedAQuarantineLearnsOfItWithinThreeSeconds) {
  VirtualFleet fleet(MakeOptions(70, 5));
  fleet.Run(kSettleTime);
  for (int it = 10; it < 25; ++it)
    fleet.SetPeerPartition(it, true);
  for (int it = 25; it < 40; ++it)
    fleet.Freeze(it, true);
  for (int it = 40; it < 50; ++it)
    fleet.Kill(it);
  fleet.Quarantine(0, 0xdead);
  fleet.Run(Milliseconds(2000));
  CHECK_TRUE(!fleet.IsQuarantined(12, 0xdead));
  for (int it = 10; it < 25; ++it)
    fleet.SetPeerPartition(it, false);
  for (int it = 25; it < 40; ++it)
    fleet.Freeze(it, false);
  for (int it = 40; it < 50; ++it)
    fleet.Restart(it);
  fleet.Run(Milliseconds(3000));
  for (int it = 0; it < fleet.size(); ++it)
    CHECK_TRUE(fleet.IsQuarantined(it, 0xdead));
}

// Under constant load, the traffic of an entry must not grow with the number of
// entries.
TEST(VirtualFleet, TrafficPerEntryDoesNotGrowWithTheFleet) {
  const double at_70 = MeanBytesPerSecond(70, 7);
  const double at_350 = MeanBytesPerSecond(350, 7);
  CHECK_TRUE(at_350 < 1.5 * at_70);
}

TEST(VirtualFleet, StoreReadsDoNotScaleWithEntries) {
  CHECK_TRUE(MeanStoreCallsPerSecond(70, 5) < 0.25);
  CHECK_TRUE(MeanStoreCallsPerSecond(350, 7) < 0.05);
}

TEST(VirtualFleet, AZoneWhoseEntriesAllLeaveKeepsOneRelayAndOneReader) {
  VirtualFleet fleet(MakeOptions(27, 3));
  fleet.Run(kSettleTime);
  for (int it = 0; it < fleet.size(); ++it) {
    if (fleet.ZoneOf(it) == "zone-0")
      fleet.Leave(it);
    fleet.Run(Milliseconds(100));
  }
  fleet.Run(Milliseconds(2000));
  CHECK_EQUAL(1, fleet.RelayCount("zone-0"));
  CHECK_EQUAL(1, fleet.FirstReaderCount("zone-0"));
}

// Entries that stop three at a time each 0.8 s, exit 7.7 s later and start
// again after `restart_ms`.
TEST(VirtualFleet, RollingRestartsLeaveOneRelayAndOneReaderInEachZone) {
  for (const int restart_ms : {300, 1000, 2000}) {
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      VirtualFleet fleet(MakeOptions(26, 3, seed));
      fleet.Run(kSettleTime);
      std::vector<int> order(fleet.size());
      std::iota(order.begin(), order.end(), 0);
      std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
      for (int time = 0; time < 25'000; time += 100) {
        for (int it = 0; it < fleet.size(); ++it) {
          const int leaves_at = it / 3 * 800;
          if (time == leaves_at)
            fleet.Leave(order[it]);
          if (time == leaves_at + 7700)
            fleet.Kill(order[it]);
          if (time == leaves_at + 7700 + restart_ms)
            fleet.Restart(order[it]);
        }
        fleet.Run(Milliseconds(100));
      }
      for (const char* zone : {"zone-0", "zone-1", "zone-2"}) {
        CHECK_EQUAL(1, fleet.RelayCount(zone));
        CHECK_EQUAL(1, fleet.FirstReaderCount(zone));
      }
    }
  }
}

TEST(VirtualFleet, EntriesThatAllLeaveSendNoMoreThanBefore) {
  VirtualFleet::Options options = MakeOptions(26, 3);
  options.targets = 52;
  VirtualFleet fleet(options);
  fleet.Run(kSettleTime);
  fleet.Plan(fleet.RelayOf("zone-1"));
  fleet.Run(Milliseconds(2000));
  const auto largest_traffic = [&fleet] {
    fleet.ResetTraffic();
    fleet.Run(Milliseconds(2000));
    uint64_t bytes = 0;
    for (int it = 0; it < fleet.size(); ++it)
      bytes = std::max(bytes, fleet.TrafficOf(it).bytes_sent);
    return bytes;
  };
  const uint64_t before = largest_traffic();
  for (int it = 0; it < fleet.size(); ++it)
    fleet.Leave(it);
  fleet.Run(Milliseconds(1000));
  const uint64_t after = largest_traffic();
  CHECK_TRUE_TEXT(after <= before + before / 4,
                  (std::to_string(before) + " bytes before, " +
                   std::to_string(after) + " after")
                      .c_str());
}

// Entries keep a target list that is recent enough to act on, unless they were
// affected by a fault within kReadTime or all readers of their zone are
// partitioned.
TEST(VirtualFleet, ListsStayFreshThroughKillsFreezesAndPartitions) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    VirtualFleet fleet(MakeOptions(30, 3, seed));
    fleet.Run(kSettleTime);
    FaultInjector injector(&fleet, seed);
    Instant next = fleet.now();
    int broken = 0;
    fleet.Run(Milliseconds(20'000), [&] {
      if (fleet.now() >= next) {
        next = fleet.now() + Milliseconds(700);
        injector.Step();
      }
      for (int it = 0; it < fleet.size(); ++it) {
        if (fleet.IsRunning(it) && !injector.IsAffected(it) &&
            fleet.ListAge(it) > kMaxListAge + kReadTime)
          ++broken;
      }
    });
    injector.EndAll();
    fleet.Run(Milliseconds(8000));
    CHECK_EQUAL(0, broken);
    CHECK_TRUE(CountsEachOnce(fleet, 30));
  }
}

// Every entry retries as often as its budget permits, as after the loss of many
// targets, while relays are killed, frozen and partitioned.
TEST(VirtualFleet, RetryLimitHoldsThroughRelayLoss) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleet fleet(MakeOptions(40, 4, seed));
    fleet.Run(kSettleTime);
    FaultInjector injector(&fleet, seed);
    Instant next = fleet.now();
    std::deque<std::pair<Instant, int>> repeats;
    std::deque<std::pair<Instant, int>> calls;
    double max_ratio = 0;
    fleet.Run(Milliseconds(25'000), [&] {
      if (fleet.now() >= next) {
        next = fleet.now() + Milliseconds(900);
        injector.Step();
      }
      int n_repeats = 0;
      int n_calls = 0;
      for (int it = 0; it < fleet.size(); ++it) {
        if (!fleet.IsRunning(it))
          continue;
        fleet.Budget(it)->RecordCall(fleet.now());
        ++n_calls;
        while (fleet.Budget(it)->TryTake(fleet.now()))
          ++n_repeats;
      }
      repeats.emplace_back(fleet.now(), n_repeats);
      calls.emplace_back(fleet.now(), n_calls);
      while (repeats.front().first + Milliseconds(10'000) <= fleet.now()) {
        repeats.pop_front();
        calls.pop_front();
      }
      double window_repeats = 0;
      double window_calls = 0;
      for (const auto& [at, n] : repeats)
        window_repeats += n;
      for (const auto& [at, n] : calls)
        window_calls += n;
      max_ratio =
          std::max(max_ratio,
                   window_repeats / (kRetryShare * window_calls + kRetryExtra));
    });
    CHECK_TRUE(max_ratio <= 1.0);
  }
}

}  // namespace bbv
