#include "bbv_entry/call_admission.h"

#include <algorithm>
#include <optional>

namespace bbv {
namespace {

constexpr Milliseconds kRetryAfterNoTarget{1000};
constexpr Milliseconds kRetryAfterNoCapacity{400};
// Random spread of retry times, as a percentage of the minimum delay.
constexpr int kRetrySpreadPercent = 50;
// A caller is told to wait for at most this fraction (1/3) of its remaining
// time.
constexpr int kRetryAfterDeadlineDivisor = 3;

}  // namespace

Milliseconds CallAdmission::EarliestRetry(const CallRequest& request,
                                          CallEndReason end,
                                          Instant now) const {
  const Milliseconds earliest = end == CallEndReason::kNoRoom
                                    ? kRetryAfterNoCapacity
                                    : kRetryAfterNoTarget;
  std::optional<Instant> capacity_at;
  if (end == CallEndReason::kNoTarget)
    capacity_at = context_->registry->EarliestBackoffEnd(request.service, now);
  else if (end == CallEndReason::kRateLimit)
    capacity_at = context_->registry->EarliestAllowance(request.service, now);
  if (!capacity_at)
    return earliest;
  return std::max(earliest,
                  Milliseconds(RemainingMilliseconds(*capacity_at, now)));
}

Milliseconds CallAdmission::RetryAfter(const CallRequest& request,
                                       const GuardedCall& call,
                                       CallEndReason end,
                                       Instant now) const {
  const Milliseconds earliest = EarliestRetry(request, end, now);
  if (end == CallEndReason::kQuarantined) {
    const QuarantineRow* row = context_->crash_guard->FindQuarantine(call);
    const Instant probe_at = row == nullptr ? now : row->probe_at;
    return std::max(earliest,
                    Milliseconds(RemainingMilliseconds(probe_at, now)));
  }
  // A caller is told to wait for part of its remaining time at most.
  const Milliseconds left(RemainingMilliseconds(request.caller_deadline, now));
  const Milliseconds latest =
      std::max(earliest, left / kRetryAfterDeadlineDivisor);
  const Milliseconds reserved_delay =
      context_->admission_control->ReserveRetry(request, earliest, latest, now);
  const auto spread =
      static_cast<int>((*context_->random)() % kRetrySpreadPercent);
  return std::min(latest, reserved_delay + earliest * spread / 100);
}

}  // namespace bbv
