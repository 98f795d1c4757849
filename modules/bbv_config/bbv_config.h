// bbv_config: the configuration as a deterministic fold over a replicated log.
//
// Plans and their confirmations are records in the platform's log. Every node
// applies the same records in offset order and therefore reaches the same
// configuration, even if several operators make changes concurrently. Reads no
// clock and opens no socket. Depends on toml++ (configuration files of
// `plan import`) and nlohmann-json (log records).
#ifndef MODULES_BBV_CONFIG_BBV_CONFIG_H_
#define MODULES_BBV_CONFIG_BBV_CONFIG_H_

#include "bbv_config/configuration.h"
#include "bbv_config/configuration_file.h"
#include "bbv_config/configuration_fold.h"
#include "bbv_config/configuration_log.h"
#include "bbv_config/intent.h"

#endif  // MODULES_BBV_CONFIG_BBV_CONFIG_H_
