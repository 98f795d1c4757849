#include "bbv_front/caller_eviction.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "bbv_front/connection_eviction.h"

namespace bbv {
namespace {

// Limit on the idle connections that are asked for unread bytes.
constexpr int kMaxUnreadChecks = 16;

// Makes the connection on which most waits unparsed close after its answer.
// Returns whether there is one.
bool ShedPipelinedInput(const CallerConnections& connections) {
  CallerConnection* longest = nullptr;
  for (const auto& [id, connection] : connections) {
    if (longest == nullptr ||
        connection->buffered_bytes() > longest->buffered_bytes())
      longest = connection.get();
  }
  if (longest == nullptr || longest->buffered_bytes() == 0)
    return false;
  longest->DiscardInput();
  return true;
}

// Returns the connection to close. An idle one whose next request waits in the
// socket's buffer is kept.
std::optional<uint64_t> ChooseEvicted(const CallerConnections& connections,
                                      Instant now) {
  std::vector<ConnectionActivity> activities;
  activities.reserve(connections.size());
  for (const auto& [id, connection] : connections)
    activities.push_back(connection->activity());
  for (int n = 0; n < kMaxUnreadChecks; ++n) {
    const auto id = ConnectionEviction::Choose(activities, now);
    if (!id)
      return std::nullopt;
    const auto it =
        std::find_if(activities.begin(), activities.end(),
                     [&id](const auto& other) { return other.id == *id; });
    if (it->phase != ConnectionPhase::kIdle ||
        !connections.at(*id)->HasUnreadData())
      return id;
    it->phase = ConnectionPhase::kBusy;
  }
  return std::nullopt;
}

}  // namespace

RoomForCaller EvictCaller(CallerConnections* connections, Instant now) {
  // Connections that have ended keep their slots until the next tick.
  if (std::erase_if(*connections,
                    [](const auto& it) { return it.second->closed(); }) > 0)
    return RoomForCaller::kFree;
  const auto id = ChooseEvicted(*connections, now);
  if (!id) {
    return ShedPipelinedInput(*connections) ? RoomForCaller::kAfterAnswer
                                            : RoomForCaller::kNone;
  }
  const std::unique_ptr<CallerConnection> evicted =
      std::move(connections->extract(*id).mapped());
  evicted->Evict();
  return RoomForCaller::kEvicted;
}

}  // namespace bbv
