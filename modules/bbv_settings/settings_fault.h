#ifndef MODULES_BBV_SETTINGS_SETTINGS_FAULT_H_
#define MODULES_BBV_SETTINGS_SETTINGS_FAULT_H_

#include <string>
#include <vector>

namespace bbv {

// One thing wrong with a settings or configuration file.
struct SettingsFault {
  std::string file;
  int line = 0;
  std::string key;
  std::string message;

  // Returns "file:line: key: message". Thread safe.
  std::string ToString() const {
    return file + ":" + std::to_string(line) + ": " + key + ": " + message;
  }
};

using SettingsFaults = std::vector<SettingsFault>;

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_SETTINGS_FAULT_H_
