#include "bbv_settings/fleet_settings.h"

#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cstdint>

#include "bbv_settings/toml_reader.h"

namespace bbv {
namespace {

constexpr IntegerRange kTimeRangeMs{1, 600'000};
constexpr double kMaximumSeconds = 600;
constexpr int kMinimumBodyTimeoutMs = 1000;
constexpr IntegerRange kDescriptorRange{64, 1'000'000};
constexpr double kMaximumRetryShare = 1.0;
constexpr double kMaximumRetryExtra = 1'000'000;
constexpr double kMaximumCores = 1024;
constexpr double kMaximumLinkMbps = 1'000'000;
constexpr IntegerRange kMemoryRangeMb{64, 1'000'000};
constexpr int64_t kUsualMemoryMb = 260;
constexpr int64_t kBytesPerMegabyte = 1'000'000;
constexpr int kMillisecondsPerSecond = 1000;

SocketAddress RequiredAddress(TomlReader* reader, const char* key) {
  return reader->Address(key, true).value_or(SocketAddress{});
}

void ReadNode(TomlReader* reader, FleetSettings* settings) {
  reader->Choice("role", "", {"fleet-entry"});
  settings->name = reader->RequiredString("name");
  settings->zone = reader->RequiredString("zone");
  settings->stop_timeout_ms =
      static_cast<int>(kMillisecondsPerSecond *
                       reader->Number("stop_timeout_s", 8, kMaximumSeconds));
}

void ReadFront(TomlReader* reader, FleetSettings* settings) {
  settings->callers_address = RequiredAddress(reader, "callers");
  settings->readiness_address = RequiredAddress(reader, "readiness");
  settings->peers_address = RequiredAddress(reader, "peers");
  settings->metrics_address = RequiredAddress(reader, "metrics");
  for (const std::string& text : reader->StringList("peer_seeds")) {
    if (const auto address = ParseSocketAddress(text))
      settings->peer_seeds.push_back(*address);
    else
      reader->AddFault("peer_seeds",
                       "must contain only addresses such as 127.0.0.1:7000");
  }
  settings->maximum_connections = static_cast<int>(
      reader->Integer("maximum_connections", 4096, kDescriptorRange));
  settings->body_timeout_ms =
      static_cast<int>(kMillisecondsPerSecond *
                       reader->Number("body_timeout_s", 300, kMaximumSeconds));
  if (settings->body_timeout_ms < kMinimumBodyTimeoutMs)
    reader->AddFault("body_timeout_s", "must be at least 1");
}

// Returns the usual memory of an instance, or that of this machine if it has
// less.
int64_t DefaultMemoryMb() {
  const int64_t bytes =
      int64_t{sysconf(_SC_PHYS_PAGES)} * int64_t{sysconf(_SC_PAGESIZE)};
  const int64_t machine_mb = bytes / kBytesPerMegabyte;
  return std::clamp(machine_mb, kMemoryRangeMb.minimum, kUsualMemoryMb);
}

void ReadInstance(TomlReader* reader, FleetSettings* settings) {
  settings->core_share = reader->Number("core_share", 1, kMaximumCores);
  settings->core_speed = reader->Number("core_speed", 1, kMaximumCores);
  settings->link_mbps = reader->Number("link_mbps", 1000, kMaximumLinkMbps);
  settings->memory_mb = static_cast<int>(
      reader->Integer("memory_mb", DefaultMemoryMb(), kMemoryRangeMb));
}

void ReadStore(TomlReader* reader, FleetSettings* settings) {
  settings->store_address = RequiredAddress(reader, "address");
  settings->group_minimum_ms =
      static_cast<int>(reader->Integer("group_minimum_ms", 1000, kTimeRangeMs));
}

void ReadRetries(TomlReader* reader, FleetSettings* settings) {
  settings->retry_share = reader->Number("share", 0.1, kMaximumRetryShare);
  settings->retry_extra = reader->Number("extra", 10, kMaximumRetryExtra);
  settings->retry_window_ms = static_cast<int>(
      kMillisecondsPerSecond * reader->Number("window_s", 10, kMaximumSeconds));
  if (settings->retry_window_ms == 0)
    reader->AddFault("window_s", "must be at least 0.001");
}

void ReadTargets(TomlReader* reader, FleetSettings* settings) {
  settings->leave_within_ms =
      static_cast<int>(reader->Integer("leave_within_ms", 2000, kTimeRangeMs));
}

}  // namespace

FleetSettings LoadFleetSettings(const std::string& path,
                                SettingsFaults* faults) {
  assert(faults != nullptr);
  FleetSettings settings;
  const auto table = ParseTomlFile(path, faults);
  if (!table)
    return settings;
  TomlReader root(*table, path, "", faults);
  const auto read = [&](const char* key, auto function) {
    ReadSection(&root, path, key, faults,
                [&](TomlReader* reader) { function(reader, &settings); });
  };
  read("node", ReadNode);
  read("front", ReadFront);
  read("instance", ReadInstance);
  read("store", ReadStore);
  read("retries", ReadRetries);
  read("targets", ReadTargets);
  root.RejectUnknownKeys();
  return settings;
}

}  // namespace bbv
