#ifndef MODULES_BBV_ROLES_CONFIGURATION_SHARING_H_
#define MODULES_BBV_ROLES_CONFIGURATION_SHARING_H_

#include <cstdint>
#include <functional>
#include <string>

#include "bbv_config/configuration_log.h"
#include "bbv_core/instant.h"
#include "bbv_wire/frame_codec.h"

namespace bbv {

// Keeps a node's configuration level with the log and with its peers.
//
// Heartbeats carry the offset held; the node that is behind pulls, so that an
// accepted version spreads while the log is down.
// Thread safety: none, owned by the control thread.
class ConfigurationSharing {
 public:
  using Send = std::function<void(const std::string& peer, wire::FrameT)>;

  explicit ConfigurationSharing(Send send);

  // Returns whether the configuration in force changed.
  bool HandleLogRecords(const LogRecords& records);

  // As HandleLogRecords(), for a peer's heartbeats, pulls and shares; other
  // frames mean nothing here.
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

  // Pulls from `peer` when its heartbeat shows that it is ahead, at most one
  // pull a second.
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
