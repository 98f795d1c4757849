#include "bbv_routing/target_chooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Expected time grows by this factor towards targets in other zones.
constexpr double kOtherZoneFactor = 1.15;
// And by this one towards a target that has just returned from ejection.
constexpr double kReturningFactor = 3.0;
// Speeds this near count as the same; see SpeedDistance().
constexpr double kSameSpeedDistance = 0.2;

bool Holds(const TargetEntry& entry, const std::string& version) {
  return std::find(entry.loaded_versions.begin(), entry.loaded_versions.end(),
                   version) != entry.loaded_versions.end();
}

// How far apart two speeds are: 1 for a factor of two.
double SpeedDistance(uint32_t left, uint32_t right) {
  return std::abs(std::log2(static_cast<double>(left) / right));
}

// Returns the candidates whose speed is about `speed`, else the nearest ones.
// A sequence waits for the slowest stage of its chain at each token, and keeps
// its place at the fast ones meanwhile.
std::vector<const TargetEntry*> NearestInSpeed(
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

TargetChooser::Candidates TargetChooser::WithoutExcluded(
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
                                 RoomPolicy room,
                                 Instant now) {
  now_ = now;
  const Candidates usable =
      WithoutExcluded(table_->UsableForModel(model.name, now), excluded);
  if (room == RoomPolicy::kAnyUsable || policy_ == ChoicePolicy::kRoundRobin)
    return ChooseAmong(model, usable);
  Candidates with_room = usable;
  std::erase_if(with_room, [](const TargetEntry* entry) {
    return !TargetTable::HasRoom(*entry);
  });
  Chain chain = ChooseAmong(model, with_room);
  if (chain.empty())
    chain.lacks_room = !ChooseAmong(model, usable).empty();
  return chain;
}

Chain TargetChooser::ChooseAmong(const Model& model, const Candidates& usable) {
  Chain chain = ChooseVersion(model, model.version, usable);
  if (!chain.empty())
    return chain;
  std::set<std::string> versions;
  for (const TargetEntry* entry : usable)
    versions.insert(entry->loaded_versions.begin(),
                    entry->loaded_versions.end());
  for (const std::string& version : versions) {
    chain = ChooseVersion(model, version, usable);
    if (!chain.empty())
      return chain;
  }
  return {};
}

Chain TargetChooser::ChooseVersion(const Model& model,
                                   const std::string& version,
                                   const Candidates& usable) {
  Candidates holding;
  std::vector<const Target*> targets;
  for (const TargetEntry* entry : usable) {
    if (!Holds(*entry, version))
      continue;
    holding.push_back(entry);
    targets.push_back(&entry->target);
  }
  const auto reachable = ReachableBoundaries(model, targets);
  Chain chain;
  chain.version = version;
  uint32_t boundary = 0;
  while (boundary < model.layers) {
    Candidates candidates;
    for (const TargetEntry* entry : holding) {
      if (entry->target.first_layer == boundary &&
          std::binary_search(reachable.begin(), reachable.end(),
                             entry->target.end_layer))
        candidates.push_back(entry);
    }
    if (candidates.empty())
      return {};
    if (!chain.stages.empty() && policy_ == ChoicePolicy::kExpectedFinish)
      candidates = NearestInSpeed(candidates, chain.stages.front().speed);
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
      WithoutExcluded(table_->UsableForService(service, now), excluded);
  return usable.empty() ? "" : ChooseOne(usable)->target.name;
}

std::string TargetChooser::ChooseForKey(const std::string& service,
                                        const RequestId& key,
                                        const std::set<std::string>& excluded,
                                        Instant now) {
  const Candidates usable =
      WithoutExcluded(table_->UsableForService(service, now), excluded);
  const TargetEntry* home = nullptr;
  uint64_t best = 0;
  for (const TargetEntry* entry : usable) {
    const uint64_t score =
        CombineHashes(key.low(), HashBytes(entry->target.name));
    if (home == nullptr || score > best) {
      home = entry;
      best = score;
    }
  }
  return home == nullptr ? "" : home->target.name;
}

const TargetEntry* TargetChooser::ChooseOne(const Candidates& candidates) {
  assert(!candidates.empty());
  if (policy_ == ChoicePolicy::kRoundRobin) {
    std::size_t& turn = next_in_turn_[candidates.front()->target.first_layer];
    return candidates[turn++ % candidates.size()];
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const TargetEntry* left = candidates[pick(generator_)];
  const TargetEntry* right = candidates[pick(generator_)];
  return ExpectedFinish(*left) <= ExpectedFinish(*right) ? left : right;
}

double TargetChooser::ExpectedFinish(const TargetEntry& entry) const {
  // The limit follows what the target carries, so that load against it is the
  // expected wait; the heartbeat lags by what was placed since.
  const double load = 1.0 + static_cast<double>(TargetTable::Load(entry));
  double expected = load / (1.0 + entry.limit);
  if (entry.target.zone != zone_)
    expected *= kOtherZoneFactor;
  if (now_ < entry.full_share_at)
    expected *= kReturningFactor;
  return expected;
}

}  // namespace bbv
