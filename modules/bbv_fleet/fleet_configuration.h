#ifndef MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_
#define MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bbv_core/name_table.h"

namespace bbv {

// How often calls of a route may run.
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

// A service of a route and its relative share of the route's calls.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

// Routing rule for the calls under one host and path prefix.
struct ServiceRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kUnsafe;
  // Whether a broken stream may resume at another target after its last event.
  bool resumable = false;
  // Whether calls are accepted without an API key.
  bool allow_anonymous = false;
  int64_t timeout_ms = 0;
  // Objective for the time to the response, or to the first event of a stream.
  int64_t objective_ms = 0;
  // Objective for the maximum interval between two events of a stream; 0 for
  // none.
  int64_t event_gap_objective_ms = 0;
  int priority = 0;
  int max_attempts = 1;
  std::vector<WeightedService> services;
};

// One kind of accelerator. Its factors scale the step and prefill times of the
// model.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;
  double read_factor = 1;
};

// Model that the engines of a service run, with its memory use and timing.
struct EngineModel {
  std::string model;
  int layers = 0;
  double layer_mb = 0;
  // KV cache size of one token over all layers.
  double kv_bytes_per_token = 0;
  // Size of the activations that each token sends from hop to hop, and
  // bandwidth of the link between zones that all calls share; 0 if unknown.
  double activation_bytes = 0;
  double zone_link_mbps = 0;
  double step_ms = 0;
  // Added to the time of a step for each call in its batch, and for each call
  // and thousand tokens of its context.
  double call_step_ms = 0;
  double context_step_ms = 0;
  // Tokens in one event of a stream.
  double tokens_per_event = 1;
  // Maximum number of prompt tokens in one prefill pass.
  double read_chunk_tokens = 0;
  // Prefill rate, in prompt tokens per millisecond.
  double read_tokens_per_ms = 0;
  // Time to load all layers.
  double load_ms = 0;
  int concurrent_loads = 1;
  // Limit on the concurrent calls of a target that is the first hop of their
  // path; 0 for none.
  int first_hop_slots = 0;
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  std::vector<AcceleratorKind> kinds;

  // Returns the KV cache size in megabytes of `token_layers` tokens times
  // layers. Thread safe.
  double RequestMb(double token_layers) const {
    constexpr double kBytesInMegabyte = 1e6;
    return token_layers * kv_bytes_per_token / layers / kBytesInMegabyte;
  }

  // Returns the memory of an accelerator in megabytes, or 0 for an unknown
  // kind. Thread safe.
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

// A set of interchangeable targets; `engine` is set for services that run a
// model.
struct ServiceDescription {
  std::string name;
  int max_connections = 0;
  std::optional<EngineModel> engine;
};

// Limits on the requests of callers and on the time that they may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4U << 20U;
  int64_t header_timeout_ms = 3000;
  int64_t idle_timeout_ms = 15000;
  // Maximum time to receive a body; not part of the configuration.
  int64_t body_timeout_ms = 300'000;
};

// A client account and the API keys that authenticate it.
struct FleetAccount {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the route's priority if set; 0 is the highest priority.
  std::optional<int> priority;
};

// The complete configuration, as last set by the operator.
struct FleetConfiguration {
  uint64_t version = 0;
  std::vector<ServiceRoute> routes;
  std::vector<ServiceDescription> services;
  CallerLimits limits;
  // Empty if calls need no API keys.
  std::vector<FleetAccount> accounts;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_CONFIGURATION_H_
