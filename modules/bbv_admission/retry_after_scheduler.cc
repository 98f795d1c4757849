#include "bbv_admission/retry_after_scheduler.h"

#include <algorithm>
#include <cassert>
#include <chrono>

#include "bbv_admission/decay.h"

namespace bbv {
namespace {

// Time constant of the decay: after it the count has fallen to 1 / e.
constexpr std::chrono::duration<double> kDecayTime{2};
// Rate of retries as a fraction of the rate of accepted calls.
constexpr double kRetryShare = 0.1;
// Lower bound of the assumed acceptance rate, so that retries are at most one
// second apart.
constexpr double kMinAcceptedPerSecond = 1 / kRetryShare;
constexpr Milliseconds kMaxSpacing{1000};

}  // namespace

void RetryAfterScheduler::RecordAccepted(Instant now) {
  accepted_count_ = AcceptedPerSecond(now) * kDecayTime.count() + 1;
  updated_at_ = now;
}

double RetryAfterScheduler::AcceptedPerSecond(Instant now) const {
  return accepted_count_ * DecayFactor(updated_at_, now, kDecayTime) /
         kDecayTime.count();
}

Milliseconds RetryAfterScheduler::ReserveDelay(Milliseconds min_delay,
                                               Milliseconds max_delay,
                                               Instant now,
                                               int priority) {
  assert(min_delay <= max_delay);
  const double retries_per_second =
      kRetryShare * std::max(kMinAcceptedPerSecond, AcceptedPerSecond(now));
  const auto spacing = std::chrono::duration_cast<Instant::duration>(
      std::chrono::duration<double>(1 / retries_per_second));
  std::erase_if(reserved_until_, [now](const auto& it) {
    return it.second + kMaxSpacing < now;
  });
  Instant last{};
  for (const auto& [other, until] : reserved_until_) {
    if (other <= priority)
      last = std::max(last, until);
  }
  const Instant at = std::max(last + spacing, now + min_delay);
  if (at > now + max_delay)
    return max_delay;
  reserved_until_[priority] = at;
  return std::chrono::duration_cast<Milliseconds>(at - now);
}

}  // namespace bbv
