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
  for (const HttpField& it : head.fields) {
    if (IsEndToEndField(head, it))
      AppendField(it.name, it.value, &fields);
  }
  return fields;
}

}  // namespace bbv
