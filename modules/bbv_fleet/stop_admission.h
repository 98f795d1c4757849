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
//     a multiple of the longest recent duration of its route. If none is known,
//     it is refused.
//   - A stream that may be resumed is not lost when it is cut. While other
//     entries serve, it is taken if most recent streams of its route took no
//     longer. While most of them stop as well, a refused caller finds no entry,
//     and a shorter time is enough.
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
  // at `call_deadline` at the latest. `others_serve` says whether a refused
  // caller will reach an entry that does not stop.
  bool Accepts(const ServiceRoute& route,
               Instant call_deadline,
               bool others_serve,
               Instant now) const;

  // When calls that are still open are ended.
  Instant stop_deadline() const { return stop_deadline_; }

 private:
  // Returns the time that a stream of `route` must have left to be taken.
  Milliseconds RequiredStreamTime(const ServiceRoute& route,
                                  bool others_serve,
                                  Instant now) const;

  Instant stop_deadline_;
  // Time from which on only calls are taken that end by themselves in time.
  Instant strict_from_;
  const CallDurations* durations_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_STOP_ADMISSION_H_
