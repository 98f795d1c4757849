// bbv_entry: the entry process before targets that forward among themselves.
//
// Joins the decisions of bbv_fleet, the sockets of bbv_front and the names of
// platform/ on one event loop. Needs libuv, prometheus-cpp and glog through
// them.
#ifndef MODULES_BBV_ENTRY_BBV_ENTRY_H_
#define MODULES_BBV_ENTRY_BBV_ENTRY_H_

#include "bbv_entry/fleet_entry.h"

#endif  // MODULES_BBV_ENTRY_BBV_ENTRY_H_
