#ifndef MODULES_BBV_FLEET_RETRY_BUDGETS_H_
#define MODULES_BBV_FLEET_RETRY_BUDGETS_H_

#include <map>
#include <string>

#include "bbv_fleet/shared_retry_budget.h"

namespace bbv {

// The retry budgets of all services, and what the other entries spent.
//
// Thread safety: none, owned by one thread.
class RetryBudgets {
 public:
  // Spending by service.
  using SpendingByService = std::map<std::string, SharedRetryBudget::Spending>;

  explicit RetryBudgets(SharedRetryBudget::Limits limits);

  // Returns the budget of `service`; valid as long as this.
  SharedRetryBudget* ForService(const std::string& service);

  // Sets how many entries share each budget, and how long a round of telling
  // takes.
  void SetEntries(int entries, Milliseconds round);

  // Takes what `peer`, an entry or the sum of several, has spent in its window.
  // Nothing new is granted while some peer has not told for a round: what it
  // spent meanwhile is not known. One that was silent for a window has spent
  // nothing in it.
  void SetPeerSpending(const std::string& peer,
                       SpendingByService spendings,
                       Instant now);

  // What this entry has spent in its window and may still take.
  SpendingByService Committed(Instant now);

 private:
  SharedRetryBudget::Limits limits_;
  int entries_ = 1;
  std::map<std::string, SharedRetryBudget> budgets_;
  struct Peer {
    SpendingByService spendings;
    Instant told_at{};
  };
  std::map<std::string, Peer> peers_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RETRY_BUDGETS_H_
