// bbv_once: calls to plain services, with at-most-once execution of calls that
// are not idempotent.
//
// ServiceCoordinator runs in an entry node. It selects the target of a call and
// decides whether the call may be retried. CallRunner runs in the side node
// next to a service instance. It claims the caller's idempotency key on the log
// before it runs the call. Both are state machines without I/O, clocks or
// threads. docs/DESIGN.md, "Non-idempotent calls", explains why a call cannot
// run twice.
#ifndef MODULES_BBV_ONCE_BBV_ONCE_H_
#define MODULES_BBV_ONCE_BBV_ONCE_H_

#include "bbv_once/call_runner.h"
#include "bbv_once/claim_record.h"
#include "bbv_once/service_coordinator.h"

#endif  // MODULES_BBV_ONCE_BBV_ONCE_H_
