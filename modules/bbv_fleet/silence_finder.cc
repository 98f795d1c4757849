#include "bbv_fleet/silence_finder.h"

#include <algorithm>
#include <map>
#include <set>

namespace bbv {
namespace {

// Silence, as a multiple of the expected pause between events and at least,
// from which on a stream counts.
constexpr double kSilenceFactor = 3;
constexpr Milliseconds kShortestSilence{90};
// Silences that begin further apart have different causes.
constexpr Milliseconds kTogether{80};
// Streams that must be silent through a target together.
constexpr int kFewestStreams = 2;
// Targets asked at once; with more of them the cause lies elsewhere.
constexpr std::size_t kMostSuspects = 16;

bool IsSilent(const StreamActivity& stream, Instant now) {
  const auto usual =
      Milliseconds(static_cast<int64_t>(kSilenceFactor * stream.event_ms) + 1);
  return now - stream.last_event >= std::max(usual, kShortestSilence);
}

}  // namespace

std::vector<std::string> StallDetector::FindSuspects(
    const std::vector<StreamActivity>& streams,
    Instant now) {
  std::vector<const StreamActivity*> silent;
  for (const StreamActivity& it : streams) {
    if (IsSilent(it, now))
      silent.push_back(&it);
  }
  if (silent.size() < kFewestStreams)
    return {};
  Instant latest{};
  for (const StreamActivity* it : silent)
    latest = std::max(latest, it->last_event);
  std::map<std::string_view, int> named;
  for (const StreamActivity* it : silent) {
    if (it->last_event + kTogether < latest)
      continue;
    for (const std::string& hop : *it->hop_ids)
      ++named[hop];
  }
  // What has brought an event since then was alive.
  for (const StreamActivity& it : streams) {
    if (IsSilent(it, now))
      continue;
    for (const std::string& hop : *it.hop_ids)
      named.erase(hop);
  }
  std::vector<std::string> suspects;
  for (const auto& [hop, n] : named) {
    if (n >= kFewestStreams)
      suspects.emplace_back(hop);
  }
  if (suspects.size() > kMostSuspects)
    suspects.clear();
  return suspects;
}

}  // namespace bbv
