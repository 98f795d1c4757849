#include "bbv_routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace bbv {

RetryBudget::RetryBudget(double share, double maximum)
    : share_(share), maximum_(maximum), balance_(maximum) {
  assert(share >= 0 && maximum >= 1);
}

void RetryBudget::RecordAttempt() {
  balance_ = std::min(maximum_, balance_ + share_);
}

bool RetryBudget::TryTakeRetry() {
  if (balance_ < 1)
    return false;
  balance_ -= 1;
  return true;
}

}  // namespace bbv
