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
  // Returns whether `left` moves before `right`: streams whose deadline has
  // not passed precede the others, then by priority, by number of tokens (fewer
  // first), and by deadline. A strict weak ordering.
  static bool IsMoreUrgent(const LostStream& left,
                           const LostStream& right,
                           Instant now);

  // Returns when to decide again about a stream that must wait, or nullopt if
  // it is to be moved now. `prefill_ms` is the expected time until its best
  // replacement has prefilled it. A stream waits if its prefill would
  // end after its deadline and the deadline has not passed. Precondition:
  // prefill_ms >= 0.
  static std::optional<Instant> HoldUntil(const LostStream& stream,
                                          double prefill_ms,
                                          Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_
