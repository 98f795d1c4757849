#include "bbv_fleet/retry_budgets.h"

#include <algorithm>
#include <utility>

namespace bbv {

RetryBudgets::RetryBudgets(SharedRetryBudget::Limits limits)
    : limits_(limits) {}

SharedRetryBudget* RetryBudgets::Of(const std::string& service) {
  const auto it = budgets_.find(service);
  if (it != budgets_.end())
    return &it->second;
  SharedRetryBudget budget(limits_);
  budget.SetEntries(entries_, limits_.round);
  return &budgets_.emplace(service, std::move(budget)).first->second;
}

void RetryBudgets::SetEntries(int entries, Milliseconds round) {
  entries_ = std::max(1, entries);
  limits_.round = round;
  for (auto& [service, budget] : budgets_)
    budget.SetEntries(entries_, round);
}

void RetryBudgets::SetPeer(const std::string& peer,
                           Spendings spendings,
                           Instant now) {
  // A peer that fell silent keeps what it told last: it may still spend.
  peers_[peer] = std::move(spendings);
  Spendings others;
  for (const auto& [name, list] : peers_) {
    for (const auto& [service, spent] : list) {
      others[service].calls += spent.calls;
      others[service].repeats += spent.repeats;
    }
  }
  for (const auto& [service, spent] : others)
    Of(service)->SetOthers(spent, now);
}

RetryBudgets::Spendings RetryBudgets::Spent(Instant now) {
  Spendings spendings;
  for (auto& [service, budget] : budgets_)
    spendings[service] = budget.Spent(now);
  return spendings;
}

}  // namespace bbv
