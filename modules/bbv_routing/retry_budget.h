#ifndef MODULES_BBV_ROUTING_RETRY_BUDGET_H_
#define MODULES_BBV_ROUTING_RETRY_BUDGET_H_

namespace bbv {

// Bounds retries to a share of first attempts, so that failing targets cannot
// multiply the load.
//
// Thread safety: none, owned by the control thread.
class RetryBudget {
 public:
  // Each first attempt adds `share` of a retry; at most `maximum` are saved.
  RetryBudget(double share, double maximum);

  // Counts a first attempt.
  void RecordAttempt();

  // Takes one retry; false when the budget is spent.
  bool TryTakeRetry();

 private:
  double share_;
  double maximum_;
  double balance_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_RETRY_BUDGET_H_
