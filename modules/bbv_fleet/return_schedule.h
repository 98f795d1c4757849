#ifndef MODULES_BBV_FLEET_RETURN_SCHEDULE_H_
#define MODULES_BBV_FLEET_RETURN_SCHEDULE_H_

#include "bbv_core/instant.h"

namespace bbv {

// Tells refused callers of one service when to come back.
//
// Answers overloads of some seconds, as while a zone lacks layers: callers that
// all return after a short pause meet the same shortage, are refused again and
// give up. Each refusal books a place for the return instead, at a part of the
// rate at which calls are being taken, so that returns queue up outside for as
// long as the shortage lasts and do not come as a second rush behind it.
// What is taken is forgotten within seconds; without any the least pause holds.
// Deterministic. Thread safety: none, owned by one thread.
class RetryAfterScheduler {
 public:
  // A call was taken at `now`.
  void RecordAccepted(Instant now);

  // Books the return of a caller refused at `now`, after `least` at the
  // earliest and `most` at the latest. Precondition: least <= most.
  Milliseconds ReserveDelay(Milliseconds least, Milliseconds most, Instant now);

 private:
  double TakenPerSecond(Instant now) const;

  // Calls taken lately, fading with time, as of `counted_at_`.
  double taken_ = 0;
  Instant counted_at_{};
  // Until when returns are booked.
  Instant booked_until_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RETURN_SCHEDULE_H_
