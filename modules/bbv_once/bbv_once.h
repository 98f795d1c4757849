// bbv_once: calls of plain services, at most once where they must be.
//
// ServiceCoordinator runs at an entry and decides where a call goes and whether
// it may be sent again. CallRunner runs at the side of a service instance: it
// claims callers' keys on the log before it runs them. Both are pure state
// machines. See docs/DESIGN.md, "Non-idempotent calls", for the argument.
#ifndef MODULES_BBV_ONCE_BBV_ONCE_H_
#define MODULES_BBV_ONCE_BBV_ONCE_H_

#include "bbv_once/call_runner.h"
#include "bbv_once/claim_record.h"
#include "bbv_once/service_coordinator.h"

#endif  // MODULES_BBV_ONCE_BBV_ONCE_H_
