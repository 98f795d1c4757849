#ifndef MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_

#include <string>

#include "bbv_config/configuration.h"
#include "bbv_settings/settings_fault.h"

namespace bbv {

// Reads a configuration that an operator wrote as TOML, for `check` and
// `plan import`; nodes themselves read the log only. Every fault is added with
// its line. Precondition: `faults` is not null. Thread safe.
Configuration LoadConfigurationFile(const std::string& path,
                                    SettingsFaults* faults);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_FILE_H_
