// bbv_settings: a node's settings file, read from TOML into checked structures.
//
// Every fault is reported with file, line, key and the allowed range; unknown
// keys are faults too. Needs toml++. Reads the file it is given and no other
// state.
#ifndef MODULES_BBV_SETTINGS_BBV_SETTINGS_H_
#define MODULES_BBV_SETTINGS_BBV_SETTINGS_H_

#include "bbv_settings/fleet_settings.h"
#include "bbv_settings/node_settings.h"
#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"
#include "bbv_settings/toml_reader.h"

#endif  // MODULES_BBV_SETTINGS_BBV_SETTINGS_H_
