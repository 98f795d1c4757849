#ifndef MODULES_BBV_ADMISSION_RETRY_AFTER_SCHEDULER_H_
#define MODULES_BBV_ADMISSION_RETRY_AFTER_SCHEDULER_H_

#include <map>

#include "bbv_core/instant.h"

namespace bbv {

// Computes when refused callers of one service should retry.
//
// An overload lasts some seconds, for example while a zone lacks layers.
// Callers that all retry after a short delay meet the same shortage, are
// refused again and give up. Each refusal therefore reserves a time slot for
// the retry, at a fraction of the rate at which calls are being accepted.
// Retries are spread over the shortage and do not arrive as a second burst
// after it. A more urgent caller returns before the less urgent ones: its slot
// follows those of callers that are at least as urgent, and no others.
//
// The acceptance rate decays within seconds. Without accepted calls, retries
// are one second apart. Deterministic. Not thread-safe; must be used from one
// thread.
class RetryAfterScheduler {
 public:
  // Records that a call was accepted at `now`.
  void RecordAccepted(Instant now);

  // Reserves a time slot for a caller refused at `now` and returns the delay
  // until then, at least `min_delay`. If that exceeds `max_delay`, returns
  // `max_delay` and reserves nothing. Priority 0 is the most urgent.
  // Precondition: min_delay <= max_delay.
  Milliseconds ReserveDelay(Milliseconds min_delay,
                            Milliseconds max_delay,
                            Instant now,
                            int priority = 0);

 private:
  double AcceptedPerSecond(Instant now) const;

  // Number of accepted calls, with exponential decay, as of `updated_at_`.
  double accepted_count_ = 0;
  Instant updated_at_{};
  // Time of the last reserved slot of each priority.
  std::map<int, Instant> reserved_until_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_RETRY_AFTER_SCHEDULER_H_
