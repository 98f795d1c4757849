#include "bbv_recovery/recovery_schedule.h"

#include <algorithm>
#include <tuple>

namespace bbv {
namespace {

// How often a waiting stream is decided about. Prefills end, and peers report
// theirs, in the meantime.
constexpr Milliseconds kHoldInterval{20};
// Maximum backlog behind which late streams move, as a share of the event gap
// objective: the rest is left to streams that can still be in time.
constexpr double kLateBacklogShare = 0.5;

Instant After(Instant from, double ms) {
  return from + std::chrono::duration_cast<Instant::duration>(
                    std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

bool RecoverySchedule::IsMoreUrgent(const LostStream& left,
                                    const LostStream& right,
                                    Instant now) {
  const bool is_left_late = left.event_deadline <= now;
  const bool is_right_late = right.event_deadline <= now;
  return std::tie(is_left_late, left.priority, left.unread_tokens,
                  left.event_deadline) < std::tie(is_right_late, right.priority,
                                                  right.unread_tokens,
                                                  right.event_deadline);
}

std::optional<Instant> RecoverySchedule::HoldUntil(
    const LostStream& stream,
    const PrefillEstimate& prefill,
    Milliseconds event_gap_objective,
    Instant now) {
  if (event_gap_objective <= Milliseconds(0))
    return std::nullopt;
  if (After(now, prefill.total_ms) <= stream.event_deadline)
    return std::nullopt;
  const Instant last_start = After(stream.caller_deadline, -prefill.total_ms);
  if (now >= last_start)
    return std::nullopt;
  const double max_backlog_ms =
      kLateBacklogShare * static_cast<double>(event_gap_objective.count());
  if (now >= stream.event_deadline && prefill.backlog_ms <= max_backlog_ms)
    return std::nullopt;
  return std::min(last_start, now + kHoldInterval);
}

}  // namespace bbv
