#ifndef MODULES_BBV_ENTRY_CONGESTION_METER_H_
#define MODULES_BBV_ENTRY_CONGESTION_METER_H_

#include <cstddef>
#include <optional>

#include "bbv_core/instant.h"

namespace bbv {

// What kept an entry's processor and connections busy within about a second.
struct CongestionReport {
  Milliseconds longest_tick_gap{};
  Milliseconds slowest_connect{};
  int connects = 0;
  std::size_t bytes_received = 0;
};

// Measures whether an entry is so busy that its own answers, or those of
// others, are late for that reason.
//
// Deterministic. Not thread-safe; must be used from one thread.
class CongestionMeter {
 public:
  void RecordReceived(std::size_t bytes) { seen_.bytes_received += bytes; }
  // Records that a connection was established after `took`.
  void RecordConnect(Milliseconds took);

  // Records a tick of the event loop. Once a second returns what was seen since
  // the last report if it delayed anything noticeably, otherwise nullopt. `now`
  // must not decrease from call to call.
  std::optional<CongestionReport> OnTick(Instant now);

 private:
  CongestionReport seen_;
  Instant last_tick_{};
  Instant next_report_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CONGESTION_METER_H_
