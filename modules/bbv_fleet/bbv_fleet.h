// bbv_fleet: the decisions of an entry before targets that forward among
// themselves.
//
// Routes and accounts of a configuration, the table of targets and the
// evidence about them, where layers are placed, the path of a call, the course
// of a call to its final word, and the budget of repeated sends. Needs bbv_core
// and the fair queue of bbv_routing. Opens no socket, reads no clock, starts no
// thread.
#ifndef MODULES_BBV_FLEET_BBV_FLEET_H_
#define MODULES_BBV_FLEET_BBV_FLEET_H_

#include "bbv_fleet/answer_lengths.h"
#include "bbv_fleet/crossing_limit.h"
#include "bbv_fleet/engine_timing.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/fleet_index.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_fleet/layer_doubler.h"
#include "bbv_fleet/layer_planner.h"
#include "bbv_fleet/loss_watch.h"
#include "bbv_fleet/path_chooser.h"
#include "bbv_fleet/retry_budgets.h"
#include "bbv_fleet/return_schedule.h"
#include "bbv_fleet/shared_retry_budget.h"
#include "bbv_fleet/silence_finder.h"
#include "bbv_fleet/target_board.h"
#include "bbv_fleet/target_selector.h"
#include "bbv_fleet/waiting_room.h"

#endif  // MODULES_BBV_FLEET_BBV_FLEET_H_
