#ifndef MODULES_BBV_FLEET_ZONE_LINK_LIMITER_H_
#define MODULES_BBV_FLEET_ZONE_LINK_LIMITER_H_

#include "bbv_core/instant.h"

namespace bbv {

// Token bucket that limits how much time of the links between availability
// zones the calls of one entry use.
//
// Paths cross zones when no zone holds every layer. Sending a prompt's
// activations takes tens of milliseconds on a link that carries the transfers
// of all calls one after another, so an overloaded link delays every call on it
// beyond the time that callers wait. Deterministic. Not thread-safe; must be
// used from one thread.
class ZoneLinkLimiter {
 public:
  // Sets the number of entries that share the links. Precondition: above 0.
  void SetEntries(int entries);

  // Returns whether a path may cross zones at `now` by a call that must leave
  // `kept_share` of the permitted burst to others.
  bool HasCapacity(Instant now, double kept_share = 0);

  // Deducts `link_ms` milliseconds of link time.
  void Consume(double link_ms);

 private:
  double entries_ = 1;
  // Milliseconds of link time that are available; negative after a large call.
  double balance_ms_ = 0;
  Instant refilled_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_ZONE_LINK_LIMITER_H_
