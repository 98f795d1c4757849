// bbv_roles: the decisions of a whole node, for each role.
//
// EntryLogic and SideLogic join the state machines of the modules below and
// route messages to them. Pure: the daemon, the scenario tests and the benches
// all drive the same code with their own clocks and links.
#ifndef MODULES_BBV_ROLES_BBV_ROLES_H_
#define MODULES_BBV_ROLES_BBV_ROLES_H_

#include "bbv_roles/configuration_sharing.h"
#include "bbv_roles/entry_logic.h"
#include "bbv_roles/side_logic.h"
#include "bbv_roles/version_loader.h"

#endif  // MODULES_BBV_ROLES_BBV_ROLES_H_
