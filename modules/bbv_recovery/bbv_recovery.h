// bbv_recovery: when the streams that lost a hop of their path are moved.
//
// A target's streams lose their path together, and every replacement has to
// prefill their tokens before they go on. RecoverySchedule decides in which
// order an entry moves them and which of them wait, so that as many as possible
// keep the objective for the time between two events. Depends on bbv_core.
// Opens no sockets, reads no clocks and starts no threads.
#ifndef MODULES_BBV_RECOVERY_BBV_RECOVERY_H_
#define MODULES_BBV_RECOVERY_BBV_RECOVERY_H_

#include "bbv_recovery/lost_stream.h"
#include "bbv_recovery/recovery_schedule.h"

#endif  // MODULES_BBV_RECOVERY_BBV_RECOVERY_H_
