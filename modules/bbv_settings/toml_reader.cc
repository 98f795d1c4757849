#include "bbv_settings/toml_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

std::string Join(const std::vector<std::string>& strings) {
  std::string result;
  for (const std::string& text : strings)
    result += (result.empty() ? "" : ", ") + text;
  return result;
}

}  // namespace

TomlReader::TomlReader(const toml::table& table,
                       std::string file,
                       std::string prefix,
                       SettingsFaults* faults)
    : table_(table),
      file_(std::move(file)),
      prefix_(std::move(prefix)),
      faults_(faults) {
  assert(faults != nullptr);
}

std::string TomlReader::RequiredString(std::string_view key) {
  std::string value = String(key, "");
  if (value.empty() && Find(key) == nullptr)
    AddFault(key, "is missing; a string is required");
  else if (value.empty())
    AddFault(key, "must be a non-empty string");
  return value;
}

std::string TomlReader::String(std::string_view key,
                               std::string default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr)
    return default_value;
  if (auto value = node->value_exact<std::string>())
    return std::move(*value);
  AddFault(key, "must be a string");
  return default_value;
}

std::string TomlReader::Choice(std::string_view key,
                               const std::string& default_value,
                               const std::vector<std::string>& allowed) {
  std::string value = String(key, default_value);
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
    return value;
  AddFault(key, "must be one of " + Join(allowed));
  return default_value.empty() ? allowed.front() : default_value;
}

int64_t TomlReader::Integer(std::string_view key,
                            int64_t default_value,
                            IntegerRange range) {
  const toml::node* node = Find(key);
  if (node == nullptr)
    return default_value;
  const auto value = node->value_exact<int64_t>();
  if (value && *value >= range.minimum && *value <= range.maximum)
    return *value;
  AddFault(key, "must be an integer from " + std::to_string(range.minimum) +
                    " to " + std::to_string(range.maximum));
  return default_value;
}

double TomlReader::Number(std::string_view key,
                          double default_value,
                          double maximum) {
  const toml::node* node = Find(key);
  if (node == nullptr)
    return default_value;
  // value<double>() also accepts integers.
  const auto value = node->value<double>();
  if (value && *value >= 0 && *value <= maximum)
    return *value;
  AddFault(key, "must be a number from 0 to " + std::to_string(maximum));
  return default_value;
}

bool TomlReader::Boolean(std::string_view key, bool default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr)
    return default_value;
  if (const auto value = node->value_exact<bool>())
    return *value;
  AddFault(key, "must be true or false");
  return default_value;
}

std::vector<std::string> TomlReader::StringList(std::string_view key) {
  std::vector<std::string> values;
  const toml::node* node = Find(key);
  if (node == nullptr)
    return values;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddFault(key, "must be an array of strings");
    return values;
  }
  for (const toml::node& item : *array) {
    if (const auto value = item.value_exact<std::string>())
      values.push_back(*value);
    else
      AddFault(key, "must contain only strings");
  }
  return values;
}

std::optional<SocketAddress> TomlReader::Address(std::string_view key,
                                                 bool required) {
  const std::string text = String(key, "");
  if (text.empty() && !required)
    return std::nullopt;
  auto address = ParseSocketAddress(text);
  if (!address)
    AddFault(key, "must be an address such as 127.0.0.1:7000");
  return address;
}

const toml::table* TomlReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr)
    return nullptr;
  if (node->as_table() == nullptr)
    AddFault(key, "must be a table");
  return node->as_table();
}

void TomlReader::RejectUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (!known_keys_.contains(key.str()))
      AddFault(key.str(), "is not a known key");
  }
}

void TomlReader::AddFault(std::string_view key, std::string message) {
  const toml::node* node = table_.get(key);
  const int line = LineOf(node != nullptr ? *node : table_);
  faults_->push_back(
      {file_, line, prefix_ + std::string(key), std::move(message)});
}

const toml::node* TomlReader::Find(std::string_view key) {
  known_keys_.emplace(key);
  return table_.get(key);
}

std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         SettingsFaults* faults) {
  assert(faults != nullptr);
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    const int line = static_cast<int>(error.source().begin.line);
    faults->push_back({path, line, "syntax", std::string(error.description())});
    return std::nullopt;
  }
}

}  // namespace bbv
