#include "bbv_settings/node_settings.h"

#include <cassert>

#include "bbv_settings/toml_reader.h"

namespace bbv {
namespace {

constexpr IntegerRange kTimeoutRangeMs{10, 600'000};
constexpr IntegerRange kIntervalRangeMs{1, 60'000};
constexpr IntegerRange kThreadRange{4, 4096};
constexpr IntegerRange kCountRange{1, 1'000'000};
constexpr IntegerRange kBytesRange{1024, 1 << 28};
constexpr std::size_t kMinimumKeyLength = 16;
// Default values of target.maximum_queued: sequences waiting at an engine side
// and calls waiting at a service side.
constexpr int64_t kDefaultEngineQueue = 8;
constexpr int64_t kDefaultServiceQueue = 64;

void ReadNode(TomlReader* reader, NodeSettings* settings) {
  const std::string role = reader->Choice("role", "", {"entry", "side"});
  settings->role = kNodeRoleNames.Find(role).value_or(NodeRole::kEntry);
  settings->name = reader->RequiredString("name");
  settings->zone = reader->RequiredString("zone");
  settings->stop_timeout_ms =
      reader->Integer("stop_timeout_ms", 120'000, kTimeoutRangeMs);
}

void ReadHttp(TomlReader* reader, NodeSettings* settings) {
  settings->http_address =
      reader->Address("address", true).value_or(SocketAddress{});
  settings->operator_key = reader->String("operator_key", "");
  if (settings->role == NodeRole::kEntry &&
      settings->operator_key.size() < kMinimumKeyLength)
    reader->AddFault("operator_key", "must have at least 16 characters");
  settings->http_threads = reader->Integer("threads", 256, kThreadRange);
  settings->http_maximum_body_bytes =
      reader->Integer("maximum_body_bytes", 1 << 20, kBytesRange);
  settings->http_read_timeout_ms =
      reader->Integer("read_timeout_ms", 5000, kTimeoutRangeMs);
  settings->request_timeout_ms =
      reader->Integer("request_timeout_ms", 60'000, kTimeoutRangeMs);
  settings->maximum_open_requests =
      reader->Integer("maximum_open_requests", 2000, kCountRange);
}

void ReadPeers(TomlReader* reader, NodeSettings* settings) {
  settings->peer_address =
      reader->Address("address", true).value_or(SocketAddress{});
  settings->peer_key = reader->RequiredString("key");
  if (settings->peer_key.size() < kMinimumKeyLength)
    reader->AddFault("key", "must have at least 16 characters");
  for (const std::string& text : reader->StringList("seeds")) {
    if (const auto address = ParseSocketAddress(text))
      settings->peer_seeds.push_back(*address);
    else
      reader->AddFault("seeds",
                       "must contain only addresses such as 127.0.0.1:7000");
  }
  settings->heartbeat_interval_ms =
      reader->Integer("heartbeat_interval_ms", 250, kIntervalRangeMs);
  settings->silence_timeout_ms =
      reader->Integer("silence_timeout_ms", 1000, kTimeoutRangeMs);
  settings->maximum_frame_bytes =
      reader->Integer("maximum_frame_bytes", 1 << 24, kBytesRange);
  settings->maximum_connections =
      reader->Integer("maximum_connections", 2048, kCountRange);
  settings->maximum_send_queue_bytes =
      reader->Integer("maximum_send_queue_bytes", 1 << 26, kBytesRange);
}

void ReadPlatform(TomlReader* reader, NodeSettings* settings) {
  settings->log_address =
      reader->Address("log", true).value_or(SocketAddress{});
  settings->instance_list_address =
      reader->Address("instances", true).value_or(SocketAddress{});
  settings->log_timeout_ms =
      reader->Integer("log_timeout_ms", 2000, kTimeoutRangeMs);
  settings->claim_interval_ms =
      reader->Integer("claim_interval_ms", 5, kIntervalRangeMs);
}

void ReadTarget(TomlReader* reader, NodeSettings* settings) {
  settings->target_name = reader->RequiredString("name");
  const std::string kind = reader->Choice("kind", "", {"engine", "service"});
  settings->target_kind =
      kTargetKindNames.Find(kind).value_or(TargetKind::kEngine);
  settings->target_service = reader->String("service", "");
  if (settings->target_kind == TargetKind::kService &&
      settings->target_service.empty())
    reader->AddFault("service", "is required if kind is \"service\"");
  settings->target_address =
      reader->Address("address", true).value_or(SocketAddress{});
  settings->target_timeout_ms =
      reader->Integer("timeout_ms", 10'000, kTimeoutRangeMs);
  settings->maximum_running =
      reader->Integer("maximum_running", 512, kCountRange);
  const bool engine = settings->target_kind == TargetKind::kEngine;
  settings->maximum_queued = reader->Integer(
      "maximum_queued", engine ? kDefaultEngineQueue : kDefaultServiceQueue,
      kCountRange);
  settings->maximum_batch_sequences =
      reader->Integer("maximum_batch_sequences", 64, kCountRange);
  settings->maximum_batch_tokens =
      reader->Integer("maximum_batch_tokens", 4096, kCountRange);
}

void ReadLog(TomlReader* reader, NodeSettings* settings) {
  settings->log_directory = reader->String("directory", "");
  settings->log_level =
      reader->Choice("level", "info", {"info", "warning", "error"});
  settings->log_verbosity = reader->Integer("verbosity", 0, {0, 9});
  settings->log_file_megabytes =
      reader->Integer("file_megabytes", 64, {1, 1024});
  settings->trace_file = reader->String("trace_file", "");
}

}  // namespace

NodeSettings LoadNodeSettings(const std::string& path, SettingsFaults* faults) {
  assert(faults != nullptr);
  NodeSettings settings;
  const auto table = ParseTomlFile(path, faults);
  if (!table)
    return settings;
  TomlReader root(*table, path, "", faults);
  const auto read = [&](const char* key, auto function) {
    ReadSection(&root, path, key, faults,
                [&](TomlReader* reader) { function(reader, &settings); });
  };
  read("node", ReadNode);
  read("http", ReadHttp);
  read("peers", ReadPeers);
  read("platform", ReadPlatform);
  read("log", ReadLog);
  if (settings.role == NodeRole::kSide)
    read("target", ReadTarget);
  root.RejectUnknownKeys();
  if (settings.silence_timeout_ms <= 2 * settings.heartbeat_interval_ms) {
    faults->push_back({path, 0, "peers.silence_timeout_ms",
                       "must be greater than 2 * peers.heartbeat_interval_ms"});
  }
  return settings;
}

}  // namespace bbv
