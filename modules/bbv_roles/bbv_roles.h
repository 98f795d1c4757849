// bbv_roles: the decision logic of a node, one class per role.
//
// EntryLogic and SideLogic own the state machines of the lower-level modules
// and dispatch messages to them. They perform no I/O and read no clock, so the
// daemon, the scenario tests and the benchmarks run the same code on their own
// clocks and links.
#ifndef MODULES_BBV_ROLES_BBV_ROLES_H_
#define MODULES_BBV_ROLES_BBV_ROLES_H_

#include "bbv_roles/configuration_sharing.h"
#include "bbv_roles/entry_logic.h"
#include "bbv_roles/side_logic.h"
#include "bbv_roles/version_loader.h"

#endif  // MODULES_BBV_ROLES_BBV_ROLES_H_
