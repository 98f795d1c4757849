// bbv_core: the small value types that every other module shares.
//
// Holds instants and deadlines, typed errors, outcomes, tables of names for
// enumerations, intrusive lists and counts, and the catalogue of numbered log
// events. Needs glog (event output) and xxHash (hashing). Opens no socket and
// starts no thread.
#ifndef MODULES_BBV_CORE_BBV_CORE_H_
#define MODULES_BBV_CORE_BBV_CORE_H_

#include "bbv_core/error.h"
#include "bbv_core/event.h"
#include "bbv_core/hashing.h"
#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_core/name_table.h"
#include "bbv_core/reason.h"
#include "bbv_core/ref_counted.h"

#endif  // MODULES_BBV_CORE_BBV_CORE_H_
