#ifndef MODULES_BBV_FLEET_RETRY_BUDGETS_H_
#define MODULES_BBV_FLEET_RETRY_BUDGETS_H_

#include <map>
#include <string>

#include "bbv_fleet/shared_retry_budget.h"

namespace bbv {

// The retry budgets of all services and the spending reported by other entries.
//
// Not thread-safe; must be used from one thread.
class RetryBudgets {
 public:
  using SpendingByService = std::map<std::string, SharedRetryBudget::Spending>;

  explicit RetryBudgets(SharedRetryBudget::Limits limits);

  // Returns the budget of `service`, which is created if needed. The pointer is
  // valid for the lifetime of this object.
  SharedRetryBudget* ForService(const std::string& service);

  // Sets the number of entries that share each budget and the duration of a
  // round of reports.
  void SetEntries(int entries, Milliseconds round);

  // Sets the spending of `peer`, which is one entry or the sum of several, in
  // the window. While some peer has not reported for a round, its spending is
  // not known and no budget gets a new grant. A peer that has not reported for
  // a whole window has spent nothing in it and is removed.
  void SetPeerSpending(const std::string& peer,
                       SpendingByService spending_by_service,
                       Instant now);

  // Returns what this entry has spent in the window plus what it may still
  // take.
  SpendingByService Committed(Instant now);

 private:
  SharedRetryBudget::Limits limits_;
  int entries_ = 1;
  std::map<std::string, SharedRetryBudget> budgets_;
  struct Peer {
    SpendingByService spending_by_service;
    Instant reported_at{};
  };
  std::map<std::string, Peer> peers_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RETRY_BUDGETS_H_
