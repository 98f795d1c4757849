#ifndef MODULES_BBV_FLEET_CROSSING_LIMIT_H_
#define MODULES_BBV_FLEET_CROSSING_LIMIT_H_

#include "bbv_core/instant.h"

namespace bbv {

// One entry's part of the time of the links between zones.
//
// Answers the load of days on which no zone holds every layer: a prompt's
// activations take tens of milliseconds on a link that all calls share, one
// after another. More of them than it can carry would make every call on it
// wait for longer than callers do.
// Deterministic. Thread safety: none, owned by one thread.
class ZoneLinkLimiter {
 public:
  // Sets how many entries share the links. Precondition: above 0.
  void SetEntries(int entries);

  // Whether a path may cross zones at `now`.
  bool HasCapacity(Instant now);

  // Counts `link_ms` milliseconds of the links as taken.
  void Consume(double link_ms);

 private:
  double entries_ = 1;
  // Milliseconds of link time that may be taken; below 0 after a large call.
  double balance_ms_ = 0;
  Instant refilled_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CROSSING_LIMIT_H_
