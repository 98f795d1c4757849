#include "virtual_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>

namespace bbv {
namespace {

constexpr Milliseconds kSettled{5000};
// The rules' bound on a leaving target less the time of a read and a tick.
constexpr Milliseconds kOldestPicture{2000};
constexpr Milliseconds kReadTime{100};
constexpr double kRetryExtra = 320;
constexpr double kRetryShare = 0.2;

VirtualFleet::Shape MakeShape(int entries, int zones, uint64_t seed = 1) {
  VirtualFleet::Shape shape;
  shape.entries = entries;
  shape.zones = zones;
  shape.seed = seed;
  shape.oldest_picture = kOldestPicture;
  return shape;
}

// Whether every entry counts each other entry's calls once.
bool CountsEachOnce(const VirtualFleet& fleet, uint32_t all_calls) {
  for (int it = 0; it < fleet.size(); ++it) {
    if (fleet.IsRunning(it) && fleet.CallsOfOthers(it, 0) != all_calls - 1)
      return false;
  }
  return true;
}

// Mean bytes a second that an entry which relays nothing sends and receives.
double BytesOfAnEntry(int entries, int zones) {
  VirtualFleet fleet(MakeShape(entries, zones));
  fleet.Run(kSettled);
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

// Store calls an entry and second, over the whole fleet.
double StoreCallsOfAnEntry(int entries, int zones) {
  VirtualFleet fleet(MakeShape(entries, zones));
  fleet.Run(kSettled);
  fleet.ResetTraffic();
  fleet.Run(Milliseconds(10'000));
  double calls = 0;
  for (int it = 0; it < fleet.size(); ++it)
    calls += static_cast<double>(fleet.TrafficOf(it).store_calls);
  return calls / 10 / entries;
}

// Draws kills, freezes and cuts of entries, relays first.
class FaultDraw {
 public:
  FaultDraw(VirtualFleet* fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  // Begins a fault, or ends the one that has lasted longest.
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

  bool IsHarmed(int entry) const {
    const bool harmed =
        std::any_of(faults_.begin(), faults_.end(),
                    [entry](const Fault& it) { return it.entry == entry; });
    return harmed ||
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
        return fleet_->CutFromStore(fault.entry, true);
      default:
        return fleet_->CutFromEntries(fault.entry, true);
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
        return fleet_->CutFromStore(fault.entry, false);
      default:
        return fleet_->CutFromEntries(fault.entry, false);
    }
  }

  VirtualFleet* fleet_;
  std::mt19937_64 random_;
  std::deque<Fault> faults_;
  // Faults that are over, and when they ended.
  std::vector<std::pair<Instant, int>> ended_;
};

}  // namespace

TEST_GROUP(VirtualFleet){};

TEST(VirtualFleet, EachEntryCountsEveryOtherOnesCallsOnce) {
  for (const int entries : {1, 2, 4, 10, 70}) {
    VirtualFleet fleet(MakeShape(entries, std::min(entries, 5)));
    fleet.Run(kSettled);
    CHECK_TRUE(CountsEachOnce(fleet, static_cast<uint32_t>(entries)));
  }
}

TEST(VirtualFleet, SumsFollowWhatEntriesTell) {
  VirtualFleet fleet(MakeShape(70, 5));
  fleet.Run(kSettled);
  fleet.SetCalls(33, 8);
  fleet.Run(Milliseconds(1000));
  CHECK_EQUAL(69 + 7, static_cast<int>(fleet.CallsOfOthers(1, 0)));
  CHECK_EQUAL(69, static_cast<int>(fleet.CallsOfOthers(33, 0)));
}

TEST(VirtualFleet, SumsAreRightAgainAfterRelaysAreLost) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualFleet fleet(MakeShape(70, 5, seed));
    fleet.Run(kSettled);
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

TEST(VirtualFleet, AFaultReachesAllEntriesAtOnce) {
  for (const int entries : {10, 70, 350}) {
    VirtualFleet fleet(MakeShape(entries, 5));
    fleet.Run(kSettled);
    fleet.TellFault(entries - 1, "target");
    fleet.Run(Milliseconds(100));
    for (int it = 0; it < entries; ++it)
      CHECK_TRUE(fleet.KnowsFault(it, "target"));
  }
}

TEST(VirtualFleet, AFaultReachesAllWhileARelayHasJustDied) {
  VirtualFleet fleet(MakeShape(70, 5));
  fleet.Run(kSettled);
  const int relay = fleet.RelayOf("zone-0");
  fleet.Kill(relay);
  const int finder = relay == 0 ? 5 : 0;
  fleet.TellFault(finder, "target");
  fleet.Run(Milliseconds(100));
  for (int it = 0; it < fleet.size(); ++it)
    CHECK_TRUE(it == relay || fleet.KnowsFault(it, "target"));
}

// Load: calm. What an entry is told must not grow with the number of entries.
TEST(VirtualFleet, WhatAnEntrySendsAndReceivesStaysLevel) {
  const double at_70 = BytesOfAnEntry(70, 7);
  const double at_350 = BytesOfAnEntry(350, 7);
  CHECK_TRUE(at_350 < 1.5 * at_70);
}

TEST(VirtualFleet, TheStoreIsReadByTheZonesAndNotByEveryEntry) {
  CHECK_TRUE(StoreCallsOfAnEntry(70, 5) < 0.25);
  CHECK_TRUE(StoreCallsOfAnEntry(350, 7) < 0.05);
}

// Entries that neither were harmed in the last seconds nor had their zone's
// readers all cut off keep a picture that they may act on.
TEST(VirtualFleet, NoPictureGrowsTooOldThroughKillsFreezesAndCuts) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    VirtualFleet fleet(MakeShape(30, 3, seed));
    fleet.Run(kSettled);
    FaultDraw draw(&fleet, seed);
    Instant next = fleet.now();
    int broken = 0;
    fleet.Run(Milliseconds(20'000), [&] {
      if (fleet.now() >= next) {
        next = fleet.now() + Milliseconds(700);
        draw.Step();
      }
      for (int it = 0; it < fleet.size(); ++it) {
        if (fleet.IsRunning(it) && !draw.IsHarmed(it) &&
            fleet.PictureAge(it) > kOldestPicture + kReadTime)
          ++broken;
      }
    });
    draw.EndAll();
    fleet.Run(Milliseconds(8000));
    CHECK_EQUAL(0, broken);
    CHECK_TRUE(CountsEachOnce(fleet, 30));
  }
}

// Load: every entry repeats as much as it may, all the time, as after a loss of
// many targets, while relays are killed, frozen and cut off.
TEST(VirtualFleet, TheRetryBoundHoldsThroughLostRelays) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleet fleet(MakeShape(40, 4, seed));
    fleet.Run(kSettled);
    FaultDraw draw(&fleet, seed);
    Instant next = fleet.now();
    std::deque<std::pair<Instant, int>> repeats;
    std::deque<std::pair<Instant, int>> calls;
    double most = 0;
    fleet.Run(Milliseconds(25'000), [&] {
      if (fleet.now() >= next) {
        next = fleet.now() + Milliseconds(900);
        draw.Step();
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
      most = std::max(
          most, window_repeats / (kRetryShare * window_calls + kRetryExtra));
    });
    CHECK_TRUE(most <= 1.0);
  }
}

}  // namespace bbv
