#ifndef MODULES_BBV_ENTRY_TARGET_MONITOR_H_
#define MODULES_BBV_ENTRY_TARGET_MONITOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/congestion_meter.h"
#include "bbv_entry/fault_detector.h"
#include "bbv_entry/open_calls.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "platform/call_codec.h"

namespace bbv {

// Decides what this entry believes of targets: whether they work, leave or rest
// for a while. Concludes it from what they send, from calls that stand still
// and from reports, and tells the calls and the other entries.
//
// Thread safety: none, the loop's thread.
class TargetMonitor final : public HttpClient::Observer {
 public:
  // Objects that are read and updated; all must outlive this and are used only
  // after the construction.
  struct Parts {
    HttpClient* client = nullptr;
    TargetRegistry* registry = nullptr;
    DecisionLog* log = nullptr;
    const ConfigurationFollower* configuration = nullptr;
    RateLimitExchange* rate_limits = nullptr;
    PeerExchange* peers = nullptr;
    OpenCalls* calls = nullptr;
    CongestionMeter* congestion = nullptr;
  };

  explicit TargetMonitor(const Parts& parts);

  // Handles a target that seems faulty.
  void OnTargetFault(const TargetFault& fault);

  // Handles a call that was turned away because another process has the address
  // of its first target, or because this target lacks the layers of the path.
  void OnMisdirected(const CallDispatch& dispatch);

  // Checks a target that was named as the cause of a refused call.
  void CheckRefusalCause(const std::string& target_id);

  // Finds the target that a call waits for if its path is overdue.
  void InvestigateStall(const RelayedCall& call, Instant now);

  // Checks the targets through which `calls` go, and suspected ones. Call once
  // a tick, after the calls' own ticks.
  void OnTick(const std::vector<RelayedCall*>& calls, Instant now);

  // HttpClient::Observer:
  void OnRequestSending(const std::string& address) override;
  void OnBytesReceived(const std::string& address, std::size_t bytes) override;
  void OnConnected(const std::string& address, Milliseconds took) override;
  void OnHeadReceived(const std::string& address,
                      const HttpHead& head,
                      std::optional<Instant> sent_at) override;
  void OnMalformedResponse(const std::string& address,
                           MessageFault fault) override;

 private:
  // Handles a statement of a process at the address of `target_id` that it is
  // not this target.
  void OnTargetRefuted(const std::string& target_id);
  // Logs which targets have taken over from others.
  void LogClaimChanges(Instant now);
  // Probes targets through which several streams have stalled.
  void ProbeSilentTargets(const std::vector<RelayedCall*>& calls, Instant now);
  // Reroutes calls away from targets that no longer hold the layers that the
  // calls use there.
  void RerouteReleasedLayers(const std::vector<RelayedCall*>& calls,
                             Instant now);
  // Handles a fault of a target that is known to work: only calls that stand
  // still leave it.
  void DoubtFault(const TargetFault& fault, Instant now);
  // Returns when this entry last received anything that shows that `target`
  // works: bytes of its own, or an event of a stream whose path uses it.
  Instant LastContact(const FleetTarget& target) const;
  // Apply what a target states about itself in the header of an answer.
  void ApplyLeaving(FleetTarget* target, Instant now);
  void ApplyRetryAfter(FleetTarget* target,
                       const platform::TargetNotice& notice,
                       Instant now);
  // Handles a target that refuses calls as if it were leaving, although the
  // target list does not mark it so.
  void OnTargetLeaving(const std::string& target_id);
  // Excludes a usable target for a limited time and announces it to the peers.
  void SuspectTarget(FleetTarget* target,
                     const TargetFault& fault,
                     Instant now);
  // Records that this entry could not connect to `target_id`. Returns true when
  // so many targets were unreachable lately that this entry's own network must
  // be the cause.
  bool IsLocalNetworkFault(const std::string& target_id, Instant now);

  Parts parts_;
  FaultDetector fault_detector_;
  Instant next_layer_check_{};
  // Targets that this entry failed to connect to recently, and when.
  std::map<std::string, Instant> unreached_targets_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_MONITOR_H_
