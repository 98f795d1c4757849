#ifndef MODULES_BBV_FRONT_CALLER_EVICTION_H_
#define MODULES_BBV_FRONT_CALLER_EVICTION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "bbv_core/instant.h"
#include "bbv_front/caller_connection.h"

namespace bbv {

// Connections by their ids.
using CallerConnections =
    std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>>;

// Whether there is a slot for a new connection.
enum class RoomForCaller : uint8_t {
  kNone,
  // A connection will close after its answer.
  kAfterAnswer,
  // A connection was closed to make room.
  kEvicted,
  // A connection had ended by itself.
  kFree,
};

// Removes connections that have ended; if there are none, closes the one that
// ConnectionEviction chooses, and else makes the one on which most waits
// unparsed close after its answer. Must not be called by a connection. Not
// thread-safe; must be used on the event loop's thread.
RoomForCaller EvictCaller(CallerConnections* connections, Instant now);

// Whether EvictCaller() has left a slot that can be used at once. Thread safe.
inline bool IsRoomNow(RoomForCaller room) {
  return room == RoomForCaller::kEvicted || room == RoomForCaller::kFree;
}

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_CALLER_EVICTION_H_
