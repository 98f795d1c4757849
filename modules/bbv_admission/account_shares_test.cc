#include "bbv_admission/account_shares.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using bbv::AccountShares;
using bbv::DemandKey;
using bbv::DemandTable;
using bbv::Instant;
using bbv::Milliseconds;

namespace {

constexpr uint32_t kLarge = 1;
constexpr uint32_t kFirstSmall = 2;
constexpr int kSmallAccounts = 5;
constexpr int kEntries = 6;
constexpr double kCallTokens = 20;
// What the targets bear, and what the accounts ask for, in tokens per second.
constexpr double kCapacity = 1000;
constexpr double kLargeDemand = 3000;
constexpr double kSmallDemand = 80;
constexpr Milliseconds kStep{10};
constexpr Milliseconds kHold{500};
constexpr Milliseconds kMaxWait{400};
// Callers of refused calls ask again after this time.
constexpr Milliseconds kRetryAfter{1000};
constexpr Milliseconds kReportInterval{600};
constexpr uint64_t kSeed = 1;

DemandKey KeyOf(uint32_t account) {
  return {{7, 0}, account};
}

// Several entries that share targets with too little room for one large and
// several small accounts.
class Entries {
 public:
  struct Options {
    bool shares = true;
    double large_demand = kLargeDemand;
    int small_accounts = kSmallAccounts;
    // The calls of the large account arrive at this many entries, those of the
    // small ones at the others. 0: all calls arrive at all entries.
    int large_entries = 0;
    // Whether entry `to` hears the reports of entry `from`.
    std::function<bool(int from, int to)> hears = [](int, int) { return true; };
  };

  explicit Entries(Options options) : options_(std::move(options)) {}

  void Run(Milliseconds time) {
    for (const Instant end = now + time; now < end; now += kStep)
      Step();
  }

  double Served(uint32_t account) const {
    const auto it = served_.find(account);
    return it == served_.end() ? 0 : it->second;
  }
  double ServedOfAll() const {
    double sum = 0;
    for (const auto& [account, tokens] : served_)
      sum += tokens;
    return sum;
  }
  void ClearCounts() {
    served_.clear();
    refused_with_room = 0;
  }
  std::vector<AccountShares>& shares() { return shares_; }

  Instant now = Instant() + Milliseconds(1000);
  // Calls of small accounts refused although there was room while they waited.
  int refused_with_room = 0;

 private:
  struct Call {
    int entry = 0;
    uint32_t account = 0;
    Instant refuse_at;
    bool saw_room = false;
  };
  struct Retry {
    Instant at;
    int entry = 0;
    uint32_t account = 0;
  };

  void Arrive(int entry, uint32_t account) {
    shares_[entry].meter()->RecordAsked(KeyOf(account), kCallTokens, now);
    shares_[entry].meter()->AddWaiting(KeyOf(account), kCallTokens);
    waiting_.push_back({entry, account, now + kMaxWait, false});
  }

  int NextEntry(uint32_t account) {
    const auto n = static_cast<int>(arrivals_++);
    const int large = options_.large_entries;
    if (large == 0)
      return n % kEntries;
    return account == kLarge ? n % large : large + n % (kEntries - large);
  }

  // Calls of `account` arrive in equal distances, at each entry in turn.
  void Offer(uint32_t account, double per_second) {
    double& due = due_[account];
    due += per_second * 0.001 * static_cast<double>(kStep.count());
    for (; due >= kCallTokens; due -= kCallTokens)
      Arrive(NextEntry(account), account);
  }

  void Leave(const Call& call) {
    shares_[call.entry].meter()->RemoveWaiting(KeyOf(call.account),
                                               kCallTokens);
  }

  bool HasRoom() const {
    return static_cast<double>(held_until_.size() + 1) * kCallTokens <=
           kCapacity * 0.001 * static_cast<double>(kHold.count());
  }

  bool Serve(Call* call) {
    call->saw_room = call->saw_room || HasRoom();
    if (!HasRoom() || (options_.shares &&
                       shares_[call->entry].Yields(KeyOf(call->account), now)))
      return false;
    held_until_.push_back(now + kHold);
    shares_[call->entry].RecordTaken(KeyOf(call->account), kCallTokens, now);
    served_[call->account] += kCallTokens;
    Leave(*call);
    return true;
  }

  bool Refuse(const Call& call) {
    if (now < call.refuse_at)
      return false;
    shares_[call.entry].meter()->RecordRefused(KeyOf(call.account), kCallTokens,
                                               now);
    refused_with_room += call.saw_room && call.account != kLarge ? 1 : 0;
    retries_.push_back({now + kRetryAfter, call.entry, call.account});
    Leave(call);
    return true;
  }

  void Exchange() {
    std::vector<DemandTable> reports;
    for (AccountShares& it : shares_)
      reports.push_back(it.Report(now));
    // Reports arrive one interval after they were made.
    for (int to = 0; to < kEntries; ++to) {
      for (int from = 0; from < kEntries; ++from) {
        if (from != to && !reports_.empty() && options_.hears(from, to))
          shares_[to].SetPeerDemand(std::to_string(from), reports_[from], now);
      }
    }
    reports_ = std::move(reports);
  }

  void Step() {
    std::erase_if(held_until_, [this](Instant it) { return now >= it; });
    while (!retries_.empty() && now >= retries_.front().at) {
      const Retry retry = retries_.front();
      retries_.pop_front();
      Arrive(retry.entry, retry.account);
    }
    Offer(kLarge, options_.large_demand);
    for (int it = 0; it < options_.small_accounts; ++it)
      Offer(kFirstSmall + static_cast<uint32_t>(it), kSmallDemand);
    for (AccountShares& it : shares_)
      it.OnTick(now);
    // Entries race for the room: their calls find it in no certain order.
    std::shuffle(waiting_.begin(), waiting_.end(), random_);
    std::erase_if(waiting_,
                  [this](Call& it) { return Serve(&it) || Refuse(it); });
    if (now >= next_exchange_) {
      next_exchange_ = now + kReportInterval;
      Exchange();
    }
  }

  Options options_;
  std::vector<AccountShares> shares_ = std::vector<AccountShares>(kEntries);
  std::vector<Call> waiting_;
  std::vector<DemandTable> reports_;
  std::deque<Retry> retries_;
  std::vector<Instant> held_until_;
  std::map<uint32_t, double> due_;
  std::map<uint32_t, double> served_;
  uint64_t arrivals_ = 0;
  std::mt19937_64 random_{kSeed};
  Instant next_exchange_{};
};

constexpr Milliseconds kWarmUp{10'000};
constexpr Milliseconds kPlay{20'000};
constexpr double kPlaySeconds = 20;

void Play(Entries* entries) {
  entries->Run(kWarmUp);
  entries->ClearCounts();
  entries->Run(kPlay);
}

double LeastSmallShare(const Entries& entries) {
  double least = 1;
  for (int it = 0; it < kSmallAccounts; ++it) {
    least = std::min(least,
                     entries.Served(kFirstSmall + static_cast<uint32_t>(it)) /
                         (kSmallDemand * kPlaySeconds));
  }
  return least;
}

}  // namespace

TEST_GROUP(AccountShares){};

TEST(AccountShares, WithoutThemALargeAccountCrowdsOutTheOthers) {
  Entries entries({.shares = false});
  Play(&entries);
  CHECK_TRUE(LeastSmallShare(entries) < 0.7);
}

TEST(AccountShares, EachAccountGetsItsMaxMinShare) {
  Entries entries({});
  Play(&entries);
  CHECK_TRUE(LeastSmallShare(entries) > 0.9);
  CHECK_EQUAL(0, entries.refused_with_room);
  // The large account gets what the others leave; no room stays unused.
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
  CHECK_TRUE(entries.Served(kLarge) >
             0.9 * (kCapacity - kSmallAccounts * kSmallDemand) * kPlaySeconds);
}

TEST(AccountShares, NobodyIsRefusedWhileThereIsRoom) {
  Entries entries({.large_demand = 500});
  Play(&entries);
  CHECK_TRUE(entries.ServedOfAll() >
             0.99 * (500 + kSmallAccounts * kSmallDemand) * kPlaySeconds);
  for (AccountShares& it : entries.shares())
    CHECK_TRUE(it.TakeYieldChanges().empty());
}

TEST(AccountShares, OneAccountAloneNeverYields) {
  Entries entries({.small_accounts = 0});
  Play(&entries);
  for (AccountShares& it : entries.shares()) {
    CHECK_TRUE(it.TakeYieldChanges().empty());
    CHECK_FALSE(it.Yields(KeyOf(kLarge), entries.now));
  }
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, RoomIsUsedAgainWhenTheOthersStop) {
  Entries entries({});
  Play(&entries);
  for (AccountShares& it : entries.shares())
    it.TakeYieldChanges();
  Entries alone({.small_accounts = 0});
  alone.shares() = entries.shares();
  alone.now = entries.now;
  alone.Run(Milliseconds(6000));
  alone.ClearCounts();
  alone.Run(kPlay);
  CHECK_TRUE(alone.Served(kLarge) > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, EntriesThatSeeDifferentSumsStarveNobody) {
  // The first entry hears nobody, the last one is heard by nobody.
  Entries entries({.hears = [](int from, int to) {
    return to != 0 && from != kEntries - 1;
  }});
  Play(&entries);
  CHECK_TRUE(LeastSmallShare(entries) > 0.8);
  CHECK_TRUE(entries.Served(kLarge) >
             0.8 * (kCapacity - kSmallAccounts * kSmallDemand) * kPlaySeconds);
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, ALargeAccountYieldsToCallsAtOtherEntries) {
  Entries entries({.large_entries = 2});
  Play(&entries);
  CHECK_TRUE(LeastSmallShare(entries) > 0.9);
  CHECK_TRUE(entries.Served(kLarge) >
             0.9 * (kCapacity - kSmallAccounts * kSmallDemand) * kPlaySeconds);
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, AWeightedAccountGetsMoreUnderContention) {
  AccountShares shares;
  shares.SetWeight(kLarge, 3);
  const Instant now = Instant() + Milliseconds(1000);
  shares.SetPeerDemand("zone",
                       {{KeyOf(kLarge), {4000, 3600, 0}},
                        {KeyOf(kFirstSmall), {4000, 400, 1000}}},
                       now);
  shares.meter()->RecordAsked(KeyOf(kLarge), 4000, now);
  shares.meter()->RecordTaken(KeyOf(kLarge), 3600, now);
  shares.OnTick(now);
  const auto changes = shares.TakeYieldChanges();
  CHECK_EQUAL(1U, changes.size());
  // 7,600 tokens in four seconds, three quarters of them.
  DOUBLES_EQUAL(1425, changes.front().share, 1);
  DOUBLES_EQUAL(712, changes.front().limit, 1);
}

TEST(AccountShares, ARestartedEntryDividesAgainWithinSeconds) {
  Entries entries({});
  entries.Run(kWarmUp);
  entries.shares()[0] = AccountShares();
  entries.Run(Milliseconds(3000));
  entries.ClearCounts();
  entries.Run(kPlay);
  CHECK_TRUE(LeastSmallShare(entries) > 0.9);
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, EntriesWithoutPeersDivideWhatTheySee) {
  Entries entries({.hears = [](int, int) { return false; }});
  Play(&entries);
  CHECK_TRUE(LeastSmallShare(entries) > 0.8);
  CHECK_TRUE(entries.ServedOfAll() > 0.95 * kCapacity * kPlaySeconds);
}

TEST(AccountShares, SilentPeersCeaseToCountAndAreReportedOnce) {
  AccountShares shares;
  const Instant start = Instant() + Milliseconds(1000);
  shares.meter()->RecordAsked(KeyOf(kLarge), 100, start);
  shares.SetPeerDemand("zone", {{KeyOf(kLarge), {300, 0, 0}}}, start);
  shares.OnTick(start + Milliseconds(1000));
  CHECK_TRUE(shares.OwnPart({7, 0}) < 0.3);
  CHECK_TRUE(shares.TakePeerChanges().empty());
  shares.OnTick(start + Milliseconds(5000));
  DOUBLES_EQUAL(1, shares.OwnPart({7, 0}), 0.001);
  auto changes = shares.TakePeerChanges();
  CHECK_EQUAL(1U, changes.size());
  CHECK_TRUE(changes.front().is_silent);
  shares.OnTick(start + Milliseconds(30'000));
  CHECK_TRUE(shares.TakePeerChanges().empty());
  shares.SetPeerDemand("zone", {}, start + Milliseconds(31'000));
  changes = shares.TakePeerChanges();
  CHECK_EQUAL(1U, changes.size());
  CHECK_FALSE(changes.front().is_silent);
}

TEST(AccountShares, ReportsAreBoundedAndEmptyWithoutUnmetDemand) {
  AccountShares shares;
  const Instant now = Instant() + Milliseconds(1000);
  for (uint32_t it = 1; it <= 100; ++it)
    shares.meter()->RecordAsked(KeyOf(it), it, now);
  CHECK_TRUE(shares.Report(now).empty());
  shares.meter()->RecordRefused(KeyOf(1), 10, now);
  const DemandTable rows = shares.Report(now);
  CHECK_EQUAL(AccountShares::kMaxOwnRows, rows.size());
  double asked = 0;
  for (const auto& [key, demand] : rows)
    asked += demand.asked;
  DOUBLES_EQUAL(5050, asked, 0.001);
  CHECK_TRUE(rows.contains(KeyOf(100)));
  CHECK_TRUE(rows.contains(KeyOf(bbv::kOtherAccounts)));
}
