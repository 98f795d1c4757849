// bbv_settings: loads and validates the TOML settings files of the processes.
//
// Every fault is reported with its file, line, key and the allowed range;
// unknown keys are faults as well. Depends on toml++. Reads no state other than
// the given file.
#ifndef MODULES_BBV_SETTINGS_BBV_SETTINGS_H_
#define MODULES_BBV_SETTINGS_BBV_SETTINGS_H_

#include "bbv_settings/fleet_settings.h"
#include "bbv_settings/node_settings.h"
#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"
#include "bbv_settings/toml_reader.h"

#endif  // MODULES_BBV_SETTINGS_BBV_SETTINGS_H_
