#ifndef MODULES_BBV_FLEET_STALL_DETECTOR_H_
#define MODULES_BBV_FLEET_STALL_DETECTOR_H_

#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// Recent activity of a stream, from which the liveness of its hops is inferred.
struct StreamActivity {
  // Target ids of the hops of its path. Must stay valid during the call.
  const std::vector<std::string>* hop_ids = nullptr;
  Instant last_event{};
  // Expected milliseconds between two events.
  double event_ms = 0;
};

// Finds targets that may have failed by correlating the stalls of the streams
// of one entry.
//
// Every event shows that all hops of its stream were alive a moment ago. When
// several streams stall at the same time, the hops that occur only in stalled
// streams are suspected. This is much faster than distinguishing a pause from a
// failure in a single stream, and callers notice pauses of a few tenths of a
// second.
class StallDetector {
 public:
  // Returns the ids of suspected targets, which should be probed. Thread-safe.
  static std::vector<std::string> FindSuspects(
      const std::vector<StreamActivity>& streams,
      Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_STALL_DETECTOR_H_
