#ifndef MODULES_BBV_ROUTING_RETRY_BUDGET_H_
#define MODULES_BBV_ROUTING_RETRY_BUDGET_H_

namespace bbv {

// Limits retries to a fraction of first attempts, so that failing targets
// cannot multiply the load.
//
// Thread safety: none, owned by the control thread.
class RetryBudget {
 public:
  // Each first attempt adds `share` of a retry to the budget, which holds at
  // most `maximum` retries and starts out full.
  RetryBudget(double share, double maximum);

  // Records a first attempt.
  void RecordAttempt();

  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryTakeRetry();

 private:
  double share_;
  double maximum_;
  double balance_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_RETRY_BUDGET_H_
