#include "bbv_platform/instance_list_client.h"

#include <nlohmann/json.hpp>

#include "bbv_core/json_text.h"

namespace bbv {
namespace {

using nlohmann::json;

// Returns the name of the instance if it is leaving; empty if it is not or if
// `item` is malformed.
std::string ParseLeavingName(std::string_view item) {
  if (IsJsonTooDeep(item))
    return {};
  const json instance = json::parse(ReplaceMalformedUtf8(item), nullptr, false);
  if (!instance.is_object())
    return {};
  const auto name = instance.find("name");
  const auto state = instance.find("state");
  if (name == instance.end() || !name->is_string() || state == instance.end() ||
      *state != "leaving")
    return {};
  return name->get<std::string>();
}

}  // namespace

InstanceListClient::InstanceListClient(const SocketAddress& address,
                                       Milliseconds timeout)
    : connection_(address, Operation::kInstanceList, timeout) {}

Result<std::vector<std::string>> InstanceListClient::ReadLeavingInstances() {
  const auto response = connection_.Get("/v1/instances");
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->head.status != 200)
    return Fail(Operation::kInstanceList, connection_.peer(),
                "status " + std::to_string(response->head.status));
  const JsonList list = SplitJsonList(response->body, "instances");
  const json document = IsJsonTooDeep(list.rest)
                            ? json()
                            : json::parse(list.rest, nullptr, false);
  if (!document.is_object() || !document.contains("instances") ||
      !document["instances"].is_array())
    return Fail(Operation::kInstanceList, connection_.peer(),
                "not a list of instances");
  std::vector<std::string> leaving;
  for (const std::string_view item : list.items) {
    if (std::string name = ParseLeavingName(item); !name.empty())
      leaving.push_back(std::move(name));
  }
  return leaving;
}

}  // namespace bbv
