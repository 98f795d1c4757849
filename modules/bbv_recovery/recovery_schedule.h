#ifndef MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_
#define MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_

#include <optional>

#include "bbv_core/instant.h"
#include "bbv_recovery/lost_stream.h"

namespace bbv {

// Decides the order and the time in which lost streams move to a replacement.
//
// An engine prefills in the order of arrival. A stream that will be late in any
// case, if moved first, makes those behind it late as well; it therefore lets
// them go first until its deadline has passed. Pure functions; thread-safe.
class RecoverySchedule {
 public:
  // Returns whether `left` moves before `right`: streams that can still meet
  // their deadline precede the others, then the higher priority, then fewer
  // tokens, so that more of them meet it. A strict weak ordering.
  static bool IsMoreUrgent(const LostStream& left,
                           const LostStream& right,
                           Instant now);

  // Returns when to decide again about a stream that must wait, or nullopt if
  // it is to be moved now. `prefill_ms` is the expected time until its best
  // replacement has prefilled it. A stream waits while it would miss its
  // deadline and others may still meet theirs, thus until its deadline at most:
  // no later than its route would have it go on.
  static std::optional<Instant> HoldUntil(const LostStream& stream,
                                          double prefill_ms,
                                          Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_
