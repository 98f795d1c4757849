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

// An inclusive range of allowed whole numbers.
struct IntegerRange {
  int64_t minimum = 0;
  int64_t maximum = 0;
};

// Reads checked values out of one TOML table and records each fault.
//
// Every getter returns a usable value even after a fault, so that one pass
// finds all of them. Call RejectUnknownKeys() last. The table and the fault
// list must outlive the reader. Thread safety: none, one thread at a time.
class TomlReader {
 public:
  TomlReader(const toml::table& table,
             std::string file,
             std::string prefix,
             SettingsFaults* faults);

  // Returns the text at `key`; a fault when it is missing or empty.
  std::string RequiredString(std::string_view key);

  // Returns the text at `key`, or `default_value` when it is missing.
  std::string String(std::string_view key, std::string default_value);

  // As String, restricted to `allowed` values.
  std::string Choice(std::string_view key,
                     const std::string& default_value,
                     const std::vector<std::string>& allowed);

  // Returns the number at `key` within `range`, or `default_value`.
  int64_t Integer(std::string_view key,
                  int64_t default_value,
                  IntegerRange range);

  // Returns the number at `key` from 0 to `maximum`, or `default_value`.
  double Number(std::string_view key, double default_value, double maximum);

  bool Boolean(std::string_view key, bool default_value);

  // Returns the list of texts at `key`; empty when it is missing.
  std::vector<std::string> StringList(std::string_view key);

  // Returns the address at `key`; a fault when missing (if `required`) or not
  // of the form a.b.c.d:port.
  std::optional<SocketAddress> Address(std::string_view key, bool required);

  // Returns the table at `key`, or nullptr.
  const toml::table* Table(std::string_view key);

  // Records a fault for each key that no getter asked for.
  void RejectUnknownKeys();

  // Records a fault at `key`.
  void AddFault(std::string_view key, std::string message);

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  std::string file_;
  std::string prefix_;
  SettingsFaults* faults_;
  std::set<std::string, std::less<>> known_keys_;
};

// Parses `path`; a syntax error becomes one fault with its line. Returns
// nothing then. Thread safe.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         SettingsFaults* faults);

// Hands the table `key` of `root` to `read`; a missing one reads as empty, so
// that its required keys are reported. Thread safe.
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
