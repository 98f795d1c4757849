// bbv_entry: the fleet entry process, for targets that forward calls among
// themselves.
//
// Runs the decision logic of bbv_fleet, the sockets of bbv_front and the codecs
// of platform/ on one event loop. Depends on libuv, prometheus-cpp and glog
// through them.
#ifndef MODULES_BBV_ENTRY_BBV_ENTRY_H_
#define MODULES_BBV_ENTRY_BBV_ENTRY_H_

#include "bbv_entry/fleet_entry.h"

#endif  // MODULES_BBV_ENTRY_BBV_ENTRY_H_
