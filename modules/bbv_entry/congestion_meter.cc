#include "bbv_entry/congestion_meter.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Delays of the event loop or of connections from which on they are reported.
constexpr Milliseconds kNoticeableDelay{60};
constexpr Milliseconds kReportInterval{1000};

}  // namespace

void CongestionMeter::RecordConnect(Milliseconds took) {
  ++seen_.connects;
  seen_.slowest_connect = std::max(seen_.slowest_connect, took);
}

std::optional<CongestionReport> CongestionMeter::OnTick(Instant now) {
  assert(now >= last_tick_);
  const Instant last = std::exchange(last_tick_, now);
  if (last != Instant{}) {
    seen_.longest_tick_gap =
        std::max(seen_.longest_tick_gap,
                 std::chrono::duration_cast<Milliseconds>(now - last));
  }
  if (now < next_report_)
    return std::nullopt;
  next_report_ = now + kReportInterval;
  const CongestionReport seen = std::exchange(seen_, {});
  if (std::max(seen.longest_tick_gap, seen.slowest_connect) < kNoticeableDelay)
    return std::nullopt;
  return seen;
}

}  // namespace bbv
