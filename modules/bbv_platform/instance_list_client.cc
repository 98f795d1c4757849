#include "bbv_platform/instance_list_client.h"

#include <nlohmann/json.hpp>

namespace bbv {

InstanceListClient::InstanceListClient(const SocketAddress& address,
                                       Milliseconds timeout)
    : connection_(address, Operation::kInstanceList, timeout) {}

Result<std::vector<std::string>> InstanceListClient::ReadLeavingInstances() {
  const auto response = connection_.Get("/v1/instances");
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->status != 200)
    return Fail(Operation::kInstanceList, connection_.peer(),
                "status " + std::to_string(response->status));
  try {
    const auto list = nlohmann::json::parse(response->body);
    std::vector<std::string> leaving;
    for (const auto& instance : list.at("instances")) {
      if (instance.at("state").get<std::string>() == "leaving")
        leaving.push_back(instance.at("name").get<std::string>());
    }
    return leaving;
  } catch (const nlohmann::json::exception& error) {
    return Fail(Operation::kInstanceList, connection_.peer(), error.what());
  }
}

}  // namespace bbv
