#include "bbv_config/intent.h"

#include <array>
#include <charconv>
#include <map>
#include <set>

namespace bbv {

using nlohmann::json;

namespace {

constexpr uint32_t kMaximumArgument = 1'000'000;

// Collects the changes of a plan and the entity versions that they were
// computed from.
class PlanBuilder {
 public:
  PlanBuilder(const ConfigurationFold& fold, const std::string& id)
      : fold_(fold) {
    plan_.id = id;
  }

  void RecordRead(const EntityKey& key) {
    plan_.versions_read[key] = fold_.EntityVersion(key);
  }

  void Set(const EntityKey& key, json value) {
    RecordRead(key);
    plan_.changes.push_back({key, std::move(value)});
  }

  const Configuration& configuration() const { return fold_.configuration(); }

  Plan Build(std::string summary) {
    plan_.summary = std::move(summary);
    return std::move(plan_);
  }

 private:
  const ConfigurationFold& fold_;
  Plan plan_;
};

Result<uint32_t> ParseNumber(const std::string& text, uint32_t maximum) {
  uint32_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || value == 0 ||
      value > maximum) {
    return Fail(Operation::kOperator, text,
                "must be an integer from 1 to " + std::to_string(maximum));
  }
  return value;
}

using Arguments = std::vector<std::string>;

Result<void> AddVersion(PlanBuilder* builder, const Arguments& arguments) {
  const auto it = builder->configuration().models.find(arguments[0]);
  if (it == builder->configuration().models.end())
    return Fail(Operation::kOperator, arguments[0], "model does not exist");
  json value = builder->configuration().Get({EntityKind::kModel, arguments[0]});
  value["version"] = arguments[1];
  builder->Set({EntityKind::kModel, arguments[0]}, value);
  return {};
}

Result<void> SetTargetState(PlanBuilder* builder,
                            const std::string& name,
                            TargetState state) {
  const EntityKey key{EntityKind::kTarget, name};
  json value = builder->configuration().Get(key);
  if (value.is_null())
    return Fail(Operation::kOperator, name, "target does not exist");
  value["state"] = kTargetStateNames.Name(state);
  builder->Set(key, value);
  return {};
}

Result<void> Drain(PlanBuilder* builder, const Arguments& arguments) {
  return SetTargetState(builder, arguments[0], TargetState::kDraining);
}

Result<void> Undrain(PlanBuilder* builder, const Arguments& arguments) {
  return SetTargetState(builder, arguments[0], TargetState::kActive);
}

Result<void> Share(PlanBuilder* builder, const Arguments& arguments) {
  const EntityKey key{EntityKind::kAccount, arguments[0]};
  json value = builder->configuration().Get(key);
  if (value.is_null())
    return Fail(Operation::kOperator, arguments[0], "account does not exist");
  const auto weight = ParseNumber(arguments[1], kMaximumArgument);
  if (!weight)
    return tl::make_unexpected(weight.error());
  value["weight"] = *weight;
  builder->Set(key, value);
  return {};
}

Result<void> AddTarget(PlanBuilder* builder, const Arguments& arguments) {
  const EntityKey key{EntityKind::kTarget, arguments[0]};
  if (!builder->configuration().Get(key).is_null())
    return Fail(Operation::kOperator, arguments[0], "target already exists");
  Target target;
  target.address = arguments[1];
  target.zone = arguments[2];
  const std::string& role = arguments[3];
  const std::size_t colon = role.find(':');
  const std::size_t dash = role.find('-', colon);
  if (colon == std::string::npos) {
    target.service = role;
    builder->RecordRead({EntityKind::kService, role});
  } else {
    target.model = role.substr(0, colon);
    builder->RecordRead({EntityKind::kModel, target.model});
    if (dash == std::string::npos)
      return Fail(Operation::kOperator, role,
                  "layers must have the form MODEL:FIRST-END");
    const std::string first = role.substr(colon + 1, dash - colon - 1);
    const auto end = ParseNumber(role.substr(dash + 1), kMaximumArgument);
    if (!end)
      return tl::make_unexpected(end.error());
    target.end_layer = *end;
    if (first != "0") {
      const auto number = ParseNumber(first, kMaximumArgument);
      if (!number)
        return tl::make_unexpected(number.error());
      target.first_layer = *number;
    }
  }
  Configuration changed;
  changed.targets[arguments[0]] = target;
  builder->Set(key, changed.Get(key));
  return {};
}

Result<void> RemoveTarget(PlanBuilder* builder, const Arguments& arguments) {
  const EntityKey key{EntityKind::kTarget, arguments[0]};
  if (builder->configuration().Get(key).is_null())
    return Fail(Operation::kOperator, arguments[0], "target does not exist");
  builder->Set(key, nullptr);
  return {};
}

using IntentHandler = Result<void> (*)(PlanBuilder*, const Arguments&);

struct IntentDefinition {
  std::string_view verb;
  std::size_t argument_count;
  std::string_view usage;
  IntentHandler handler;
};

constexpr std::array<IntentDefinition, 6> kIntentDefinitions = {{
    {"add-version", 2, "add-version MODEL VERSION", AddVersion},
    {"drain", 1, "drain TARGET", Drain},
    {"undrain", 1, "undrain TARGET", Undrain},
    {"share", 2, "share ACCOUNT WEIGHT", Share},
    {"add-target", 4, "add-target TARGET IP:PORT ZONE SERVICE|MODEL:FIRST-END",
     AddTarget},
    {"remove-target", 1, "remove-target TARGET", RemoveTarget},
}};

// Returns the total capacity of the active targets of each layer range and
// service.
std::map<std::string, uint32_t> Capacities(const Configuration& configuration) {
  std::map<std::string, uint32_t> capacities;
  for (const auto& [name, target] : configuration.targets) {
    const std::string place = target.is_engine()
                                  ? target.model + " layers " +
                                        std::to_string(target.first_layer) +
                                        "-" + std::to_string(target.end_layer)
                                  : "service " + target.service;
    uint32_t& capacity = capacities[place];
    if (target.state == TargetState::kActive)
      capacity += target.capacity;
  }
  return capacities;
}

}  // namespace

std::vector<std::string> IntentUsages() {
  std::vector<std::string> usages;
  usages.reserve(kIntentDefinitions.size());
  for (const IntentDefinition& row : kIntentDefinitions)
    usages.emplace_back(row.usage);
  return usages;
}

Result<Plan> MakePlan(const ConfigurationFold& fold,
                      const Intent& intent,
                      const std::string& id) {
  for (const IntentDefinition& row : kIntentDefinitions) {
    if (row.verb != intent.verb)
      continue;
    if (row.argument_count != intent.arguments.size())
      return Fail(Operation::kOperator, intent.verb,
                  "usage: plan " + std::string(row.usage));
    PlanBuilder builder(fold, id);
    if (const auto built = row.handler(&builder, intent.arguments); !built)
      return tl::make_unexpected(built.error());
    std::string summary = intent.verb;
    for (const std::string& argument : intent.arguments)
      summary += " " + argument;
    return builder.Build(summary);
  }
  return Fail(Operation::kOperator, intent.verb, "unsupported intent");
}

Plan MakeImportPlan(const ConfigurationFold& fold,
                    const Configuration& desired,
                    const std::string& id) {
  PlanBuilder builder(fold, id);
  for (const EntityChange& old : fold.configuration().ToChanges()) {
    if (desired.Get(old.key).is_null())
      builder.Set(old.key, nullptr);
  }
  for (const EntityChange& change : desired.ToChanges()) {
    if (fold.configuration().Get(change.key) != change.value)
      builder.Set(change.key, change.value);
  }
  return builder.Build("import");
}

std::vector<std::string> DescribePlan(const ConfigurationFold& fold,
                                      const Plan& plan) {
  std::vector<std::string> lines;
  Configuration changed = fold.configuration();
  for (const EntityChange& change : plan.changes) {
    const json before = changed.Get(change.key);
    lines.push_back(change.key.ToString() + ": " + before.dump() + " -> " +
                    change.value.dump());
    if (const auto applied = changed.Apply(change); !applied)
      lines.push_back("fault: " + applied.error().ToString());
  }
  const auto before = Capacities(fold.configuration());
  const auto after = Capacities(changed);
  std::map<std::string, uint32_t> places = before;
  places.insert(after.begin(), after.end());
  for (const auto& [place, ignored] : places) {
    const auto find = [&place = place](const auto& capacities) {
      const auto it = capacities.find(place);
      return it == capacities.end() ? 0U : it->second;
    };
    lines.push_back("capacity of " + place + ": " +
                    std::to_string(find(before)) + " -> " +
                    std::to_string(find(after)));
  }
  for (const std::string& fault : changed.Inconsistencies())
    lines.push_back("fault: " + fault);
  return lines;
}

}  // namespace bbv
