#include "bbv_routing/target_chooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Factor by which the load score of targets in other zones is increased.
constexpr double kCrossZoneFactor = 1.15;
// Factor by which the load score of a target is increased during slow start.
constexpr double kSlowStartFactor = 3.0;
// Speeds closer than this are considered equal; see SpeedDistance().
constexpr double kSameSpeedDistance = 0.2;

bool HasVersion(const TargetEntry& entry, const std::string& version) {
  return std::find(entry.loaded_versions.begin(), entry.loaded_versions.end(),
                   version) != entry.loaded_versions.end();
}

// Returns the distance between two speeds; 1 for a factor of two.
double SpeedDistance(uint32_t left, uint32_t right) {
  return std::abs(std::log2(static_cast<double>(left) / right));
}

// Returns the candidates whose distance to `speed` exceeds the smallest one by
// at most kSameSpeedDistance. A sequence waits for the slowest stage of its
// chain at each token, and occupies a slot at the faster stages meanwhile.
std::vector<const TargetEntry*> ClosestInSpeed(
    const std::vector<const TargetEntry*>& candidates,
    uint32_t speed) {
  assert(!candidates.empty());
  double nearest = SpeedDistance(candidates.front()->target.speed, speed);
  for (const TargetEntry* entry : candidates)
    nearest = std::min(nearest, SpeedDistance(entry->target.speed, speed));
  std::vector<const TargetEntry*> result;
  for (const TargetEntry* entry : candidates) {
    if (SpeedDistance(entry->target.speed, speed) <=
        nearest + kSameSpeedDistance)
      result.push_back(entry);
  }
  return result;
}

}  // namespace

TargetChooser::TargetChooser(const TargetTable* table,
                             std::string zone,
                             uint64_t seed,
                             ChoicePolicy policy)
    : table_(table), zone_(std::move(zone)), generator_(seed), policy_(policy) {
  assert(table != nullptr);
}

TargetChooser::Candidates TargetChooser::RemoveExcluded(
    Candidates candidates,
    const std::set<std::string>& excluded) const {
  if (policy_ == ChoicePolicy::kRoundRobin)
    return candidates;
  std::erase_if(candidates, [&](const TargetEntry* entry) {
    return excluded.contains(entry->target.name);
  });
  return candidates;
}

Chain TargetChooser::ChooseChain(const Model& model,
                                 const std::set<std::string>& excluded,
                                 CapacityPolicy capacity_policy,
                                 Instant now) {
  now_ = now;
  const Candidates usable =
      RemoveExcluded(table_->UsableForModel(model.name, now), excluded);
  if (capacity_policy == CapacityPolicy::kAnyUsable ||
      policy_ == ChoicePolicy::kRoundRobin)
    return ChooseAmong(model, usable);
  Candidates with_capacity = usable;
  std::erase_if(with_capacity, [](const TargetEntry* entry) {
    return !TargetTable::HasCapacity(*entry);
  });
  Chain chain = ChooseAmong(model, with_capacity);
  if (chain.empty())
    chain.lacks_capacity = !ChooseAmong(model, usable).empty();
  return chain;
}

Chain TargetChooser::ChooseAmong(const Model& model, const Candidates& usable) {
  Chain chain = ChooseChainOfVersion(model, model.version, usable);
  if (!chain.empty())
    return chain;
  std::set<std::string> versions;
  for (const TargetEntry* entry : usable)
    versions.insert(entry->loaded_versions.begin(),
                    entry->loaded_versions.end());
  for (const std::string& version : versions) {
    chain = ChooseChainOfVersion(model, version, usable);
    if (!chain.empty())
      return chain;
  }
  return {};
}

Chain TargetChooser::ChooseChainOfVersion(const Model& model,
                                          const std::string& version,
                                          const Candidates& usable) {
  Candidates with_version;
  std::vector<const Target*> targets;
  for (const TargetEntry* entry : usable) {
    if (!HasVersion(*entry, version))
      continue;
    with_version.push_back(entry);
    targets.push_back(&entry->target);
  }
  const auto reachable = ReachableBoundaries(model, targets);
  Chain chain;
  chain.version = version;
  uint32_t boundary = 0;
  while (boundary < model.layers) {
    Candidates candidates;
    for (const TargetEntry* entry : with_version) {
      if (entry->target.first_layer == boundary &&
          std::binary_search(reachable.begin(), reachable.end(),
                             entry->target.end_layer))
        candidates.push_back(entry);
    }
    if (candidates.empty())
      return {};
    if (!chain.stages.empty() && policy_ == ChoicePolicy::kPowerOfTwoChoices)
      candidates = ClosestInSpeed(candidates, chain.stages.front().speed);
    const TargetEntry* chosen = ChooseOne(candidates);
    chain.stages.push_back(chosen->target);
    boundary = chosen->target.end_layer;
  }
  return chain;
}

std::string TargetChooser::ChooseForService(
    const std::string& service,
    const std::set<std::string>& excluded,
    Instant now) {
  now_ = now;
  const Candidates usable =
      RemoveExcluded(table_->UsableForService(service, now), excluded);
  return usable.empty() ? "" : ChooseOne(usable)->target.name;
}

std::string TargetChooser::ChooseForKey(const std::string& service,
                                        const RequestId& key,
                                        const std::set<std::string>& excluded,
                                        Instant now) {
  const Candidates usable =
      RemoveExcluded(table_->UsableForService(service, now), excluded);
  const TargetEntry* owner = nullptr;
  uint64_t best = 0;
  for (const TargetEntry* entry : usable) {
    const uint64_t score =
        CombineHashes(key.low(), HashBytes(entry->target.name));
    if (owner == nullptr || score > best) {
      owner = entry;
      best = score;
    }
  }
  return owner == nullptr ? "" : owner->target.name;
}

const TargetEntry* TargetChooser::ChooseOne(const Candidates& candidates) {
  assert(!candidates.empty());
  if (policy_ == ChoicePolicy::kRoundRobin) {
    std::size_t& next_index =
        round_robin_next_[candidates.front()->target.first_layer];
    return candidates[next_index++ % candidates.size()];
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const TargetEntry* left = candidates[pick(generator_)];
  const TargetEntry* right = candidates[pick(generator_)];
  return LoadScore(*left) <= LoadScore(*right) ? left : right;
}

double TargetChooser::LoadScore(const TargetEntry& entry) const {
  // The limit adapts to the throughput of the target, so the load relative to
  // it approximates the expected wait. Load() includes the work placed since
  // the heartbeat.
  const double load = 1.0 + static_cast<double>(TargetTable::Load(entry));
  double expected = load / (1.0 + entry.limit);
  if (entry.target.zone != zone_)
    expected *= kCrossZoneFactor;
  if (now_ < entry.slow_start_until)
    expected *= kSlowStartFactor;
  return expected;
}

}  // namespace bbv
