#ifndef MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_
#define MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// Settings of a fleet entry, which routes calls to targets that forward them to
// one another. Times are in milliseconds. docs/SETTINGS.md documents every key.
struct FleetSettings {
  std::string name;
  std::string zone;
  // Maximum time for a graceful shutdown after SIGTERM; the process is killed
  // afterwards.
  int stop_timeout_ms = 0;

  SocketAddress callers_address;
  SocketAddress readiness_address;
  SocketAddress peers_address;
  SocketAddress metrics_address;
  // Entries that are contacted first to discover the others. Some of them may
  // be outdated or unreachable.
  std::vector<SocketAddress> peer_seeds;
  // Maximum number of file descriptors used by the process.
  int maximum_connections = 0;
  // Maximum time to receive the body of a request.
  int body_timeout_ms = 0;

  // Share of a processor core available to the instance, the speed of that core
  // relative to the standard one, and the network bandwidth of the instance.
  // Larger instances are preferred for duties on behalf of their zone.
  double core_share = 1;
  double core_speed = 1;
  double link_mbps = 1000;
  // Memory in megabytes beyond which the process is ended.
  int memory_mb = 0;

  SocketAddress store_address;
  // Shortest lease duration that the store grants.
  int group_minimum_ms = 0;

  // Retry budget shared by all entries: within a window, retries are limited to
  // `retry_share` of the calls plus `retry_extra`.
  double retry_share = 0;
  double retry_extra = 0;
  int retry_window_ms = 0;

  // Time after which a target that announced its departure must receive no more
  // calls.
  int leave_within_ms = 0;
};

// Loads and validates the settings file `path` and appends every fault to
// `faults`. The result is valid only if no fault was added. Precondition:
// `faults` is not null. Thread safe.
FleetSettings LoadFleetSettings(const std::string& path,
                                SettingsFaults* faults);

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_
