#ifndef MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_
#define MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_

#include <optional>

#include "bbv_core/instant.h"
#include "bbv_recovery/lost_stream.h"

namespace bbv {

// Decides the order and the time in which lost streams move to a replacement.
//
// An engine prefills in the order of arrival. A stream that will be late in any
// case, if moved first, makes those behind it late as well; it therefore waits
// until they are done. Pure functions; thread-safe.
class RecoverySchedule {
 public:
  // Returns whether `left` moves before `right`: streams that can still meet
  // their deadline precede the others, then the higher priority, then fewer
  // tokens, so that more of them meet it. A strict weak ordering.
  static bool IsMoreUrgent(const LostStream& left,
                           const LostStream& right,
                           Instant now);

  // Returns when to decide again about a stream that must wait, or nullopt if
  // it is to be moved now. A stream waits while it would miss its deadline and
  // others may need the replacement, but never so long that its caller would
  // disconnect. `event_gap_objective` is that of its route.
  static std::optional<Instant> HoldUntil(const LostStream& stream,
                                          const PrefillEstimate& prefill,
                                          Milliseconds event_gap_objective,
                                          Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_RECOVERY_RECOVERY_SCHEDULE_H_
