#include "bbv_fleet/return_schedule.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bbv {
namespace {

// Time in which the count of taken calls fades to a part of 1 / e.
constexpr double kFadeSeconds = 2;
// Part of the calls taken that returning callers may be.
constexpr double kReturnShare = 0.1;
// Calls a second that are assumed to be taken at least: returns are booked a
// second apart at most.
constexpr double kLeastPerSecond = 1 / kReturnShare;

double SecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void RetryAfterScheduler::RecordAccepted(Instant now) {
  taken_ = TakenPerSecond(now) * kFadeSeconds + 1;
  counted_at_ = now;
}

double RetryAfterScheduler::TakenPerSecond(Instant now) const {
  return taken_ * std::exp(-SecondsBetween(counted_at_, now) / kFadeSeconds) /
         kFadeSeconds;
}

Milliseconds RetryAfterScheduler::ReserveDelay(Milliseconds least,
                                               Milliseconds most,
                                               Instant now) {
  assert(least <= most);
  const double per_second =
      kReturnShare * std::max(kLeastPerSecond, TakenPerSecond(now));
  const auto apart = std::chrono::duration_cast<Instant::duration>(
      std::chrono::duration<double>(1 / per_second));
  const Instant at = std::max(booked_until_ + apart, now + least);
  if (at > now + most)
    return most;
  booked_until_ = at;
  return std::chrono::duration_cast<Milliseconds>(at - now);
}

}  // namespace bbv
