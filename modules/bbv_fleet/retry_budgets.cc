#include "bbv_fleet/retry_budgets.h"

#include <algorithm>
#include <utility>

namespace bbv {

RetryBudgets::RetryBudgets(SharedRetryBudget::Limits limits)
    : limits_(limits) {}

SharedRetryBudget* RetryBudgets::ForService(const std::string& service) {
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

void RetryBudgets::SetPeerSpending(const std::string& peer,
                                   SpendingByService spending_by_service,
                                   Instant now) {
  peers_[peer] = {std::move(spending_by_service), now};
  std::erase_if(peers_, [&](const auto& it) {
    return now > it.second.reported_at + limits_.window;
  });
  SpendingByService others;
  for (const auto& [name, it] : peers_) {
    if (now > it.reported_at + limits_.round)
      return;
    for (const auto& [service, spent] : it.spending_by_service) {
      others[service].calls += spent.calls;
      others[service].repeats += spent.repeats;
    }
  }
  for (const auto& [service, spent] : others)
    ForService(service)->SetOthersSpending(spent, now);
}

RetryBudgets::SpendingByService RetryBudgets::Committed(Instant now) {
  SpendingByService spending_by_service;
  for (auto& [service, budget] : budgets_)
    spending_by_service[service] = budget.Committed(now);
  return spending_by_service;
}

}  // namespace bbv
