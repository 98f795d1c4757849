#ifndef MODULES_BBV_ENTRY_FLEET_ENTRY_H_
#define MODULES_BBV_ENTRY_FLEET_ENTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/congestion_meter.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/fault_detector.h"
#include "bbv_entry/load_poller.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_entry/relayed_call.h"
#include "bbv_entry/store_client.h"
#include "bbv_entry/target_follower.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/http_client.h"
#include "bbv_front/small_http_server.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"
#include "bbv_settings/fleet_settings.h"

namespace bbv {

// Entry process for targets that forward calls among themselves: accepts
// callers' requests, follows the store, and plans layer placement while it
// holds the planner's lease.
//
// Thread safety: none, everything runs on the thread that calls Run().
class FleetEntry final : public CallerRequestHandler,
                         public HttpClient::Observer {
 public:
  // `settings_path` is reloaded on SIGHUP and when a stop begins.
  FleetEntry(FleetSettings settings, std::string settings_path);
  ~FleetEntry() override;

  // Returns an empty string, or the reason why the entry cannot start.
  std::string Start();

  // Runs the event loop until the entry has shut down after SIGTERM or SIGINT.
  void Run();

  // CallerRequestHandler:
  CallerLimits limits() const override;
  MemoryLedger* memory_ledger() override { return &memory_ledger_; }
  bool TakesWaitingRequests() const override;
  void OnRequest(CallerConnection* connection,
                 HttpHead head,
                 std::string body) override;
  void OnCallerGone(CallerConnection* connection) override;
  int OnBadRequest(CallerConnection* connection, int status) override;
  void OnBodyRefused(CallerConnection* connection) override;
  void OnConnectionEnd(CallerConnection* connection,
                       const CallerConnectionEnd& end) override;

  // HttpClient::Observer:
  void OnRequestSending(const std::string& address) override;
  void OnBytesReceived(const std::string& address, std::size_t bytes) override;
  void OnConnected(const std::string& address, Milliseconds took) override;
  void OnHeadReceived(const std::string& address,
                      const HttpHead& head,
                      std::optional<Instant> sent_at) override;

 private:
  void AcceptCaller(std::unique_ptr<TcpStream> stream);
  void OnTick();
  void TickCallers(Instant now);
  void TickCalls(Instant now);
  // Probes targets through which several streams have stalled.
  void ProbeSilentTargets(const std::vector<RelayedCall*>& calls, Instant now);
  // Reroutes calls away from targets that no longer hold the layers that the
  // calls use there.
  void RerouteReleasedLayers(const std::vector<RelayedCall*>& calls,
                             Instant now);
  // Returns the open calls. The pointers stay valid until the end of the tick,
  // even if a call ends before that.
  std::vector<RelayedCall*> OpenCalls() const;
  void TickStop(Instant now);
  // Ends the calls that are still open at the stop deadline.
  void EndOpenCalls(Instant now);
  void UpdateBudgetShares();
  void BeginStop();
  void Reload();
  void UpdateGauges(Instant now);
  void UpdateQuarantineMetrics(Instant now);
  void UpdateRateLimitMetrics();
  // Handles a target that seems faulty.
  void OnTargetFault(const TargetFault& fault);
  // Handles a fault of a target that is known to work: only calls that stand
  // still leave it.
  void DoubtFault(const TargetFault& fault, Instant now);
  // Returns when this entry last received anything that shows that `target`
  // works: bytes of its own, or an event of a stream whose path uses it.
  Instant LastContact(const FleetTarget& target) const;
  // Checks a target that was named as the cause of a refused call.
  void CheckRefusalCause(const std::string& target_id);
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
  // Names the services of the current configuration to the target registry.
  void UpdateServices(Instant now);
  // Logs once a second how busy this entry's processor and connections were, if
  // they delayed anything.
  void LogCongestion(Instant now);
  // Records that this entry could not connect to `target_id`. Returns true when
  // so many targets were unreachable lately that this entry's own network must
  // be the cause.
  bool IsLocalNetworkFault(const std::string& target_id, Instant now);
  bool IsReady() const;
  // An empty `retry_after` says that a repetition does not help.
  void Refuse(CallerConnection* connection,
              const std::string& attempt_id,
              int status,
              std::string_view cause,
              std::string_view retry_after);
  // Records the duration of a call that has ended or will be answered no more,
  // and keeps it until the end of the tick.
  void RetireCall(std::unique_ptr<RelayedCall> call, Instant now);
  SharedRetryBudget::Limits RetryLimits() const;
  PeerLinks::Limits PeerLimits();
  MemberRecord OwnRecord() const;

  FleetSettings settings_;
  std::string settings_path_;
  MemoryLedger memory_ledger_;
  EventLoop loop_;
  DecisionLog log_;
  FleetMetrics metrics_;
  std::mt19937_64 random_;
  RetryBudgets retry_budgets_;
  HttpClient client_;
  StoreClient store_;
  TargetRegistry registry_;
  TargetSelector selector_;
  ConfigurationFollower configuration_;
  TargetFollower targets_;
  // The configuration that last named the services.
  std::shared_ptr<FleetIndex> services_source_;
  PlannerAgent planner_;
  FaultDetector fault_detector_;
  CrashGuard crash_guard_;
  RateLimitExchange rate_limits_;
  LoadPoller load_poller_;
  PeerExchange peers_;
  AdmissionQueue admission_queue_;
  ResponseLengthEstimator response_length_estimator_;
  CallDurations call_durations_;
  // Delays given to refused callers, by service.
  std::map<std::string, RetryAfterScheduler> retry_after_schedulers_;
  // Delays given to callers whose bodies found no room.
  RetryAfterScheduler refused_bodies_;
  CallContext context_;
  TcpListener callers_listener_;
  SmallHttpServer readiness_server_;
  SmallHttpServer metrics_server_;

  uint64_t next_connection_ = 1;
  CallerConnections callers_;
  uint64_t callers_evicted_ = 0;
  // Calls by connection id of their caller, and ended calls, which are kept
  // until the end of the tick.
  std::unordered_map<uint64_t, std::unique_ptr<RelayedCall>> calls_;
  std::vector<std::unique_ptr<RelayedCall>> ended_calls_;

  bool stopping_ = false;
  Instant stop_began_{};
  // Set while stopping.
  std::optional<StopAdmission> stop_admission_;
  // Time at which the process exits even if callers have not taken their
  // responses.
  Instant exit_deadline_{};
  bool calls_ended_ = false;
  Instant next_gauges_{};
  Instant next_layer_check_{};
  // Random offset that staggers entries whose timers would fire together.
  uint64_t jitter_seed_ = 0;
  // Targets that this entry failed to connect to recently, and when.
  std::map<std::string, Instant> unreached_targets_;
  CongestionMeter congestion_;
  // Number of entries last used to divide the retry budget.
  int budget_entries_ = 0;
  // Gossip propagation time last used for the retry budget.
  Milliseconds propagation_time_{};
  // Whether new caller connections may be held during startup, and until when.
  bool holding_ = true;
  Instant hold_until_{};
  // Earliest time at which this entry may seek the planner's lease.
  Instant seek_lease_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FLEET_ENTRY_H_
