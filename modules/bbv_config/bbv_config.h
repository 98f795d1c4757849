// bbv_config: the configuration as a deterministic fold over the log.
//
// Plans and confirmations are records on the platform's log; every node folds
// the same records in offset order and so reaches the same configuration, also
// when operators race. Pure: reads no clock, opens no socket. Needs toml++ (the
// configuration file of `plan import`) and nlohmann-json (records).
#ifndef MODULES_BBV_CONFIG_BBV_CONFIG_H_
#define MODULES_BBV_CONFIG_BBV_CONFIG_H_

#include "bbv_config/configuration.h"
#include "bbv_config/configuration_file.h"
#include "bbv_config/configuration_fold.h"
#include "bbv_config/configuration_log.h"
#include "bbv_config/intent.h"

#endif  // MODULES_BBV_CONFIG_BBV_CONFIG_H_
