#ifndef MODULES_BBV_CONFIG_CONFIGURATION_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/error.h"
#include "bbv_core/name_table.h"

namespace bbv {

// A client account. `key_sha256` is the SHA-256 hash of its bearer key in
// hexadecimal; `weight` is its share of the capacity relative to the weights of
// other accounts.
struct Account {
  std::string name;
  std::string key_sha256;
  uint32_t weight = 1;
  uint8_t priority = 5;
  bool operator==(const Account&) const = default;
};

// A model and the version that its targets should have loaded.
struct Model {
  std::string name;
  uint32_t layers = 0;
  std::string version;
  bool operator==(const Model&) const = default;
};

// Declares the calls of a service with this method and path prefix idempotent:
// they can be retried safely.
struct IdempotentRule {
  std::string method;
  std::string path_prefix;
  bool operator==(const IdempotentRule&) const = default;
};

struct Service {
  std::string name;
  std::vector<IdempotentRule> idempotent;
  bool operator==(const Service&) const = default;

  // Returns whether a rule declares this call idempotent.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
};

enum class TargetState : uint8_t { kActive, kDraining };
inline constexpr NameTable<TargetState, 2> kTargetStateNames({"active",
                                                              "draining"});

// A target: an engine that holds the layers [first_layer, end_layer) of a
// model, or an instance of a plain service. `address` is the peer address of
// the side that runs next to it. `capacity` is the number of requests that it
// executes concurrently; `speed` is its relative accelerator speed, where 100
// is the slowest type.
struct Target {
  std::string name;
  std::string address;
  std::string zone;
  std::string model;
  std::string service;
  uint32_t first_layer = 0;
  uint32_t end_layer = 0;
  uint32_t capacity = 64;
  uint32_t speed = 100;
  bool honours_fence = true;
  TargetState state = TargetState::kActive;
  bool operator==(const Target&) const = default;

  bool is_engine() const { return !model.empty(); }
};

enum class EntityKind : uint8_t { kAccount, kModel, kService, kTarget };
inline constexpr NameTable<EntityKind, 4> kEntityKindNames({"account", "model",
                                                            "service",
                                                            "target"});

// Identifies an entity, for example "target/linz-3".
struct EntityKey {
  EntityKind kind = EntityKind::kAccount;
  std::string name;
  // clang-tidy 14 mistakes the comparison with 0 for a null pointer constant.
  auto operator<=>(const EntityKey&) const = default;  // NOLINT

  std::string ToString() const {
    return std::string(kEntityKindNames.Name(kind)) + "/" + name;
  }
};

// Sets an entity to `value`, or removes it if `value` is null.
struct EntityChange {
  EntityKey key;
  nlohmann::json value;
};

// All entities that are currently in effect, by name.
//
// Thread safety: a value type; copies are independent.
struct Configuration {
  std::map<std::string, Account> accounts;
  std::map<std::string, Model> models;
  std::map<std::string, Service> services;
  std::map<std::string, Target> targets;
  bool operator==(const Configuration&) const = default;

  // Applies `change`. Returns an error (operation kConfiguration) and leaves
  // the configuration unchanged if the value is invalid.
  Result<void> Apply(const EntityChange& change);

  // Returns the entity as JSON, or null if it does not exist.
  nlohmann::json Get(const EntityKey& key) const;

  // Returns the changes that create this configuration from an empty one, in a
  // deterministic order.
  std::vector<EntityChange> ToChanges() const;

  // Returns a message for each inconsistency between entities: targets that
  // refer to unknown models or services, and layer ranges that do not cover
  // their model completely. Snapshots store these messages in the outcomes of
  // rejected plans.
  std::vector<std::string> Inconsistencies() const;
};

// Returns the layer boundaries from which a chain of consecutive layer ranges
// of `targets` leads to the end of `model`. All targets must belong to `model`.
// Thread safe.
std::vector<uint32_t> ReachableBoundaries(
    const Model& model,
    const std::vector<const Target*>& targets);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_H_
