// bbv_routing: which target may take work, and which should.
//
// Keeps the table of targets (configuration, connection, heartbeat, instance
// list and observed health together), chooses chains and service targets, and
// bounds retries. Pure: draws random numbers only from the generator that it
// is handed. Needs bbv_config and bbv_wire.
#ifndef MODULES_BBV_ROUTING_BBV_ROUTING_H_
#define MODULES_BBV_ROUTING_BBV_ROUTING_H_

#include "bbv_routing/account_index.h"
#include "bbv_routing/adaptive_limit.h"
#include "bbv_routing/fair_queue.h"
#include "bbv_routing/refusal.h"
#include "bbv_routing/retry_budget.h"
#include "bbv_routing/target_chooser.h"
#include "bbv_routing/target_table.h"

#endif  // MODULES_BBV_ROUTING_BBV_ROUTING_H_
