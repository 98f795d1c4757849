#include "bbv_fleet/fleet_index.h"

#include <cassert>
#include <iterator>
#include <optional>
#include <utility>

#include "bbv_admission/bbv_admission.h"

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
  CollectPriorities();
}

void FleetIndex::CollectPriorities() {
  static const std::set<std::optional<int>> kNoPriority{std::nullopt};
  std::set<std::optional<int>> account_priorities;
  for (const FleetAccount& it : configuration_.accounts)
    account_priorities.insert(it.priority);
  for (const ServiceRoute& route : configuration_.routes) {
    std::set<int> keys;
    const bool is_anonymous =
        account_priorities.empty() || route.allow_anonymous;
    for (const std::optional<int>& it :
         is_anonymous ? kNoPriority : account_priorities)
      keys.insert(PriorityReservation::PriorityKey(it, route.priority));
    for (const WeightedService& it : route.services)
      priorities_[it.service].insert(keys.begin(), keys.end());
  }
}

int FleetIndex::PriorityKey(const ServiceRoute& route,
                            const FleetAccount* account) {
  return PriorityReservation::PriorityKey(
      account == nullptr ? std::nullopt : account->priority, route.priority);
}

int FleetIndex::PriorityRank(std::string_view service,
                             const ServiceRoute& route,
                             const FleetAccount* account) const {
  const auto it = priorities_.find(service);
  if (it == priorities_.end())
    return 0;
  return static_cast<int>(std::distance(
      it->second.begin(), it->second.lower_bound(PriorityKey(route, account))));
}

bool FleetIndex::HasSeveralPriorities(std::string_view service) const {
  const auto it = priorities_.find(service);
  return it != priorities_.end() && it->second.size() > 1;
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
