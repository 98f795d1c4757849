#ifndef MODULES_BBV_SETTINGS_NODE_SETTINGS_H_
#define MODULES_BBV_SETTINGS_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_core/name_table.h"
#include "bbv_settings/settings_fault.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// The role of a node process: an entry accepts requests from callers, a side
// runs next to a target and forwards work to it.
enum class NodeRole : uint8_t { kEntry, kSide };
inline constexpr NameTable<NodeRole, 2> kNodeRoleNames({"entry", "side"});

enum class TargetKind : uint8_t { kEngine, kService };
inline constexpr NameTable<TargetKind, 2> kTargetKindNames({"engine",
                                                            "service"});

// Settings of a node process. Times are in milliseconds and sizes in bytes,
// unless a name says otherwise. docs/SETTINGS.md documents every key.
struct NodeSettings {
  NodeRole role = NodeRole::kEntry;
  std::string name;
  std::string zone;

  SocketAddress http_address;
  std::string operator_key;
  int http_threads = 0;
  int http_maximum_body_bytes = 0;
  int http_read_timeout_ms = 0;
  int request_timeout_ms = 0;
  int maximum_open_requests = 0;
  int stop_timeout_ms = 0;

  SocketAddress peer_address;
  std::string peer_key;
  std::vector<SocketAddress> peer_seeds;
  int heartbeat_interval_ms = 0;
  int silence_timeout_ms = 0;
  int maximum_frame_bytes = 0;
  int maximum_connections = 0;
  int maximum_send_queue_bytes = 0;

  SocketAddress log_address;
  SocketAddress instance_list_address;
  int log_timeout_ms = 0;
  int claim_interval_ms = 0;

  std::string target_name;
  TargetKind target_kind = TargetKind::kEngine;
  std::string target_service;
  SocketAddress target_address;
  int target_timeout_ms = 0;
  int maximum_running = 0;
  int maximum_queued = 0;
  int maximum_batch_tokens = 0;
  int maximum_batch_sequences = 0;

  std::string log_directory;
  std::string log_level;
  int log_verbosity = 0;
  int log_file_megabytes = 0;
  std::string trace_file;
};

// Loads and validates the settings file `path` and appends every fault to
// `faults`. The result is valid only if no fault was added. Precondition:
// `faults` is not null. Thread safe.
NodeSettings LoadNodeSettings(const std::string& path, SettingsFaults* faults);

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_NODE_SETTINGS_H_
