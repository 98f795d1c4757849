#ifndef MODULES_BBV_FRONT_CONNECTION_EVICTION_H_
#define MODULES_BBV_FRONT_CONNECTION_EVICTION_H_

#include <cstdint>
#include <optional>
#include <span>

#include "bbv_core/instant.h"

namespace bbv {

// What a connection waits for.
enum class ConnectionPhase : uint8_t {
  // The next request.
  kIdle,
  // The rest of a request.
  kRequestPartial,
  // The caller to take an answer.
  kAnswerUntaken,
  // This process.
  kBusy,
};

// What is known of a connection that may be closed to make room.
struct ConnectionActivity {
  uint64_t id = 0;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  // When its peer last sent or took a byte.
  Instant last_progress;
};

// Chooses the connection that is closed when there is no slot for a new one:
// one whose peer stands still in the middle of a request or answer, otherwise
// an idle one, otherwise one in the middle; of these the one without progress
// for longest. Connections that wait for this process are kept. Thread safe.
class ConnectionEviction {
 public:
  // Time without progress after which a peer stands still.
  static constexpr Milliseconds kStandstill{500};

  // Returns the id of the connection to close; nullopt if there is none.
  static std::optional<uint64_t> Choose(
      std::span<const ConnectionActivity> connections,
      Instant now);
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_CONNECTION_EVICTION_H_
