#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <string>

#include "virtual_fleet.h"

namespace bbv {
namespace {

constexpr Milliseconds kSettleTime{5000};
constexpr Milliseconds kWindow{4000};
constexpr double kWindowSeconds = 4;
constexpr Milliseconds kTimeToKnow{500};
// Part of a limit that entries must be able to use, within a time.
constexpr double kUsedPart = 0.55;
constexpr Milliseconds kUsedTime{10'000};
constexpr double kUsedSeconds = 10;

// Sends calls to the target of a fleet and counts those of the last seconds.
class LimitedFleet {
 public:
  LimitedFleet(int entries, int zones, uint64_t seed)
      : fleet_([&] {
          VirtualFleet::Options options;
          options.entries = entries;
          options.zones = zones;
          options.seed = seed;
          return options;
        }()) {
    fleet_.Run(kSettleTime);
  }

  // Names a limit and lets every entry for which `has_calls` holds call the
  // target at each tick. Counts requests from kTimeToKnow on.
  void NameLimit(double per_second, std::function<bool(int entry)> has_calls) {
    per_second_ = per_second;
    has_calls_ = std::move(has_calls);
    fleet_.NameRateLimit(per_second);
    counted_from_ = fleet_.now() + kTimeToKnow;
    Run(kTimeToKnow);
  }

  void Run(Milliseconds time) {
    sent_ = 0;
    fleet_.Run(time, [this] { SendCalls(); });
  }

  VirtualFleet& fleet() { return fleet_; }
  // Requests of the last Run(), and the most in any window so far.
  int sent() const { return sent_; }
  std::size_t most() const { return most_; }
  std::size_t allowed() const {
    return static_cast<std::size_t>(1.5 * per_second_ * kWindowSeconds) + 5;
  }

 private:
  void SendCalls() {
    const Instant now = fleet_.now();
    for (int it = 0; it < fleet_.size(); ++it) {
      if (!fleet_.IsRunning(it) || !has_calls_(it) ||
          !fleet_.CallLimitedTarget(it))
        continue;
      ++sent_;
      if (now >= counted_from_)
        window_.push_back(now);
    }
    while (!window_.empty() && window_.front() + kWindow < now)
      window_.pop_front();
    most_ = std::max(most_, window_.size());
  }

  VirtualFleet fleet_;
  double per_second_ = 0;
  std::function<bool(int entry)> has_calls_;
  Instant counted_from_{};
  std::deque<Instant> window_;
  int sent_ = 0;
  std::size_t most_ = 0;
};

bool Always(int) {
  return true;
}

}  // namespace

TEST_GROUP(RateLimitFleet){};

TEST(RateLimitFleet, LimitIsKeptAndUsedByFleetsOfAnySize) {
  struct Case {
    int entries;
    double per_second;
  };
  for (const Case& it : {Case{1, 0.4}, Case{1, 50}, Case{4, 0.4}, Case{4, 2},
                         Case{68, 50}, Case{350, 2}}) {
    LimitedFleet fleet(it.entries, std::min(it.entries, 7), 1);
    fleet.NameLimit(it.per_second, Always);
    fleet.Run(Milliseconds(6000));
    fleet.Run(kUsedTime);
    CHECK(fleet.most() <= fleet.allowed());
    CHECK(fleet.sent() >= kUsedPart * it.per_second * kUsedSeconds);
  }
}

TEST(RateLimitFleet, EntriesWithoutCallsHoldNoPartThatAnotherNeeds) {
  for (int only = 0; only < 8; only += 7) {
    LimitedFleet fleet(40, 4, 2);
    fleet.NameLimit(4, [only](int entry) { return entry == only; });
    fleet.Run(Milliseconds(6000));
    fleet.Run(kUsedTime);
    CHECK(fleet.most() <= fleet.allowed());
    CHECK(fleet.sent() >= kUsedPart * 4 * kUsedSeconds);
  }
}

TEST(RateLimitFleet, LimitIsKeptWhileRelaysAndHoldersAreLost) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    LimitedFleet fleet(40, 4, seed);
    fleet.NameLimit(2, Always);
    for (int it = 0; it < 6; ++it) {
      const int relay = fleet.fleet().RelayOf("zone-0");
      const int other = (it * 8 + 4) % fleet.fleet().size();
      if (it % 3 == 0)
        fleet.fleet().Kill(relay);
      else if (it % 3 == 1)
        fleet.fleet().Freeze(relay, true);
      else
        fleet.fleet().SetPeerPartition(relay, true);
      fleet.Run(Milliseconds(1500));
      fleet.fleet().Kill(other);
      fleet.Run(Milliseconds(2500));
      fleet.fleet().Restart(other);
      if (it % 3 == 0)
        fleet.fleet().Restart(relay);
      else if (it % 3 == 1)
        fleet.fleet().Freeze(relay, false);
      else
        fleet.fleet().SetPeerPartition(relay, false);
      fleet.Run(Milliseconds(3000));
    }
    CHECK(fleet.most() <= fleet.allowed());
  }
}

TEST(RateLimitFleet, ChangesAndTheEndOfALimitReachEntriesThatSendNothing) {
  LimitedFleet fleet(40, 4, 3);
  fleet.NameLimit(4, [](int entry) { return entry < 4; });
  fleet.Run(Milliseconds(4000));
  for (int it = 0; it < fleet.fleet().size(); ++it)
    CHECK_TRUE(fleet.fleet().KnowsRateLimit(it));
  fleet.fleet().NameRateLimit(std::nullopt);
  fleet.Run(Milliseconds(3000));
  for (int it = 0; it < fleet.fleet().size(); ++it)
    CHECK_FALSE(fleet.fleet().KnowsRateLimit(it));
}

// It missed the notice and every row that was sent again.
TEST(RateLimitFleet, EntryThatWasCutOffLearnsOfALimitAndOfItsEnd) {
  LimitedFleet fleet(12, 3, 4);
  fleet.fleet().SetPeerPartition(5, true);
  const auto others = [](int entry) { return entry != 5; };
  fleet.NameLimit(4, others);
  fleet.Run(Milliseconds(4000));
  CHECK_FALSE(fleet.fleet().KnowsRateLimit(5));
  fleet.fleet().SetPeerPartition(5, false);
  fleet.Run(Milliseconds(3000));
  CHECK_TRUE(fleet.fleet().KnowsRateLimit(5));
  fleet.fleet().SetPeerPartition(5, true);
  fleet.fleet().NameRateLimit(std::nullopt);
  fleet.Run(Milliseconds(4000));
  CHECK_TRUE(fleet.fleet().KnowsRateLimit(5));
  fleet.fleet().SetPeerPartition(5, false);
  fleet.Run(Milliseconds(3000));
  CHECK_FALSE(fleet.fleet().KnowsRateLimit(5));
}

}  // namespace bbv
