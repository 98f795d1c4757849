#include "bbv_fleet/shared_retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::SharedRetryBudget;

namespace {

constexpr int kEntries = 4;
constexpr double kRatio = 0.2;
constexpr double kExtra = 196;
constexpr Milliseconds kWindow{10'000};
constexpr Milliseconds kRound{300};

SharedRetryBudget MakeBudget() {
  SharedRetryBudget budget({kRatio, kExtra, kWindow});
  budget.SetEntries(kEntries, kRound);
  return budget;
}

}  // namespace

TEST_GROUP(SharedRetryBudget) {
  Instant now = Instant() + Milliseconds(1000);
};

TEST(SharedRetryBudget, UsesItsEvenShareWithoutReports) {
  SharedRetryBudget budget = MakeBudget();
  int taken = 0;
  for (int it = 0; it < 1000; ++it) {
    if (it % 10 == 0)
      budget.RecordCall(now);
    taken += budget.TryTake(now) ? 1 : 0;
    now += Milliseconds(10);
  }
  const double even_share = kRatio * 100 + kExtra / kEntries;
  CHECK(taken <= even_share);
  CHECK(taken >= 0.7 * even_share);
}

TEST(SharedRetryBudget, OneEntryMayUseMostOfTheBudgetWhileOthersUseNone) {
  // A crash that affects the streams of one entry only.
  SharedRetryBudget budget = MakeBudget();
  int taken = 0;
  for (int it = 0; it < 40; ++it) {
    budget.SetOthersSpending({500, 0}, now);
    while (budget.TryTake(now))
      ++taken;
    now += Milliseconds(200);
  }
  CHECK(taken > 2 * kExtra / kEntries);
  CHECK(taken <= kRatio * 500 + kExtra);
}

TEST(SharedRetryBudget, EntriesReportingInTurnKeepTheBoundInEveryWindow) {
  // Reports arrive one at a time and late, as over connections, while every
  // entry repeats as much as it may, as after a crash that affects all of them.
  // Guards against granting the same remainder to several entries.
  constexpr int kManyEntries = 22;
  constexpr Milliseconds kStep{25};
  std::vector<SharedRetryBudget> budgets(kManyEntries, MakeBudget());
  for (SharedRetryBudget& it : budgets)
    it.SetEntries(kManyEntries, kStep * kManyEntries + kRound);
  std::vector<SharedRetryBudget::Spending> reported(kManyEntries);
  std::vector<Instant> taken;
  for (int step = 0; step < 1600; ++step) {
    const std::size_t reporter = static_cast<std::size_t>(step) % kManyEntries;
    reported[reporter] = budgets[reporter].Spent(now);
    for (std::size_t it = 0; it < budgets.size(); ++it) {
      SharedRetryBudget::Spending others;
      for (std::size_t other = 0; other < budgets.size(); ++other) {
        if (other == it)
          continue;
        others.calls += reported[other].calls;
        others.repeats += reported[other].repeats;
      }
      budgets[it].SetOthersSpending(others, now);
      while (budgets[it].TryTake(now))
        taken.push_back(now);
    }
    now += kStep;
  }
  CHECK(taken.size() > kExtra);
  for (std::size_t first = 0; first < taken.size(); ++first) {
    std::size_t n = 0;
    while (first + n < taken.size() &&
           taken[first + n] < taken[first] + kWindow)
      ++n;
    CHECK(static_cast<double>(n) <= kExtra);
  }
}
