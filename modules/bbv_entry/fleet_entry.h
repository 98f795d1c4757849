#ifndef MODULES_BBV_ENTRY_FLEET_ENTRY_H_
#define MODULES_BBV_ENTRY_FLEET_ENTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "bbv_entry/call_intake.h"
#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/congestion_meter.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/entry_telemetry.h"
#include "bbv_entry/load_poller.h"
#include "bbv_entry/open_calls.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_entry/relayed_call.h"
#include "bbv_entry/store_client.h"
#include "bbv_entry/target_follower.h"
#include "bbv_entry/target_monitor.h"
#include "bbv_fleet/bbv_fleet.h"
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
class FleetEntry final {
 public:
  // `settings_path` is reloaded on SIGHUP and when a stop begins.
  FleetEntry(FleetSettings settings, std::string settings_path);
  ~FleetEntry();

  // Returns an empty string, or the reason why the entry cannot start.
  std::string Start();

  // Runs the event loop until the entry has shut down after SIGTERM or SIGINT.
  void Run();

 private:
  void OnTick();
  void TickCalls(Instant now);
  void TickStop(Instant now);
  // Ends the calls that are still open at the stop deadline.
  void EndOpenCalls(Instant now);
  void UpdateBudgetShares();
  void BeginStop();
  void Reload();
  // Names the services of the current configuration to the target registry.
  void UpdateServices(Instant now);
  bool IsReady() const;
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
  TargetMonitor target_monitor_;
  CrashGuard crash_guard_;
  RateLimitExchange rate_limits_;
  LoadPoller load_poller_;
  PeerExchange peers_;
  AdmissionControl admission_control_;
  ResponseLengthEstimator response_length_estimator_;
  CallContext context_;
  CongestionMeter congestion_;
  CallIntake intake_;
  OpenCalls calls_;
  EntryTelemetry telemetry_;
  TcpListener callers_listener_;
  SmallHttpServer readiness_server_;
  SmallHttpServer metrics_server_;

  bool stopping_ = false;
  Instant stop_began_{};
  // When calls that are still open are ended.
  Instant stop_deadline_{};
  // Time at which the process exits even if callers have not taken their
  // responses.
  Instant exit_deadline_{};
  bool calls_ended_ = false;
  // Random offset that staggers entries whose timers would fire together.
  uint64_t jitter_seed_ = 0;
  // Number of entries last used to divide the retry budget.
  int budget_entries_ = 0;
  // Gossip propagation time last used for the retry budget.
  Milliseconds propagation_time_{};
  // Earliest time at which this entry may seek the planner's lease.
  Instant seek_lease_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FLEET_ENTRY_H_
