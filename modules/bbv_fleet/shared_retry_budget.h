#ifndef MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_
#define MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "bbv_core/instant.h"

namespace bbv {

// One entry's share of a retry budget that all entries have in common.
//
// The budget bounds the repeated sends to a service: in any window, at most
// `ratio` of the calls in that window plus the fixed number `extra`.
//
// Entries report to each other what they have spent and what they have been
// granted. While reports arrive, each entry is granted an equal part of the
// remaining budget, recalculated with new reports. The others count a grant as
// spent until it is returned, because they learn of actual spending only later.
// Without reports each entry uses an equal part of the fixed number, so that
// the sum over all entries keeps the bound. Not thread-safe; must be used from
// one thread.
class SharedRetryBudget {
 public:
  struct Limits {
    double ratio = 0;
    double extra = 0;
    Milliseconds window{10'000};
    // Time within which every entry has reported its spending to every other
    // one.
    Milliseconds round{300};
  };

  explicit SharedRetryBudget(Limits limits);

  // First sends and repeated sends of one or more entries in the window.
  struct Spending {
    double calls = 0;
    double repeats = 0;
  };

  // Sets the number of entries that share the budget and the duration of a
  // round of reports. Precondition: both above 0.
  void SetEntries(int entries, Milliseconds round);

  // Sets the total spending of all other entries. Nothing is granted in the
  // first round of reports, when the others may still be using their equal
  // parts. After that there is at most one grant per round: a grant based on
  // older reports would give the same remainder to several entries.
  void SetOthersSpending(const Spending& others, Instant now);

  // Returns the spending of this entry in the window.
  Spending Spent(Instant now);

  // Returns the spending of this entry plus what it may still take. This is the
  // value to report to the other entries.
  Spending Committed(Instant now);

  // Counts the first send of a call.
  void RecordCall(Instant now);

  // Takes one repeat. Returns false if the budget of the window is exhausted.
  bool TryTake(Instant now);

  // Returns the number of repeats that are left at `now`.
  double Available(Instant now);

 private:
  // First sends and repeats in one slice of the window.
  struct Slice {
    Instant start;
    uint32_t calls = 0;
    uint32_t repeats = 0;
  };

  Slice& CurrentSlice(Instant now);

  Limits limits_;
  int entries_ = 1;
  // Remainder of the last grant and the time until which it is valid.
  double granted_allowance_ = 0;
  Instant granted_until_{};
  Instant next_grant_{};
  // Period in which reports of the others have arrived without a gap.
  Instant reported_since_{};
  Instant reported_until_{};
  std::deque<Slice> slices_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_
