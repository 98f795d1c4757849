#ifndef TESTS_FLEET_FIXTURES_H_
#define TESTS_FLEET_FIXTURES_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "bbv_fleet/bbv_fleet.h"

namespace bbv_test {

// A model of 80 layers on three kinds of accelerators.
inline bbv::EngineModel MakeModel() {
  bbv::EngineModel model;
  model.model = std::string("m");
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.step_ms = 0.85;
  model.read_tokens_per_ms = 272;
  model.load_ms = 14000;
  model.concurrent_loads = 6;
  model.typical_prompt_tokens = 772;
  model.typical_output_tokens = 145;
  model.kinds = {{"large", 36000, 3.1, 3.2},
                 {"middle", 21600, 16, 8.2},
                 {"small", 14400, 15, 15}};
  return model;
}

// The targets of three zones of different sizes, each with enough memory for a
// copy of the model. They hold no layers yet.
inline std::vector<bbv::PlannerTarget> MakeThreeZones() {
  struct Group {
    const char* zone;
    const char* kind;
    int count;
  };
  constexpr Group kGroups[] = {
      {"a", "large", 2},  {"b", "large", 1},  {"c", "large", 2},
      {"a", "middle", 5}, {"b", "middle", 7}, {"c", "middle", 3},
      {"a", "small", 8},  {"b", "small", 5},  {"c", "small", 5}};
  std::vector<bbv::PlannerTarget> targets;
  for (const Group& group : kGroups) {
    for (int it = 0; it < group.count; ++it) {
      std::string id = "i-";
      id.append(group.zone).append(group.kind).append(std::to_string(it));
      targets.push_back({id, group.zone, group.kind, std::nullopt});
    }
  }
  return targets;
}

// Completes `changes`: each target holds the layers assigned to it.
inline void Apply(const std::vector<bbv::Placement>& changes,
                  std::vector<bbv::PlannerTarget>* targets) {
  for (const bbv::Placement& change : changes) {
    for (bbv::PlannerTarget& it : *targets) {
      if (it.id == change.id)
        it.layers = change.layers;
    }
  }
}

// The targets of MakeThreeZones with the planner's initial placement.
inline std::vector<bbv::PlannerTarget> MakePlacedZones() {
  std::vector<bbv::PlannerTarget> targets = MakeThreeZones();
  Apply(bbv::LayerPlanner::Plan(MakeModel(), targets), &targets);
  return targets;
}

// All targets except the one at index `lost`.
inline std::vector<bbv::PlannerTarget> Without(
    std::vector<bbv::PlannerTarget> targets,
    std::size_t lost) {
  targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(lost));
  return targets;
}

// The placement while `changes` are carried out: dropped layers are already
// unloaded, new ones not loaded yet.
inline std::vector<bbv::PlannerTarget> During(
    const std::vector<bbv::Placement>& changes,
    std::vector<bbv::PlannerTarget> targets) {
  for (const bbv::Placement& change : changes) {
    for (bbv::PlannerTarget& it : targets) {
      if (it.id == change.id && it.layers)
        it.layers = it.layers->Intersection(change.layers);
    }
  }
  return targets;
}

// Whether the targets of `zone` (of all zones if empty), except the target
// `lost`, hold every layer.
inline bool HoldsCopy(const bbv::EngineModel& model,
                      const std::vector<bbv::PlannerTarget>& targets,
                      const std::string& zone,
                      const std::string& lost = {}) {
  std::vector<bool> held(model.layers, false);
  for (const bbv::PlannerTarget& it : targets) {
    if (!it.layers || (!zone.empty() && it.zone != zone) || it.id == lost)
      continue;
    for (int layer = it.layers->from; layer < it.layers->to; ++layer)
      held[layer] = true;
  }
  return std::all_of(held.begin(), held.end(), [](bool it) { return it; });
}

// The record of a listed target; the caller adds the accelerator and the layers
// of an engine.
inline bbv::TargetRecord MakeRecord(const std::string& id,
                                    const std::string& service,
                                    const std::string& zone) {
  static int port = 7000;
  bbv::TargetRecord record;
  record.id = id;
  record.service = service;
  record.address = "127.0.0.1:";
  record.address += std::to_string(++port);
  record.zone = zone;
  record.slots = 6;
  record.started_unix_ms = 1;
  record.heartbeat = 1;
  return record;
}

// The targets of three zones. In each zone a single chain holds every layer
// once; a target's share of the layers is proportional to its memory.
inline std::vector<bbv::PlannerTarget> MakeSingleChains() {
  std::vector<bbv::PlannerTarget> targets = MakeThreeZones();
  const bbv::EngineModel model = MakeModel();
  for (const char* zone : {"a", "b", "c"}) {
    double memory = 0;
    for (const bbv::PlannerTarget& it : targets)
      memory += it.zone == zone ? model.FindKind(it.accelerator)->memory_mb : 0;
    double start_mb = 0;
    for (bbv::PlannerTarget& it : targets) {
      if (it.zone != zone)
        continue;
      const double end_mb =
          start_mb + model.FindKind(it.accelerator)->memory_mb;
      it.layers =
          bbv::LayerRange{static_cast<int>(model.layers * start_mb / memory),
                          static_cast<int>(model.layers * end_mb / memory)};
      start_mb = end_mb;
    }
  }
  return targets;
}

// Adds the targets of MakeSingleChains to `board` as service "engine".
inline void ListThreeZones(bbv::TargetRegistry* registry, bbv::Instant now) {
  for (const bbv::PlannerTarget& target : MakeSingleChains()) {
    bbv::TargetRecord record = MakeRecord(target.id, "engine", target.zone);
    record.accelerator = target.accelerator;
    record.layers = target.layers;
    record.slots = 192;
    registry->Apply(record, now);
  }
}

}  // namespace bbv_test

#endif  // TESTS_FLEET_FIXTURES_H_
