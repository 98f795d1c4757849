#include "bbv_config/configuration_fold.h"

#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_core/json_text.h"

namespace bbv {

using nlohmann::json;

namespace {

// Number of plans that are retained for later confirmations and for queries of
// their outcome.
constexpr std::size_t kMaximumRetainedPlans = 256;

// Parses a record or a snapshot. Throws json::exception if it is not JSON or
// too deep: parts of it are copied, which recurses.
json ParseShallow(const std::string& text) {
  if (IsJsonTooDeep(text))
    throw json::other_error::create(501, "nested too deep", nullptr);
  return json::parse(text);
}

json ChangeToJson(const EntityChange& change) {
  return {{"kind", kEntityKindNames.Name(change.key.kind)},
          {"name", change.key.name},
          {"value", change.value}};
}

EntityKey KeyFromJson(const json& in) {
  const auto kind = kEntityKindNames.Find(in.at("kind").get<std::string>());
  if (!kind)
    throw json::other_error::create(501, "unknown entity kind", &in);
  return {*kind, in.at("name").get<std::string>()};
}

json PlanToJson(const Plan& plan) {
  json changes = json::array();
  for (const EntityChange& change : plan.changes)
    changes.push_back(ChangeToJson(change));
  json reads = json::array();
  for (const auto& [key, version] : plan.versions_read) {
    reads.push_back({{"kind", kEntityKindNames.Name(key.kind)},
                     {"name", key.name},
                     {"version", version}});
  }
  return {{"type", "plan"},
          {"plan", plan.id},
          {"summary", plan.summary},
          {"changes", changes},
          {"reads", reads}};
}

Plan PlanFromJson(const json& in) {
  Plan plan;
  in.at("plan").get_to(plan.id);
  in.at("summary").get_to(plan.summary);
  for (const json& change : in.at("changes"))
    plan.changes.push_back({KeyFromJson(change), change.at("value")});
  for (const json& read : in.at("reads"))
    plan.versions_read[KeyFromJson(read)] = read.at("version").get<uint64_t>();
  return plan;
}

}  // namespace

std::string MakePlanRecord(const Plan& plan) {
  return PlanToJson(plan).dump();
}

std::string MakeConfirmRecord(const std::string& id) {
  return json{{"type", "confirm"}, {"plan", id}}.dump();
}

std::string MakeCheckpointRecord(const std::string& snapshot) {
  return json{{"type", "checkpoint"}, {"snapshot", snapshot}}.dump();
}

std::string CheckpointSnapshot(const std::string& record) {
  if (IsJsonTooDeep(record))
    return "";
  const json parsed = json::parse(record, nullptr, false);
  if (!parsed.is_object() || parsed.value("type", "") != "checkpoint")
    return "";
  return parsed.value("snapshot", "");
}

Result<void> ConfigurationFold::Apply(uint64_t offset,
                                      const std::string& record) {
  assert(offset == next_offset_);
  next_offset_ = offset + 1;
  try {
    return ApplyRecord(offset, ParseShallow(record));
  } catch (const json::exception& error) {
    return Fail(Operation::kConfiguration, "offset " + std::to_string(offset),
                error.what());
  }
}

Result<void> ConfigurationFold::ApplyRecord(uint64_t offset,
                                            const json& record) {
  const auto type = record.at("type").get<std::string>();
  if (type == "plan")
    return ApplyPlan(offset, record);
  if (type == "confirm")
    return ApplyConfirm(offset, record);
  if (type == "checkpoint")
    return {};
  return Fail(Operation::kConfiguration, "offset " + std::to_string(offset),
              "unknown record type " + type);
}

Result<void> ConfigurationFold::ApplyPlan(uint64_t offset, const json& record) {
  Plan plan = PlanFromJson(record);
  // Keep the first plan with an id: a retried append can duplicate a record.
  const std::string id = plan.id;
  plans_.try_emplace(id, PlanEntry{std::move(plan), {}, offset});
  EvictOldPlans();
  return {};
}

Result<void> ConfigurationFold::ApplyConfirm(uint64_t offset,
                                             const json& record) {
  const auto id = record.at("plan").get<std::string>();
  const auto it = plans_.find(id);
  if (it == plans_.end())
    return Fail(Operation::kConfiguration, id, "plan does not exist");
  PlanEntry& entry = it->second;
  if (entry.outcome.state != PlanState::kPending)
    return {};
  const std::string conflict = FindConflict(entry.plan);
  if (!conflict.empty()) {
    entry.outcome = {PlanState::kRejected, conflict};
    return {};
  }
  Configuration changed = configuration_;
  for (const EntityChange& change : entry.plan.changes) {
    if (const auto applied = changed.Apply(change); !applied) {
      entry.outcome = {PlanState::kRejected, applied.error().message};
      return {};
    }
  }
  const auto faults = changed.Inconsistencies();
  if (!faults.empty()) {
    entry.outcome = {PlanState::kRejected, faults.front()};
    return {};
  }
  entry.outcome = {PlanState::kConfirmed, id};
  CommitPlan(offset, std::move(changed), entry.plan);
  return {};
}

std::string ConfigurationFold::FindConflict(const Plan& plan) const {
  for (const auto& [key, version] : plan.versions_read) {
    if (EntityVersion(key) == version)
      continue;
    const auto it = versions_.find(key);
    const std::string winner = it == versions_.end() ? "?" : it->second.plan;
    return "plan " + winner + " changed " + key.ToString() + " first";
  }
  return "";
}

void ConfigurationFold::CommitPlan(uint64_t offset,
                                   Configuration changed,
                                   const Plan& plan) {
  configuration_ = std::move(changed);
  version_ = offset + 1;
  for (const EntityChange& change : plan.changes)
    versions_[change.key] = {version_, plan.id};
  UpdateDigest();
}

void ConfigurationFold::EvictOldPlans() {
  while (plans_.size() > kMaximumRetainedPlans) {
    auto oldest = plans_.begin();
    for (auto it = plans_.begin(); it != plans_.end(); ++it) {
      if (it->second.offset < oldest->second.offset)
        oldest = it;
    }
    plans_.erase(oldest);
  }
}

std::string ConfigurationFold::Snapshot() const {
  json changes = json::array();
  for (const EntityChange& change : configuration_.ToChanges())
    changes.push_back(ChangeToJson(change));
  json versions = json::array();
  for (const auto& [key, entry] : versions_) {
    versions.push_back({{"kind", kEntityKindNames.Name(key.kind)},
                        {"name", key.name},
                        {"version", entry.version},
                        {"plan", entry.plan}});
  }
  json plans = json::array();
  for (const auto& [id, entry] : plans_) {
    plans.push_back({{"plan", PlanToJson(entry.plan)},
                     {"state", kPlanStateNames.Name(entry.outcome.state)},
                     {"decided_by", entry.outcome.decided_by},
                     {"offset", entry.offset}});
  }
  return json{{"changes", changes},
              {"versions", versions},
              {"plans", plans},
              {"next_offset", next_offset_},
              {"version", version_}}
      .dump();
}

Result<void> ConfigurationFold::Restore(const std::string& snapshot) {
  try {
    const json in = ParseShallow(snapshot);
    ConfigurationFold restored;
    for (const json& change : in.at("changes")) {
      auto applied = restored.configuration_.Apply(
          {KeyFromJson(change), change.at("value")});
      if (!applied)
        return applied;
    }
    for (const json& row : in.at("versions")) {
      restored.versions_[KeyFromJson(row)] = {
          row.at("version").get<uint64_t>(), row.at("plan").get<std::string>()};
    }
    for (const json& row : in.at("plans")) {
      PlanEntry entry;
      entry.plan = PlanFromJson(row.at("plan"));
      entry.outcome.state =
          kPlanStateNames.Find(row.at("state").get<std::string>())
              .value_or(PlanState::kPending);
      row.at("decided_by").get_to(entry.outcome.decided_by);
      row.at("offset").get_to(entry.offset);
      restored.plans_[entry.plan.id] = entry;
    }
    in.at("next_offset").get_to(restored.next_offset_);
    in.at("version").get_to(restored.version_);
    restored.UpdateDigest();
    *this = std::move(restored);
    return {};
  } catch (const json::exception& error) {
    return Fail(Operation::kConfiguration, "snapshot", error.what());
  }
}

uint64_t ConfigurationFold::EntityVersion(const EntityKey& key) const {
  const auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second.version;
}

const Plan* ConfigurationFold::FindPlan(const std::string& id) const {
  const auto it = plans_.find(id);
  return it == plans_.end() ? nullptr : &it->second.plan;
}

const PlanOutcome* ConfigurationFold::FindOutcome(const std::string& id) const {
  const auto it = plans_.find(id);
  return it == plans_.end() ? nullptr : &it->second.outcome;
}

void ConfigurationFold::UpdateDigest() {
  uint64_t digest = version_;
  for (const EntityChange& change : configuration_.ToChanges())
    digest = HashBytes(ChangeToJson(change).dump(), digest);
  digest_ = digest;
}

}  // namespace bbv
