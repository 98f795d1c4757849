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

TEST(SharedRetryBudget, KeepsItsPartWhileEntriesCannotTalk) {
  SharedRetryBudget budget = MakeBudget();
  int taken = 0;
  for (int it = 0; it < 1000; ++it) {
    if (it % 10 == 0)
      budget.RecordCall(now);
    taken += budget.TryTake(now) ? 1 : 0;
    now += Milliseconds(10);
  }
  const double part = kRatio * 100 + kExtra / kEntries;
  CHECK(taken <= part);
  CHECK(taken >= 0.7 * part);
}

TEST(SharedRetryBudget, OneEntryMayTakeMostWhileTheOthersTakeNone) {
  // A crash that hits the streams of one entry alone.
  SharedRetryBudget budget = MakeBudget();
  int taken = 0;
  for (int it = 0; it < 40; ++it) {
    budget.SetOthers({500, 0}, now);
    while (budget.TryTake(now))
      ++taken;
    now += Milliseconds(200);
  }
  CHECK(taken > 2 * kExtra / kEntries);
  CHECK(taken <= kRatio * 500 + kExtra);
}

TEST(SharedRetryBudget, ManyEntriesThatTellInTurnKeepTheBoundInEveryWindow) {
  // Entries hear of each other one by one and late, as over connections; all
  // want to repeat as much as they may, as after a crash that hits them all.
  constexpr int kMany = 22;
  constexpr Milliseconds kStep{25};
  std::vector<SharedRetryBudget> budgets(kMany, MakeBudget());
  for (SharedRetryBudget& it : budgets)
    it.SetEntries(kMany, kStep * kMany + kRound);
  std::vector<SharedRetryBudget::Spending> told(kMany);
  std::vector<Instant> taken;
  for (int step = 0; step < 1600; ++step) {
    const std::size_t teller = static_cast<std::size_t>(step) % kMany;
    told[teller] = budgets[teller].Spent(now);
    for (std::size_t it = 0; it < budgets.size(); ++it) {
      SharedRetryBudget::Spending others;
      for (std::size_t other = 0; other < budgets.size(); ++other) {
        if (other == it)
          continue;
        others.calls += told[other].calls;
        others.repeats += told[other].repeats;
      }
      budgets[it].SetOthers(others, now);
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
