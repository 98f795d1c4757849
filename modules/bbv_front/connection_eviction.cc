#include "bbv_front/connection_eviction.h"

#include <tuple>

namespace bbv {
namespace {

// Connections of the lowest rank are closed first.
int Rank(const ConnectionActivity& connection, Instant now) {
  if (connection.phase == ConnectionPhase::kIdle)
    return 1;
  const Instant still_at =
      connection.last_progress + ConnectionEviction::kStandstill;
  return now >= still_at ? 0 : 2;
}

}  // namespace

std::optional<uint64_t> ConnectionEviction::Choose(
    std::span<const ConnectionActivity> connections,
    Instant now) {
  const ConnectionActivity* chosen = nullptr;
  const auto order = [now](const ConnectionActivity& it) {
    return std::tuple(Rank(it, now), it.last_progress, it.id);
  };
  for (const ConnectionActivity& it : connections) {
    if (it.phase == ConnectionPhase::kBusy)
      continue;
    if (chosen == nullptr || order(it) < order(*chosen))
      chosen = &it;
  }
  if (chosen == nullptr)
    return std::nullopt;
  return chosen->id;
}

}  // namespace bbv
