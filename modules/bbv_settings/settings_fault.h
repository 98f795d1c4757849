#ifndef MODULES_BBV_SETTINGS_SETTINGS_FAULT_H_
#define MODULES_BBV_SETTINGS_SETTINGS_FAULT_H_

#include <string>
#include <vector>

namespace bbv {

// A syntax or validation error in a settings or configuration file. `line` is 0
// if the error does not belong to a single line.
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
