// bbv_routing: target state, load balancing and retry limits.
//
// Maintains the table of targets, which combines configuration, connections,
// heartbeats, the instance list and observed health; selects chains for models
// and targets for services; limits retries. Deterministic: random numbers come
// only from seeded generators. Needs bbv_config and bbv_wire.
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
