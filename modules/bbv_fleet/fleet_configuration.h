#ifndef MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_
#define MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bbv_core/name_table.h"

namespace bbv {

// What may be repeated of a route's calls.
enum class CallKind : uint8_t {
  // May run any number of times.
  kSafe,
  // Runs at most once.
  kUnsafe,
  // A stream of numbered events.
  kStream,
};
inline constexpr NameTable<CallKind, 3> kCallKindNames({"safe", "unsafe",
                                                        "stream"});

// One service that a route may use and its share of the route's calls.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

// Where calls under one host and path prefix go, and how.
struct ServiceRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kUnsafe;
  // Whether a broken stream may go on at another target after its last event.
  bool resumable = false;
  // Whether calls need no key.
  bool allow_anonymous = false;
  int64_t timeout_ms = 0;
  // Time to the answer, or to the first event, that callers aim for.
  int64_t objective_ms = 0;
  // Longest pause between two events of a stream that callers aim for; 0 for
  // none.
  int64_t event_gap_objective_ms = 0;
  int priority = 0;
  int max_attempts = 1;
  std::vector<WeightedService> services;
};

// One kind of accelerator; its factors scale the model's times.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;
  double read_factor = 1;
};

// What the engines of a service run and how long its parts take.
struct EngineModel {
  std::string model;
  int layers = 0;
  double layer_mb = 0;
  // KV cache of one token over all layers.
  double kv_bytes_per_token = 0;
  // Sent on for each token from hop to hop, and the rate of the link between
  // zones that all calls share; 0 where that is not known.
  double activation_bytes = 0;
  double zone_link_mbps = 0;
  double step_ms = 0;
  // Added to a step for each call in it, and for each call and thousand tokens
  // that it has behind it.
  double call_step_ms = 0;
  double context_step_ms = 0;
  // Tokens that one event of a stream holds.
  double tokens_per_event = 1;
  // Prompt tokens that one pass reads at most.
  double read_chunk_tokens = 0;
  // Prompt tokens that are read in a millisecond.
  double read_tokens_per_ms = 0;
  // Loading all layers.
  double load_ms = 0;
  int concurrent_loads = 1;
  // Calls that a target takes at once as the first of their path; 0 for any.
  int first_hop_slots = 0;
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  std::vector<AcceleratorKind> kinds;

  // Megabytes that requests take for `token_layers` tokens times layers. Thread
  // safe.
  double RequestMb(double token_layers) const {
    constexpr double kBytesInMegabyte = 1e6;
    return token_layers * kv_bytes_per_token / layers / kBytesInMegabyte;
  }

  // Megabytes of an accelerator; 0 for an unknown kind. Thread safe.
  double MemoryMb(const std::string& accelerator) const {
    const AcceleratorKind* kind = FindKind(accelerator);
    return kind == nullptr ? 0 : kind->memory_mb;
  }

  // Returns the kind named `name`, or nullptr. Thread safe.
  const AcceleratorKind* FindKind(const std::string& name) const {
    for (const AcceleratorKind& it : kinds) {
      if (it.name == name)
        return &it;
    }
    return nullptr;
  }
};

// A set of interchangeable targets; `engine` is set for model engines.
struct ServiceDescription {
  std::string name;
  int max_connections = 0;
  std::optional<EngineModel> engine;
};

// What callers may send and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4U << 20U;
  int64_t header_timeout_ms = 3000;
  int64_t idle_timeout_ms = 15000;
};

// Who calls and which keys prove it.
struct FleetAccount {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the route's priority when set; 0 is first.
  std::optional<int> priority;
};

// The whole configuration as the operator stated it last.
struct FleetConfiguration {
  uint64_t version = 0;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceDescription> services;
  CallerLimits limits;
  // Empty when calls need no keys.
  std::vector<FleetAccount> accounts;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_
