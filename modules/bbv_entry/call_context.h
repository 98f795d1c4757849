#ifndef MODULES_BBV_ENTRY_CALL_CONTEXT_H_
#define MODULES_BBV_ENTRY_CALL_CONTEXT_H_

#include <functional>
#include <random>
#include <string>

#include "bbv_entry/admission_control.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"

namespace bbv {

// State shared by all calls of an entry.
struct CallContext {
  HttpClient* client = nullptr;
  TargetRegistry* registry = nullptr;
  TargetSelector* selector = nullptr;
  DecisionLog* log = nullptr;
  FleetMetrics* metrics = nullptr;
  std::mt19937_64* random = nullptr;
  // Returns the retry budget of a service.
  std::function<SharedRetryBudget*(const std::string&)> retry_budget;
  // Called for a target fault that affects all calls on the target.
  std::function<void(const TargetFault& fault)> on_target_fault;
  // Called when a process at the address of a call's first target stated that
  // it is another one, or that it lacks the layers of the path.
  std::function<void(const CallDispatch& dispatch)> on_misdirected;
  // Called for a target that was named as the cause of a refused call.
  std::function<void(const std::string& target_id)> on_refusal_cause;
  // Returns whether the entry was told to stop.
  std::function<bool()> is_stopping;
  AdmissionControl* admission_control = nullptr;
  ResponseLengthEstimator* response_length_estimator = nullptr;
  CrashGuard* crash_guard = nullptr;
  RateLimitExchange* rate_limits = nullptr;
  MemoryLedger* memory_ledger = nullptr;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_CONTEXT_H_
