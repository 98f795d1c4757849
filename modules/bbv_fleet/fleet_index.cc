#include "bbv_fleet/fleet_index.h"

#include <cassert>
#include <map>
#include <utility>

namespace bbv {

FleetIndex::FleetIndex(FleetConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const ServiceRoute& it : configuration_.routes)
    routes_[it.host][it.path_prefix] = &it;
  for (const FleetAccount& account : configuration_.accounts) {
    for (const std::string& key : account.keys)
      accounts_[key] = &account;
  }
  for (const ServiceDescription& it : configuration_.services)
    services_[it.name] = &it;
  FindUnlikePriorities();
}

void FleetIndex::FindUnlikePriorities() {
  const std::vector<FleetAccount>& accounts = configuration_.accounts;
  std::set<int> account_priorities;
  bool has_plain_account = accounts.empty();
  for (const FleetAccount& it : accounts) {
    if (it.priority)
      account_priorities.insert(*it.priority);
    else
      has_plain_account = true;
  }
  std::map<std::string, std::set<int>> priorities;
  for (const ServiceRoute& route : configuration_.routes) {
    for (const WeightedService& it : route.services) {
      std::set<int>& found = priorities[it.service];
      found.insert(account_priorities.begin(), account_priorities.end());
      if (has_plain_account || route.allow_anonymous)
        found.insert(route.priority);
    }
  }
  for (const auto& [service, found] : priorities) {
    if (found.size() > 1)
      unlike_priorities_.insert(service);
  }
}

int FleetIndex::EffectivePriority(const ServiceRoute& route,
                                  const FleetAccount* account) {
  return account != nullptr && account->priority ? *account->priority
                                                 : route.priority;
}

bool FleetIndex::HasUnlikePriorities(std::string_view service) const {
  return unlike_priorities_.contains(service);
}

const ServiceRoute* FleetIndex::FindRoute(std::string_view host,
                                          std::string_view path) const {
  const auto prefixes = routes_.find(host);
  if (prefixes == routes_.end())
    return nullptr;
  // Prefixes end with a slash, so only substrings that end with one can match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto it = prefixes->second.find(path.substr(0, end + 1));
    if (it != prefixes->second.end())
      return it->second;
    if (end == 0)
      break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

std::set<std::string, std::less<>> FleetIndex::ServiceNames() const {
  std::set<std::string, std::less<>> names;
  for (const ServiceDescription& it : configuration_.services)
    names.insert(it.name);
  for (const ServiceRoute& route : configuration_.routes) {
    for (const WeightedService& it : route.services)
      names.insert(it.service);
  }
  return names;
}

const FleetAccount* FleetIndex::FindAccount(std::string_view key) const {
  const auto it = accounts_.find(key);
  return it == accounts_.end() ? nullptr : it->second;
}

const ServiceDescription* FleetIndex::FindService(std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

const std::string& FleetIndex::PickService(const ServiceRoute& route,
                                           uint64_t random_value) {
  assert(!route.services.empty());
  uint64_t total = 0;
  for (const WeightedService& it : route.services)
    total += it.weight;
  if (total == 0)
    return route.services.front().service;
  uint64_t remaining = random_value % total;
  for (const WeightedService& it : route.services) {
    if (remaining < it.weight)
      return it.service;
    remaining -= it.weight;
  }
  return route.services.back().service;
}

}  // namespace bbv
