#include "bbv_fleet/stall_detector.h"

#include <algorithm>
#include <map>
#include <set>

namespace bbv {
namespace {

// A stream is stalled after this multiple of the expected interval between
// events, but not before the minimum duration.
constexpr double kStallIntervals = 3;
constexpr Milliseconds kMinStallDuration{90};
// Stalls that start further apart than this have different causes.
constexpr Milliseconds kMaxStartDifference{80};
// Minimum number of streams through a target that must stall together.
constexpr int kMinStalledStreams = 2;
// Maximum number of suspects. With more of them the cause lies elsewhere, for
// example in this entry.
constexpr std::size_t kMaxSuspects = 16;

bool IsStalled(const StreamActivity& stream, Instant now) {
  const auto usual =
      Milliseconds(static_cast<int64_t>(kStallIntervals * stream.event_ms) + 1);
  return now - stream.last_event >= std::max(usual, kMinStallDuration);
}

}  // namespace

std::vector<std::string> StallDetector::FindSuspects(
    const std::vector<StreamActivity>& streams,
    Instant now) {
  std::vector<const StreamActivity*> silent;
  for (const StreamActivity& it : streams) {
    if (IsStalled(it, now))
      silent.push_back(&it);
  }
  if (silent.size() < kMinStalledStreams)
    return {};
  Instant latest_event{};
  for (const StreamActivity* it : silent)
    latest_event = std::max(latest_event, it->last_event);
  std::map<std::string_view, int> stalled_streams_by_hop;
  for (const StreamActivity* it : silent) {
    if (it->last_event + kMaxStartDifference < latest_event)
      continue;
    for (const std::string& hop : *it->hop_ids)
      ++stalled_streams_by_hop[hop];
  }
  // Hops of streams that are still receiving events are alive.
  for (const StreamActivity& it : streams) {
    if (IsStalled(it, now))
      continue;
    for (const std::string& hop : *it.hop_ids)
      stalled_streams_by_hop.erase(hop);
  }
  std::vector<std::string> suspects;
  for (const auto& [hop, n] : stalled_streams_by_hop) {
    if (n >= kMinStalledStreams)
      suspects.emplace_back(hop);
  }
  if (suspects.size() > kMaxSuspects)
    suspects.clear();
  return suspects;
}

}  // namespace bbv
