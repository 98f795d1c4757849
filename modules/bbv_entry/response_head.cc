#include "bbv_entry/response_head.h"

namespace bbv {

std::string_view MediaType(const HttpHead& head) {
  const std::string* value = head.Find("Content-Type");
  if (value == nullptr)
    return {};
  const std::string_view type =
      std::string_view(*value).substr(0, value->find(';'));
  return type.substr(0, type.find_last_not_of(" \t") + 1);
}

std::string RelayedFields(const HttpHead& head) {
  std::string fields;
  const std::string* connection = head.Find("Connection");
  for (const HttpField& it : head.fields) {
    if (IsConnectionSpecificField(it.name))
      continue;
    if (connection != nullptr && HasListToken(*connection, it.name))
      continue;
    AppendField(it.name, it.value, &fields);
  }
  return fields;
}

}  // namespace bbv
