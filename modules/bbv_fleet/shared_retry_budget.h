#ifndef MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_
#define MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "bbv_core/instant.h"

namespace bbv {

// One entry's part of the bound on repeated sends to a service: in any window,
// at most `ratio` of the calls of that window and a fixed number beside.
//
// While the entries tell each other what they spent and what they were granted,
// each may take its part of what is left, anew with each telling. A grant
// counts as spent for the others until it is given back, since they hear of its
// spending only later. While they cannot talk, the fixed number is divided
// evenly, so that the sum over all entries keeps the bound. Thread safety:
// none, owned by one thread.
class SharedRetryBudget {
 public:
  struct Limits {
    double ratio = 0;
    double extra = 0;
    Milliseconds window{10'000};
    // Within this time every entry has told every other one what it spent.
    Milliseconds round{300};
  };

  explicit SharedRetryBudget(Limits limits);

  // What one entry has done in its window.
  struct Spending {
    double calls = 0;
    double repeats = 0;
  };

  // Sets how many entries share the fixed number and how long a round of
  // telling takes. Precondition: both above 0.
  void SetEntries(int entries, Milliseconds round);

  // Takes what all other entries have done together. Nothing is granted in the
  // first round of being told, when the others may still take from their even
  // parts. A new part of what is
  // left is granted once a round, since a part granted on what others told
  // before would be granted to several of them.
  void SetOthers(const Spending& others, Instant now);

  // What this entry has done in its window.
  Spending Spent(Instant now);

  // The same with what it was granted and may still take; told to the others.
  Spending Committed(Instant now);

  // Counts a call's first send.
  void RecordCall(Instant now);

  // Takes one repeat; false when the window's budget is spent.
  bool TryTake(Instant now);

  // Repeats left at `now`.
  double Available(Instant now);

 private:
  // Calls and repeats of one slice of the window.
  struct Slice {
    Instant start;
    uint32_t calls = 0;
    uint32_t repeats = 0;
  };

  Slice& CurrentSlice(Instant now);

  Limits limits_;
  int entries_ = 1;
  // This entry's part of what was left when the others told last, less what it
  // took since, and until when that counts.
  double shared_allowance_ = 0;
  Instant shared_until_{};
  Instant next_grant_{};
  // Since when and until when the others have told without a gap.
  Instant told_since_{};
  Instant told_until_{};
  std::deque<Slice> slices_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_SHARED_RETRY_BUDGET_H_
