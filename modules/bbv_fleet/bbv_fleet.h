// bbv_fleet: routing decisions of an entry whose targets forward calls to each
// other.
//
// Contains the routes and client accounts of a configuration, the table of
// targets with their health and load, layer placement, path selection, the life
// cycle of a call until its final outcome, and retry budgets. Depends on
// bbv_core, bbv_admission, bbv_recovery and the fair queue of bbv_routing.
// Opens no sockets, reads no clocks and starts no threads.
#ifndef MODULES_BBV_FLEET_BBV_FLEET_H_
#define MODULES_BBV_FLEET_BBV_FLEET_H_

#include "bbv_fleet/call_durations.h"
#include "bbv_fleet/call_quarantine.h"
#include "bbv_fleet/call_trait.h"
#include "bbv_fleet/crash_detector.h"
#include "bbv_fleet/crash_evidence.h"
#include "bbv_fleet/engine_timing.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/fleet_index.h"
#include "bbv_fleet/fleet_target.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_fleet/layer_planner.h"
#include "bbv_fleet/layer_replicator.h"
#include "bbv_fleet/memory_ledger.h"
#include "bbv_fleet/path_chooser.h"
#include "bbv_fleet/rate_limit_allocator.h"
#include "bbv_fleet/response_length_estimator.h"
#include "bbv_fleet/retry_budgets.h"
#include "bbv_fleet/shared_retry_budget.h"
#include "bbv_fleet/stall_detector.h"
#include "bbv_fleet/stop_admission.h"
#include "bbv_fleet/target_fault.h"
#include "bbv_fleet/target_loss_detector.h"
#include "bbv_fleet/target_rate_limit.h"
#include "bbv_fleet/target_registry.h"
#include "bbv_fleet/target_selector.h"
#include "bbv_fleet/zone_link_limiter.h"

#endif  // MODULES_BBV_FLEET_BBV_FLEET_H_
