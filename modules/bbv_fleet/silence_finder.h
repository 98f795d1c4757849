#ifndef MODULES_BBV_FLEET_SILENCE_FINDER_H_
#define MODULES_BBV_FLEET_SILENCE_FINDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// A stream under way, as far as its events tell whether its hops live.
struct StreamActivity {
  // Hops of its path; they must outlive the search.
  const std::vector<std::string>* hop_ids = nullptr;
  Instant last_event{};
  // Expected milliseconds between two events.
  double event_ms = 0;
};

// Finds targets that may have died, from what the streams of one entry have in
// common.
//
// Every event proves that all hops of its stream lived a moment ago. When
// several streams fall silent together, the hops that only silent streams have
// are suspected long before one stream alone could tell a pause from a loss:
// callers notice pauses of a few tenths of a second.
class StallDetector {
 public:
  // Returns the ids of targets to ask, none when nothing is unusual. Thread
  // safe.
  static std::vector<std::string> FindSuspects(
      const std::vector<StreamActivity>& streams,
      Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_SILENCE_FINDER_H_
