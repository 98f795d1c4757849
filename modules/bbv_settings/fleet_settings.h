#ifndef MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_
#define MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// What an entry before targets that forward among themselves is told by its
// settings file. Times are in milliseconds. docs/SETTINGS.md lists every key.
struct FleetSettings {
  std::string name;
  std::string zone;
  // Time from the stop signal to the end by force.
  int stop_timeout_ms = 0;

  SocketAddress callers_address;
  SocketAddress readiness_address;
  SocketAddress peers_address;
  SocketAddress metrics_address;
  // Other entries, to begin with; may be stale or down.
  std::vector<SocketAddress> peer_seeds;
  // File descriptors that the process may use.
  int maximum_connections = 0;

  // Share of a processor core, that core's speed against the usual one, and the
  // instance's link: larger instances do duties for their zone first.
  double core_share = 1;
  double core_speed = 1;
  double link_mbps = 1000;

  SocketAddress store_address;
  // Shortest lease that the store grants.
  int group_minimum_ms = 0;

  // Bound on repeated sends, summed over all entries.
  double retry_share = 0;
  double retry_extra = 0;
  int retry_window_ms = 0;

  // Within which time a leaving target must be left alone.
  int leave_within_ms = 0;
};

// Reads and checks `path`. The result is only usable when no fault was added.
// Precondition: `faults` is not null. Thread safe.
FleetSettings LoadFleetSettings(const std::string& path,
                                SettingsFaults* faults);

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_FLEET_SETTINGS_H_
