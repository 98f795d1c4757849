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

// A client account. `key_sha256` is the hexadecimal hash of its bearer key;
// `weight` is its share against other accounts' weights.
struct Account {
  std::string name;
  std::string key_sha256;
  uint32_t weight = 1;
  uint8_t priority = 5;
  bool operator==(const Account&) const = default;
};

// A model and the version of it that targets should hold.
struct Model {
  std::string name;
  uint32_t layers = 0;
  std::string version;
  bool operator==(const Model&) const = default;
};

// One rule of a service: calls with this method whose path starts with this
// prefix may be repeated.
struct IdempotentRule {
  std::string method;
  std::string path_prefix;
  bool operator==(const IdempotentRule&) const = default;
};

struct Service {
  std::string name;
  std::vector<IdempotentRule> idempotent;
  bool operator==(const Service&) const = default;

  // Returns whether the configuration lets this call be repeated.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
};

enum class TargetState : uint8_t { kActive, kDraining };
inline constexpr NameTable<TargetState, 2> kTargetStateNames({"active",
                                                              "draining"});

// A target: an engine that holds layers [first_layer, end_layer) of a model,
// or an instance of a plain service. `address` is its side's peer address.
// `capacity` counts the requests it runs at once; `speed` compares
// accelerators, 100 being the slowest kind's.
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

// Names one entity, for instance "target/linz-3".
struct EntityKey {
  EntityKind kind = EntityKind::kAccount;
  std::string name;
  // clang-tidy 14 takes the comparison with 0 for a null pointer.
  auto operator<=>(const EntityKey&) const = default;  // NOLINT

  std::string ToString() const {
    return std::string(kEntityKindNames.Name(kind)) + "/" + name;
  }
};

// Sets an entity to `value`, or removes it when `value` is null.
struct EntityChange {
  EntityKey key;
  nlohmann::json value;
};

// Every entity in force, by name.
//
// Thread safety: a plain value; copies are independent.
struct Configuration {
  std::map<std::string, Account> accounts;
  std::map<std::string, Model> models;
  std::map<std::string, Service> services;
  std::map<std::string, Target> targets;
  bool operator==(const Configuration&) const = default;

  // Applies `change`, or returns why its value cannot be read (step
  // kConfiguration); the configuration is unchanged then.
  Result<void> Apply(const EntityChange& change);

  // Returns the entity's value as JSON, null when there is none.
  nlohmann::json Get(const EntityKey& key) const;

  // Returns a change for each entity, in a fixed order; applied to an empty
  // configuration they give this one.
  std::vector<EntityChange> ToChanges() const;

  // Returns every way in which the entities do not fit together: targets of
  // unknown models or services, layer ranges that cannot tile their model.
  std::vector<std::string> Inconsistencies() const;
};

// Returns the layer boundaries from which the last layer of `model` can be
// reached through `targets` (all of that model). Thread safe.
std::vector<uint32_t> ReachableBoundaries(
    const Model& model,
    const std::vector<const Target*>& targets);

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_H_
