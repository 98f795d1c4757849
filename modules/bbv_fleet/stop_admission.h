#ifndef MODULES_BBV_FLEET_STOP_ADMISSION_H_
#define MODULES_BBV_FLEET_STOP_ADMISSION_H_

#include "bbv_core/instant.h"
#include "bbv_fleet/call_durations.h"
#include "bbv_fleet/fleet_configuration.h"

namespace bbv {

// Decides which calls an entry still takes after it was told to stop.
//
// Callers reach a stopping entry until the load balancer notices the stop, and
// longer on connections that they keep open. A call that is still open at the
// stop deadline is cut, and may not be repeated if it is unsafe; one that is
// refused is retried at another entry. Therefore:
//
//   - A call whose own deadline passes by the stop deadline is always taken. It
//     ends with its answer or at its own deadline.
//   - Any other call is taken only while the load balancer may not have noticed
//     the stop, and only if calls of its kind end by the stop deadline: within
//     the usual duration of a stream if it may be resumed, else within a
//     multiple of the longest recent duration of its route. If no duration is
//     known, the call is refused.
//
// Both deadlines are fixed at the stop signal, so that a call that was taken is
// not cut by a later change of the settings. Deterministic. Not thread-safe;
// must be used from one thread.
class StopAdmission {
 public:
  // `durations` must outlive this object. Precondition: durations != nullptr.
  StopAdmission(Instant stop_began,
                Instant stop_deadline,
                const CallDurations* durations);

  // Returns whether to take a call of `route` that was read at `now` and ends
  // at `call_deadline` at the latest.
  bool Accepts(const ServiceRoute& route,
               Instant call_deadline,
               Instant now) const;

  // When calls that are still open are ended.
  Instant stop_deadline() const { return stop_deadline_; }

 private:
  Instant stop_deadline_;
  // Time from which on only calls are taken that end by themselves in time.
  Instant strict_from_;
  const CallDurations* durations_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_STOP_ADMISSION_H_
