#ifndef MODULES_BBV_ENTRY_ENTRY_TELEMETRY_H_
#define MODULES_BBV_ENTRY_ENTRY_TELEMETRY_H_

#include "bbv_entry/call_intake.h"
#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/congestion_meter.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/open_calls.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/store_client.h"
#include "bbv_entry/target_follower.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"

namespace bbv {

// Shows operators the state of an entry: sets the gauges of its metrics and
// logs when the entry itself is congested.
//
// Thread safety: none, the loop's thread.
class EntryTelemetry {
 public:
  // Objects that are read; all must outlive this and are used only after the
  // construction.
  struct Parts {
    FleetMetrics* metrics = nullptr;
    DecisionLog* log = nullptr;
    CongestionMeter* congestion = nullptr;
    const CallIntake* intake = nullptr;
    const OpenCalls* calls = nullptr;
    const AdmissionControl* admission_control = nullptr;
    const MemoryLedger* memory_ledger = nullptr;
    const TargetRegistry* registry = nullptr;
    const TargetFollower* targets = nullptr;
    const PlannerAgent* planner = nullptr;
    const PeerExchange* peers = nullptr;
    const StoreClient* store = nullptr;
    const HttpClient* client = nullptr;
    const CrashGuard* crash_guard = nullptr;
    const ConfigurationFollower* configuration = nullptr;
  };

  explicit EntryTelemetry(const Parts& parts);

  // Logs once a second how busy this entry's processor and connections were, if
  // they delayed anything. Call at the start of each tick.
  void LogCongestion(bool is_stopping, Instant now);

  // Updates the gauges when they are due.
  void OnTick(Instant now);

 private:
  void UpdateTraffic();
  void UpdateControl(Instant now);
  void UpdateProcess();
  void UpdateQuarantines(Instant now);
  void UpdateRateLimits();

  Parts parts_;
  Instant next_gauges_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_ENTRY_TELEMETRY_H_
