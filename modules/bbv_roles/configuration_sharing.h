#ifndef MODULES_BBV_ROLES_CONFIGURATION_SHARING_H_
#define MODULES_BBV_ROLES_CONFIGURATION_SHARING_H_

#include <cstdint>
#include <functional>
#include <string>

#include "bbv_config/configuration_log.h"
#include "bbv_core/instant.h"
#include "bbv_wire/frame_codec.h"

namespace bbv {

// Keeps a node's configuration up to date from the log and from peers.
//
// Heartbeats carry the sender's configuration offset, and a node that is behind
// pulls from the sender. An accepted version therefore spreads while the log is
// unavailable.
// Thread safety: none, owned by the control thread.
class ConfigurationSharing {
 public:
  using Send = std::function<void(const std::string& peer, wire::FrameT)>;

  explicit ConfigurationSharing(Send send);

  // Applies records read from the configuration stream. Returns whether the
  // active configuration changed.
  bool HandleLogRecords(const LogRecords& records);

  // Handles a peer's heartbeat, pull or share and ignores all other frames.
  // Returns whether the active configuration changed.
  bool HandleFrame(const std::string& peer,
                   const wire::FrameT& frame,
                   Instant now);

  const ConfigurationLog& log() const { return log_; }
  const ConfigurationFold& fold() const { return log_.fold(); }
  const Configuration& configuration() const {
    return log_.fold().configuration();
  }

 private:
  bool HandleShare(const wire::ConfigurationShareT& share);

  // Pulls from `peer` if its heartbeat shows a higher offset. Sends at most one
  // pull per second over all peers.
  void HandleHeartbeat(const std::string& peer,
                       const wire::HeartbeatT& heartbeat,
                       Instant now);
  void HandlePull(const std::string& peer,
                  const wire::ConfigurationPullT& pull);

  Send send_;
  ConfigurationLog log_;
  Instant next_pull_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ROLES_CONFIGURATION_SHARING_H_
