#include "bbv_recovery/recovery_schedule.h"

#include <algorithm>
#include <tuple>

namespace bbv {
namespace {

// How often a waiting stream is decided about. Prefills end, and peers report
// theirs, in the meantime.
constexpr Milliseconds kHoldInterval{20};

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

std::optional<Instant> RecoverySchedule::HoldUntil(const LostStream& stream,
                                                   double prefill_ms,
                                                   Instant now) {
  if (now >= stream.event_deadline ||
      After(now, prefill_ms) <= stream.event_deadline)
    return std::nullopt;
  return std::min(stream.event_deadline, now + kHoldInterval);
}

}  // namespace bbv
