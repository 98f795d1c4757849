#ifndef MODULES_BBV_FLEET_CALL_DURATIONS_H_
#define MODULES_BBV_FLEET_CALL_DURATIONS_H_

#include <map>
#include <optional>
#include <string>

#include "bbv_core/instant.h"

namespace bbv {

// Tracks the longest recent duration of the calls of each route.
//
// Durations are kept for one to two windows of a fixed length, so that a single
// slow call does not count for ever and routes that are gone take no memory.
// Deterministic. Not thread-safe; must be used from one thread.
class CallDurations {
 public:
  // Records that a call of `route` ended at `now`, `duration` after it arrived.
  // `now` must not decrease from call to call.
  void Record(const std::string& route, Milliseconds duration, Instant now);

  // Returns the longest duration recorded lately; nullopt if there is none.
  std::optional<Milliseconds> Longest(const std::string& route,
                                      Instant now) const;

 private:
  using Window = std::map<std::string, Milliseconds>;

  Window current_;
  Window previous_;
  Instant current_began_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CALL_DURATIONS_H_
