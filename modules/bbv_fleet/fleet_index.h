#ifndef MODULES_BBV_FLEET_FLEET_INDEX_H_
#define MODULES_BBV_FLEET_FLEET_INDEX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bbv_fleet/fleet_configuration.h"

namespace bbv {

// A configuration with indexes for the lookups that each call needs.
//
// Returned pointers stay valid as long as the index. Thread safety: immutable
// after construction.
class FleetIndex {
 public:
  explicit FleetIndex(FleetConfiguration configuration);
  FleetIndex(const FleetIndex&) = delete;
  FleetIndex& operator=(const FleetIndex&) = delete;

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // nullptr.
  const ServiceRoute* FindRoute(std::string_view host,
                                std::string_view path) const;

  // Returns the account that holds `key`, or nullptr.
  const FleetAccount* FindAccount(std::string_view key) const;

  // Returns the service named `name`, or nullptr.
  const ServiceDescription* FindService(std::string_view name) const;

  // Returns the service for a call of `route`, chosen by weight; `random_value`
  // is a uniformly distributed random number. Precondition: the route has a
  // service.
  static const std::string& PickService(const ServiceRoute& route,
                                        uint64_t random_value);

  // Returns the key by which the calls that `account`, which may be null, makes
  // on `route` are ordered, see PriorityReservation::PriorityKey().
  static int PriorityKey(const ServiceRoute& route,
                         const FleetAccount* account);

  // Returns how many priorities of calls to `service` are higher than that of
  // the calls that `account`, which may be null, makes on `route`. The
  // account's priority goes before the route's; 0 is the highest.
  int PriorityRank(std::string_view service,
                   const ServiceRoute& route,
                   const FleetAccount* account) const;

  // Whether calls of `service` may differ in priority.
  bool HasSeveralPriorities(std::string_view service) const;

  // Returns the names of the services that the configuration describes or that
  // its routes use.
  std::set<std::string, std::less<>> ServiceNames() const;

  const FleetConfiguration& configuration() const { return configuration_; }

 private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename Value>
  using StringMap =
      std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  void CollectPriorities();

  FleetConfiguration configuration_;
  // The priorities of the calls to each service, as
  // PriorityReservation::PriorityKey().
  std::map<std::string, std::set<int>, std::less<>> priorities_;
  // Routes by host and prefix.
  StringMap<StringMap<const ServiceRoute*>> routes_;
  StringMap<const FleetAccount*> accounts_;
  StringMap<const ServiceDescription*> services_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_INDEX_H_
