#ifndef MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_

#include <string>

#include "bbv_config/configuration.h"
#include "bbv_settings/settings_fault.h"

namespace bbv {

// Loads a configuration from the TOML file `path`, for the commands `check` and
// `plan import`; nodes read the configuration from the log only. Appends every
// fault with its line to `faults`. Precondition: `faults` is not null. Thread
// safe.
Configuration LoadConfigurationFile(const std::string& path,
                                    SettingsFaults* faults);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_
