#ifndef MODULES_BBV_SETTINGS_TOML_READER_H_
#define MODULES_BBV_SETTINGS_TOML_READER_H_

#include <toml++/toml.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// An inclusive range of integers.
struct IntegerRange {
  int64_t minimum = 0;
  int64_t maximum = 0;
};

// Reads and validates the values of a TOML table and records each fault.
//
// The getters return a valid value even after a fault so that a single pass
// reports all faults. Call RejectUnknownKeys() after all getters. The table and
// the fault list must outlive the reader. Not thread safe.
class TomlReader {
 public:
  TomlReader(const toml::table& table,
             std::string file,
             std::string prefix,
             SettingsFaults* faults);

  // Returns the string at `key`. Records a fault if it is missing or empty.
  std::string RequiredString(std::string_view key);

  // Returns the string at `key`, or `default_value` if it is missing.
  std::string String(std::string_view key, std::string default_value);

  // As String(), but records a fault if the value is not one of `allowed`.
  std::string Choice(std::string_view key,
                     const std::string& default_value,
                     const std::vector<std::string>& allowed);

  // Returns the integer at `key`, or `default_value` if it is missing. Records
  // a fault if it is outside `range`.
  int64_t Integer(std::string_view key,
                  int64_t default_value,
                  IntegerRange range);

  // Returns the number at `key`, or `default_value` if it is missing. Records a
  // fault if it is not between 0 and `maximum`.
  double Number(std::string_view key, double default_value, double maximum);

  bool Boolean(std::string_view key, bool default_value);

  // Returns the array of strings at `key`, or an empty one if it is missing.
  std::vector<std::string> StringList(std::string_view key);

  // Returns the address at `key`. Records a fault if it is missing although
  // `required`, or if it does not have the form a.b.c.d:port.
  std::optional<SocketAddress> Address(std::string_view key, bool required);

  // Returns the table at `key`, or nullptr if it is missing.
  const toml::table* Table(std::string_view key);

  // Records a fault for each key that no getter has read.
  void RejectUnknownKeys();

  // Records a fault of the value at `key`.
  void AddFault(std::string_view key, std::string message);

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  std::string file_;
  std::string prefix_;
  SettingsFaults* faults_;
  std::set<std::string, std::less<>> known_keys_;
};

// Parses the file `path`. On a syntax error, records a fault with its line and
// returns std::nullopt. Thread safe.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         SettingsFaults* faults);

// Calls `read` with a reader of the table `key` of `root`. A missing table is
// treated as empty so that its required keys are reported. Thread safe.
template <typename Read>
void ReadSection(TomlReader* root,
                 const std::string& file,
                 const std::string& key,
                 SettingsFaults* faults,
                 Read read) {
  static const toml::table kEmpty;
  const toml::table* table = root->Table(key);
  TomlReader reader(table != nullptr ? *table : kEmpty, file, key + ".",
                    faults);
  read(&reader);
  reader.RejectUnknownKeys();
}

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_TOML_READER_H_
