#include "bbv_config/configuration.h"

#include <algorithm>
#include <set>

#include "bbv_config/json_integer.h"

namespace bbv {

using nlohmann::json;

void to_json(json& out, const Account& account) {
  out = {{"key_sha256", account.key_sha256},
         {"weight", account.weight},
         {"priority", account.priority}};
}

void from_json(const json& in, Account& account) {
  in.at("key_sha256").get_to(account.key_sha256);
  ReadInteger(in.at("weight"), &account.weight);
  ReadInteger(in.at("priority"), &account.priority);
}

void to_json(json& out, const Model& model) {
  out = {{"layers", model.layers}, {"version", model.version}};
}

void from_json(const json& in, Model& model) {
  ReadInteger(in.at("layers"), &model.layers);
  in.at("version").get_to(model.version);
}

void to_json(json& out, const IdempotentRule& rule) {
  out = {{"method", rule.method}, {"path_prefix", rule.path_prefix}};
}

void from_json(const json& in, IdempotentRule& rule) {
  in.at("method").get_to(rule.method);
  in.at("path_prefix").get_to(rule.path_prefix);
}

void to_json(json& out, const Service& service) {
  out = {{"idempotent", service.idempotent}};
}

void from_json(const json& in, Service& service) {
  in.at("idempotent").get_to(service.idempotent);
}

void to_json(json& out, const Target& target) {
  out = {{"address", target.address},
         {"zone", target.zone},
         {"model", target.model},
         {"service", target.service},
         {"first_layer", target.first_layer},
         {"end_layer", target.end_layer},
         {"capacity", target.capacity},
         {"speed", target.speed},
         {"honours_fence", target.honours_fence},
         {"state", kTargetStateNames.Name(target.state)}};
}

void from_json(const json& in, Target& target) {
  in.at("address").get_to(target.address);
  in.at("zone").get_to(target.zone);
  in.at("model").get_to(target.model);
  in.at("service").get_to(target.service);
  ReadInteger(in.at("first_layer"), &target.first_layer);
  ReadInteger(in.at("end_layer"), &target.end_layer);
  ReadInteger(in.at("capacity"), &target.capacity);
  ReadInteger(in.at("speed"), &target.speed);
  in.at("honours_fence").get_to(target.honours_fence);
  const auto state = kTargetStateNames.Find(in.at("state").get<std::string>());
  target.state = state.value_or(TargetState::kActive);
}

namespace {

// Calls `function` with the map that holds the entities of `kind`.
template <typename Owner, typename Function>
auto WithTable(Owner& owner, EntityKind kind, Function function) {
  switch (kind) {
    case EntityKind::kAccount:
      return function(owner.accounts);
    case EntityKind::kModel:
      return function(owner.models);
    case EntityKind::kService:
      return function(owner.services);
    case EntityKind::kTarget:
      break;
  }
  return function(owner.targets);
}

template <typename Table>
void AppendChanges(EntityKind kind,
                   const Table& table,
                   std::vector<EntityChange>* changes) {
  for (const auto& [name, entity] : table)
    changes->push_back({{kind, name}, json(entity)});
}

}  // namespace

bool Service::IsIdempotent(std::string_view method,
                           std::string_view path) const {
  return std::any_of(
      idempotent.begin(), idempotent.end(), [&](const IdempotentRule& rule) {
        return rule.method == method && path.starts_with(rule.path_prefix);
      });
}

Result<void> Configuration::Apply(const EntityChange& change) {
  return WithTable(*this, change.key.kind, [&](auto& table) -> Result<void> {
    if (change.value.is_null()) {
      table.erase(change.key.name);
      return {};
    }
    try {
      using Entity = typename std::decay_t<decltype(table)>::mapped_type;
      auto entity = change.value.get<Entity>();
      entity.name = change.key.name;
      table[change.key.name] = std::move(entity);
      return {};
    } catch (const json::exception& error) {
      return Fail(Operation::kConfiguration, change.key.ToString(),
                  error.what());
    }
  });
}

json Configuration::Get(const EntityKey& key) const {
  return WithTable(*this, key.kind, [&](const auto& table) -> json {
    const auto it = table.find(key.name);
    return it == table.end() ? json() : json(it->second);
  });
}

std::vector<EntityChange> Configuration::ToChanges() const {
  std::vector<EntityChange> changes;
  AppendChanges(EntityKind::kAccount, accounts, &changes);
  AppendChanges(EntityKind::kModel, models, &changes);
  AppendChanges(EntityKind::kService, services, &changes);
  AppendChanges(EntityKind::kTarget, targets, &changes);
  return changes;
}

std::vector<std::string> Configuration::Inconsistencies() const {
  std::vector<std::string> faults;
  std::map<std::string, std::vector<const Target*>> targets_by_model;
  for (const auto& [name, target] : targets) {
    const std::string where = "target/" + name + ": ";
    if (target.model.empty() == target.service.empty())
      faults.push_back(where + "must have either a model or a service");
    else if (!target.service.empty() && !services.contains(target.service))
      faults.push_back(where + "unknown service " + target.service);
    if (target.model.empty())
      continue;
    const auto model = models.find(target.model);
    if (model == models.end()) {
      faults.push_back(where + "unknown model " + target.model);
      continue;
    }
    if (target.first_layer >= target.end_layer ||
        target.end_layer > model->second.layers) {
      faults.push_back(where + "layers must lie within 0 to " +
                       std::to_string(model->second.layers));
      continue;
    }
    targets_by_model[target.model].push_back(&target);
  }
  for (const auto& [name, model_targets] : targets_by_model) {
    const Model& model = models.at(name);
    const auto boundaries = ReachableBoundaries(model, model_targets);
    if (std::find(boundaries.begin(), boundaries.end(), 0) == boundaries.end())
      faults.push_back("model/" + name +
                       ": layer ranges do not tile layers 0 to " +
                       std::to_string(model.layers));
  }
  return faults;
}

std::vector<uint32_t> ReachableBoundaries(
    const Model& model,
    const std::vector<const Target*>& targets) {
  std::set<uint32_t> reachable = {model.layers};
  bool extended = true;
  while (extended) {
    extended = false;
    for (const Target* target : targets) {
      if (reachable.contains(target->end_layer))
        extended |= reachable.insert(target->first_layer).second;
    }
  }
  return {reachable.begin(), reachable.end()};
}

}  // namespace bbv
