#include "bbv_config/configuration_file.h"

#include <cassert>

#include "bbv_settings/toml_reader.h"

namespace bbv {
namespace {

constexpr IntegerRange kWeightRange{1, 1'000'000};
constexpr IntegerRange kPriorityRange{0, 9};
constexpr IntegerRange kLayerRange{0, 100'000};
constexpr IntegerRange kCapacityRange{1, 100'000};
constexpr IntegerRange kSpeedRange{1, 1'000'000};
constexpr std::size_t kSha256Digits = 64;

Account ReadAccount(TomlReader* reader) {
  Account account;
  account.key_sha256 = reader->RequiredString("key_sha256");
  if (account.key_sha256.size() != kSha256Digits)
    reader->AddFault("key_sha256", "must consist of 64 hexadecimal digits");
  account.weight = reader->Integer("weight", 1, kWeightRange);
  account.priority = reader->Integer("priority", 5, kPriorityRange);
  return account;
}

Model ReadModel(TomlReader* reader) {
  Model model;
  model.layers = reader->Integer("layers", 1, {1, kLayerRange.maximum});
  model.version = reader->RequiredString("version");
  return model;
}

Service ReadService(TomlReader* reader) {
  Service service;
  for (const std::string& text : reader->StringList("idempotent")) {
    const std::size_t space = text.find(' ');
    if (space == std::string::npos || text[space + 1] != '/') {
      reader->AddFault("idempotent",
                       "must contain only rules such as \"GET /\"");
      continue;
    }
    service.idempotent.push_back(
        {text.substr(0, space), text.substr(space + 1)});
  }
  return service;
}

Target ReadTarget(TomlReader* reader) {
  Target target;
  const auto address = reader->Address("address", true);
  target.address = address ? address->ToString() : "";
  target.zone = reader->RequiredString("zone");
  target.model = reader->String("model", "");
  target.service = reader->String("service", "");
  target.first_layer = reader->Integer("first_layer", 0, kLayerRange);
  target.end_layer = reader->Integer("end_layer", 0, kLayerRange);
  target.capacity = reader->Integer("capacity", 64, kCapacityRange);
  target.speed = reader->Integer("speed", 100, kSpeedRange);
  target.honours_fence = reader->Boolean("honours_fence", true);
  target.state =
      kTargetStateNames
          .Find(reader->Choice("state", "active", {"active", "draining"}))
          .value_or(TargetState::kActive);
  return target;
}

// Reads each subtable of the table `key` into `entities`, keyed by its name.
template <typename Entity>
void ReadEntities(TomlReader* root,
                  const std::string& file,
                  const std::string& key,
                  SettingsFaults* faults,
                  Entity (*read)(TomlReader*),
                  std::map<std::string, Entity>* entities) {
  const toml::table* table = root->Table(key);
  if (table == nullptr)
    return;
  for (const auto& [name, node] : *table) {
    const std::string path = key + "." + std::string(name.str());
    if (!node.is_table()) {
      faults->push_back({file, static_cast<int>(node.source().begin.line), path,
                         "must be a table"});
      continue;
    }
    TomlReader reader(*node.as_table(), file, path + ".", faults);
    Entity entity = read(&reader);
    entity.name = name.str();
    reader.RejectUnknownKeys();
    (*entities)[entity.name] = entity;
  }
}

}  // namespace

Configuration LoadConfigurationFile(const std::string& path,
                                    SettingsFaults* faults) {
  assert(faults != nullptr);
  Configuration configuration;
  const auto table = ParseTomlFile(path, faults);
  if (!table)
    return configuration;
  TomlReader root(*table, path, "", faults);
  ReadEntities(&root, path, "account", faults, ReadAccount,
               &configuration.accounts);
  ReadEntities(&root, path, "model", faults, ReadModel, &configuration.models);
  ReadEntities(&root, path, "service", faults, ReadService,
               &configuration.services);
  ReadEntities(&root, path, "target", faults, ReadTarget,
               &configuration.targets);
  root.RejectUnknownKeys();
  if (faults->empty()) {
    for (const std::string& fault : configuration.Inconsistencies())
      faults->push_back({path, 0, "configuration", fault});
  }
  return configuration;
}

}  // namespace bbv
