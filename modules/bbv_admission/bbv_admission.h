// bbv_admission: decisions on which calls get capacity when there is too
// little.
//
// Contains the capacity kept for more urgent calls, the queue of calls that
// wait for capacity, the times at which refused callers return, and the shares
// of client accounts over all entries; docs/design/admission.md and
// account-shares.md say why. Depends on bbv_core and on the fair queue of
// bbv_routing. Opens no sockets, reads no clocks and starts no threads.
#ifndef MODULES_BBV_ADMISSION_BBV_ADMISSION_H_
#define MODULES_BBV_ADMISSION_BBV_ADMISSION_H_

#include "bbv_admission/account_demand.h"
#include "bbv_admission/account_shares.h"
#include "bbv_admission/admission_queue.h"
#include "bbv_admission/decay.h"
#include "bbv_admission/max_min.h"
#include "bbv_admission/priority_reservation.h"
#include "bbv_admission/retry_after_scheduler.h"
#include "bbv_admission/room_limits.h"

#endif  // MODULES_BBV_ADMISSION_BBV_ADMISSION_H_
