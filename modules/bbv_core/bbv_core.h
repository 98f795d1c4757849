// bbv_core: value types and utilities shared by all other modules.
//
// Provides monotonic time points, typed errors, reason codes, enum name tables,
// intrusive lists, reference counting, hashing, checks of JSON texts and the
// catalogue of numbered log events. Depends on glog (event output) and xxHash
// (hashing). Opens no socket and starts no thread.
#ifndef MODULES_BBV_CORE_BBV_CORE_H_
#define MODULES_BBV_CORE_BBV_CORE_H_

#include "bbv_core/error.h"
#include "bbv_core/event.h"
#include "bbv_core/hashing.h"
#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_core/json_text.h"
#include "bbv_core/name_table.h"
#include "bbv_core/reason.h"
#include "bbv_core/ref_counted.h"

#endif  // MODULES_BBV_CORE_BBV_CORE_H_
