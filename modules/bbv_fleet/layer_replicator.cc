#include "bbv_fleet/layer_replicator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <string>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_fleet/chain_partition.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_fleet/layer_division.h"

namespace bbv {
namespace {

// Bounds of the memory that a zone reserves for typical requests, as a share of
// what one copy of the model leaves.
constexpr double kMinRequestShare = 0.35;
constexpr double kMaxRequestShare = 0.5;
// Requests keep their current memory use multiplied by this factor.
constexpr double kRequestMemoryHeadroom = 1.3;
// Share of the memory for requests that calls can use before targets that hold
// more than their proportion of layers are full.
constexpr double kUsableMemoryShare = 0.75;

// Returns the share of the targets' memory that layers may occupy.
double LayerMemoryShare(const EngineModel& model,
                        const std::vector<PlannerTarget>& targets) {
  double memory = 0;
  for (const PlannerTarget& it : targets)
    memory += model.MemoryMb(it.accelerator);
  const double spare = memory - model.layers * model.layer_mb;
  if (spare <= 0)
    return 1;
  const double wanted = LayerPlanner::kRequestsPerZone *
                        LayerPlanner::RequestMb(model) * model.layers;
  const double kept =
      std::clamp(wanted / spare, kMinRequestShare, kMaxRequestShare);
  return 1 - kept * spare / memory;
}

// Returns the number of layers at which a target keeps its part of the memory
// for requests.
int PreferredLayerCount(const EngineModel& model,
                        const PlannerTarget& target,
                        double layer_memory_share) {
  const double layer_memory =
      model.MemoryMb(target.accelerator) * layer_memory_share;
  const int max_layers =
      std::max(1, LayerPlanner::MaxLayers(model, target.accelerator));
  return std::clamp(static_cast<int>(layer_memory / model.layer_mb), 1,
                    max_layers);
}

// Partitions all layers over the targets of a zone that hold no layers yet.
//
// The largest targets are the sole holders of the upper layers. The others form
// two chains, each of which holds all lower layers. The fewer sole holders
// there are, the fewer losses leave a gap. The boundary between upper and lower
// layers is chosen by the call rate of the zone, because the part with the
// least memory limits the number of calls.
//
// If memory admits more calls than the first targets of the chains have slots
// for, the smallest targets are kept out of the chains and hold the first
// layers in addition, so that calls can start there.
class ReplicatedPartition {
 public:
  ReplicatedPartition(const EngineModel& model,
                      const std::vector<PlannerTarget>& members)
      : model_(model), ranges_(members.size()) {
    const double layer_memory_share = LayerMemoryShare(model, members);
    extra_first_hops_ = CountExtraFirstHops(members);
    for (const PlannerTarget& it : members) {
      const AcceleratorKind* kind = model.FindKind(it.accelerator);
      capacities_.push_back(PreferredLayerCount(model, it, layer_memory_share));
      memory_mb_.push_back(model.MemoryMb(it.accelerator));
      step_factors_.push_back(kind == nullptr ? 1 : kind->step_factor);
    }
    order_.resize(members.size());
    std::iota(order_.begin(), order_.end(), 0);
    // Ties are broken by a hash, so that every process computes the same order.
    std::sort(order_.begin(), order_.end(), [&](auto left, auto right) {
      if (capacities_[left] != capacities_[right])
        return capacities_[left] > capacities_[right];
      return HashBytes(members[left].id) < HashBytes(members[right].id);
    });
  }

  // Returns false if the layers do not fit.
  bool Compute() {
    const auto sole_holders = CountSoleHolders(0);
    if (!sole_holders)
      return false;
    std::size_t extra_first_hops = extra_first_hops_;
    // Additional first hops must not increase the number of sole holders.
    while (extra_first_hops > 0 &&
           CountSoleHolders(extra_first_hops) != sole_holders)
      --extra_first_hops;
    AssignRanges(*sole_holders, extra_first_hops);
    return true;
  }

  std::vector<LayerRange> TakeRanges() { return std::move(ranges_); }

 private:
  using Chain = std::vector<std::size_t>;
  static constexpr std::size_t kChains = 2;

  // Returns the number of first hops needed in addition to those of the chains.
  std::size_t CountExtraFirstHops(
      const std::vector<PlannerTarget>& members) const {
    const double request_mb = LayerPlanner::RequestMb(model_) * model_.layers;
    if (model_.first_hop_slots <= 0 || request_mb <= 0)
      return 0;
    double memory = 0;
    for (const PlannerTarget& it : members)
      memory += model_.MemoryMb(it.accelerator);
    const double request_memory =
        memory - kChains * model_.layers * model_.layer_mb;
    const double calls = kUsableMemoryShare * request_memory / request_mb;
    const double first_targets = std::ceil(calls / model_.first_hop_slots);
    return first_targets <= kChains
               ? 0
               : static_cast<std::size_t>(first_targets) - kChains;
  }

  // Returns the number of largest targets that must be sole holders if the
  // smallest `extra_first_hops` targets are kept out of the chains; nullopt if
  // the layers do not fit.
  std::optional<std::size_t> CountSoleHolders(
      std::size_t extra_first_hops) const {
    int sole_layers = 0;
    for (std::size_t n = 0; n + extra_first_hops < order_.size(); ++n) {
      const int replicated = model_.layers - sole_layers;
      if (replicated <= 0)
        return std::nullopt;
      if (MakeChains(n, extra_first_hops).min_capacity >= replicated)
        return n;
      sole_layers += capacities_[order_[n]];
    }
    return std::nullopt;
  }

  void AssignRanges(std::size_t n, std::size_t extra_first_hops) {
    const Chain largest(order_.begin(),
                        order_.begin() + static_cast<std::ptrdiff_t>(n));
    const Chains chains = MakeChains(n, extra_first_hops);
    const int replicated = ChooseReplicatedLayers(largest, chains);
    for (const Chain& it : chains.members)
      FillRange(it, {0, replicated});
    FillRange(largest, {replicated, model_.layers});
    for (std::size_t it = order_.size() - extra_first_hops; it < order_.size();
         ++it) {
      const std::size_t target = order_[it];
      ranges_[target] = {0, std::min(capacities_[target], replicated)};
    }
  }

  // Two chains of similar capacity.
  struct Chains {
    Chain members[kChains];
    int min_capacity = 0;
  };

  // Forms chains of all targets except the first `n` and the last
  // `extra_first_hops`.
  Chains MakeChains(std::size_t n, std::size_t extra_first_hops) const {
    Chains chains;
    int capacities[kChains] = {0, 0};
    for (std::size_t it = n; it + extra_first_hops < order_.size(); ++it) {
      const int chain = capacities[1] < capacities[0] ? 1 : 0;
      chains.members[chain].push_back(order_[it]);
      capacities[chain] += capacities_[order_[it]];
    }
    chains.min_capacity = std::min(capacities[0], capacities[1]);
    return chains;
  }

  // Returns the number of layers that each chain should hold, while `largest`
  // holds the others, that maximizes the call rate of the zone.
  int ChooseReplicatedLayers(const Chain& largest, const Chains& chains) const {
    if (largest.empty())
      return model_.layers;
    int min_replicated = model_.layers;
    for (const std::size_t it : largest)
      min_replicated -= capacities_[it];
    int best = min_replicated;
    double best_rate = 0;
    for (int it = min_replicated;
         it <= chains.min_capacity && it < model_.layers; ++it) {
      const double rate = CallRate(largest, chains, it);
      if (rate <= best_rate)
        continue;
      best_rate = rate;
      best = it;
    }
    return best;
  }

  // Returns the rate at which the zone completes typical calls, up to a
  // constant factor, if the chains hold `replicated` layers each: the number of
  // calls that fit in memory divided by the time per token.
  double CallRate(const Chain& largest,
                  const Chains& chains,
                  int replicated) const {
    const int sole_layers = model_.layers - replicated;
    double chain_calls = 0;
    double chain_step_time = 0;
    for (const Chain& it : chains.members) {
      chain_calls += CallCapacity(it, replicated);
      chain_step_time += StepTime(it, replicated) / kChains;
    }
    const double calls =
        std::min(CallCapacity(largest, sole_layers), chain_calls);
    const double step = StepTime(largest, sole_layers) + chain_step_time;
    return step > 0 ? calls / step : calls;
  }

  // Returns the part of `layers` that falls to target `index` of `chain`.
  double LayersOf(const Chain& chain, std::size_t index, int layers) const {
    int sum = 0;
    for (const std::size_t it : chain)
      sum += capacities_[it];
    return sum <= 0 ? 0
                    : static_cast<double>(layers) * capacities_[index] / sum;
  }

  // Returns the number of typical calls for which every target of `chain` has
  // memory.
  double CallCapacity(const Chain& chain, int layers) const {
    double min_calls = std::numeric_limits<double>::infinity();
    for (const std::size_t it : chain) {
      const double part = LayersOf(chain, it, layers);
      const double call_mb = part * LayerPlanner::RequestMb(model_);
      if (call_mb <= 0)
        continue;
      min_calls = std::min(min_calls,
                           (memory_mb_[it] - part * model_.layer_mb) / call_mb);
    }
    return std::max(0.0, min_calls);
  }

  // Returns the time of one token on `chain`, relative to the step time of the
  // model.
  double StepTime(const Chain& chain, int layers) const {
    double time = 0;
    for (const std::size_t it : chain)
      time += LayersOf(chain, it, layers) * step_factors_[it] / model_.layers;
    return time;
  }

  // Partitions `range` over `chain` in proportion to the targets' capacities.
  void FillRange(const Chain& chain, const LayerRange& range) {
    std::vector<int> capacities;
    for (const std::size_t it : chain)
      capacities.push_back(capacities_[it]);
    const std::vector<LayerRange> parts = DivideLayers(range, capacities);
    for (std::size_t n = 0; n < chain.size(); ++n)
      ranges_[chain[n]] = parts[n];
  }

  const EngineModel& model_;
  // For each target: the number of layers at which it keeps its part of the
  // memory for requests, its memory, and its decode step time factor.
  std::vector<int> capacities_;
  std::vector<double> memory_mb_;
  std::vector<double> step_factors_;
  std::size_t extra_first_hops_ = 0;
  // Target indices in order of decreasing capacity.
  Chain order_;
  std::vector<LayerRange> ranges_;
};

// Plans the replication of layers among the targets of one zone.
class ZoneReplicator {
 public:
  ZoneReplicator(const EngineModel& model, std::vector<PlannerTarget> targets)
      : model_(model), targets_(std::move(targets)) {
    layer_memory_share_ = LayerMemoryShare(model_, targets_);
    for (const PlannerTarget& it : targets_)
      desired_.push_back(*it.layers);
  }

  bool HoldsCompleteCopy() const { return !Coverage().FirstGap(); }

  std::vector<Placement> Plan(int max_changes) {
    chain_layers_ = ChainPartition::LayersByKind(model_, targets_);
    for (const std::size_t it : OrderByPriority()) {
      if (ChangedCount() >= max_changes)
        break;
      if (DropReplicatedLayers(it))
        continue;
      // Two neighbours may share layers that are too many for one.
      Replicate(it, max_changes - ChangedCount());
    }
    std::vector<Placement> changes;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (IsChanged(it))
        changes.push_back({targets_[it].id, desired_[it]});
    }
    return changes;
  }

 private:
  int PreferredLayers(std::size_t index) const {
    const auto in_chain = chain_layers_.find(targets_[index].accelerator);
    return std::max(
        PreferredLayerCount(model_, targets_[index], layer_memory_share_),
        in_chain == chain_layers_.end() ? 0 : in_chain->second);
  }

  // Returns the number of additional layers that the target can hold now.
  int Headroom(std::size_t index) const {
    if (targets_[index].is_fixed)
      return 0;
    const PlannerTarget& target = targets_[index];
    const double used =
        model_.RequestMb(kRequestMemoryHeadroom * target.used_token_layers);
    const int layers_that_fit = static_cast<int>(
        (model_.MemoryMb(target.accelerator) - used) / model_.layer_mb);
    return std::min(PreferredLayers(index), layers_that_fit) -
           desired_[index].size();
  }

  bool IsOvercommitted(std::size_t index) const {
    return desired_[index].size() > PreferredLayers(index);
  }

  bool IsChanged(std::size_t index) const {
    return desired_[index] != *targets_[index].layers;
  }

  int ChangedCount() const {
    int n = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it)
      n += IsChanged(it) ? 1 : 0;
    return n;
  }

  LayerCoverage Coverage() const {
    LayerCoverage coverage(model_.layers);
    for (const LayerRange& it : desired_)
      coverage.Add(it);
    return coverage;
  }

  // Returns the range from the first to the last layer of which `index` is the
  // sole holder; empty if there are none.
  LayerRange SoleRange(std::size_t index, const LayerCoverage& coverage) const {
    const LayerRange& range = desired_[index];
    LayerRange sole_range{range.to, range.from};
    for (int it = range.from; it < std::min(range.to, model_.layers); ++it) {
      if (coverage.holders(it) > 1)
        continue;
      sole_range.from = std::min(sole_range.from, it);
      sole_range.to = it + 1;
    }
    return sole_range.from < sole_range.to ? sole_range
                                           : LayerRange{range.from, range.from};
  }

  // Returns overcommitted targets first, then the others; within both groups by
  // increasing number of layers that need a replica.
  std::vector<std::size_t> OrderByPriority() const {
    const LayerCoverage coverage = Coverage();
    // Calculated once, because sorting compares each target many times.
    std::vector<std::pair<bool, int>> sort_keys;
    sort_keys.reserve(targets_.size());
    for (std::size_t it = 0; it < targets_.size(); ++it)
      sort_keys.emplace_back(!IsOvercommitted(it),
                             SoleRange(it, coverage).size());
    std::vector<std::size_t> order(targets_.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&sort_keys](auto left, auto right) {
                       return sort_keys[left] < sort_keys[right];
                     });
    return order;
  }

  // Drops layers of an overcommitted target that targets with free memory also
  // hold. Returns whether the target has changed.
  bool DropReplicatedLayers(std::size_t index) {
    if (!IsOvercommitted(index) || IsChanged(index) || targets_[index].is_fixed)
      return false;
    LayerCoverage elsewhere(model_.layers);
    for (std::size_t other = 0; other < targets_.size(); ++other) {
      // A target does not yet hold layers that this plan assigns to it.
      if (other == index || IsOvercommitted(other) || IsChanged(other))
        continue;
      elsewhere.Add(*targets_[other].layers);
    }
    LayerRange& range = desired_[index];
    const int min_layers = PreferredLayers(index);
    while (range.size() > min_layers && elsewhere.holders(range.from) > 0)
      ++range.from;
    while (range.size() > min_layers && elsewhere.holders(range.to - 1) > 0)
      --range.to;
    return IsChanged(index);
  }

  // Replicates the layers of which `index` is the sole holder on its
  // neighbours: all of them, or for an overcommitted target as many as fit.
  void Replicate(std::size_t index, int changes_left) {
    const LayerRange sole_range = SoleRange(index, Coverage());
    if (sole_range.size() == 0)
      return;
    const int lower = Neighbour(index, sole_range, /*is_lower=*/true);
    const int upper = Neighbour(index, sole_range, /*is_lower=*/false);
    const int from_lower =
        lower < 0 ? 0 : ReplicableLayers(lower, sole_range, true);
    const int from_upper =
        upper < 0 ? 0 : ReplicableLayers(upper, sole_range, false);
    const bool is_overcommitted = IsOvercommitted(index);
    if (from_lower >= sole_range.size() && from_lower >= from_upper) {
      desired_[lower].to = sole_range.to;
      return;
    }
    if (from_upper >= sole_range.size()) {
      desired_[upper].from = sole_range.from;
      return;
    }
    if ((from_lower + from_upper < sole_range.size() && !is_overcommitted) ||
        (changes_left < 2 && !is_overcommitted))
      return;
    if (from_lower > 0)
      desired_[lower].to =
          std::max(desired_[lower].to, sole_range.from + from_lower);
    if (from_upper > 0 && changes_left >= 2) {
      const int start =
          std::max(sole_range.from + from_lower, sole_range.to - from_upper);
      desired_[upper].from = std::min(desired_[upper].from, start);
    }
  }

  // Returns the number of layers of `sole_range` that `neighbour` can add to
  // its own contiguous range.
  int ReplicableLayers(int neighbour,
                       const LayerRange& sole_range,
                       bool is_lower) const {
    const LayerRange& range = desired_[neighbour];
    const int distance =
        is_lower ? sole_range.from - range.to : range.from - sole_range.to;
    return std::clamp(Headroom(neighbour) - distance, 0, sole_range.size());
  }

  // Returns the target below or above `sole_range` that can replicate most of
  // it, or -1.
  int Neighbour(std::size_t index,
                const LayerRange& sole_range,
                bool is_lower) const {
    int best = -1;
    int max_replicable = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (it == index || IsOvercommitted(it))
        continue;
      const LayerRange& range = desired_[it];
      const bool is_neighbour =
          is_lower ? range.from < sole_range.from && range.to <= sole_range.from
                   : range.to > sole_range.to && range.from >= sole_range.to;
      if (!is_neighbour)
        continue;
      const int replicable =
          ReplicableLayers(static_cast<int>(it), sole_range, is_lower);
      if (replicable <= max_replicable)
        continue;
      best = static_cast<int>(it);
      max_replicable = replicable;
    }
    return best;
  }

  const EngineModel& model_;
  std::vector<PlannerTarget> targets_;
  std::vector<LayerRange> desired_;
  // Share of the zone's memory that layers may occupy.
  double layer_memory_share_ = 1;
  // Layers that a target of each kind holds if the zone forms parallel chains.
  std::map<std::string, int> chain_layers_;
};

}  // namespace

std::optional<std::vector<LayerRange>> LayerReplicator::PartitionEmptyZone(
    const EngineModel& model,
    const std::vector<PlannerTarget>& members) {
  if (model.layers <= 0 || model.layer_mb <= 0)
    return std::nullopt;
  if (auto chains = ChainPartition(model, members).Compute())
    return chains;
  ReplicatedPartition partition(model, members);
  if (!partition.Compute())
    return std::nullopt;
  return partition.TakeRanges();
}

std::vector<Placement> LayerReplicator::Plan(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    int max_changes) {
  std::vector<Placement> changes;
  if (model.layers <= 0 || model.layer_mb <= 0)
    return changes;
  std::map<std::string, std::vector<PlannerTarget>> zones;
  for (const PlannerTarget& it : targets) {
    if (it.layers && it.layers->to <= model.layers)
      zones[it.zone].push_back(it);
  }
  for (auto& [zone, members] : zones) {
    ZoneReplicator replicator(model, std::move(members));
    if (!replicator.HoldsCompleteCopy())
      continue;
    const int left = max_changes - static_cast<int>(changes.size());
    for (Placement& it : replicator.Plan(left))
      changes.push_back(std::move(it));
  }
  return changes;
}

}  // namespace bbv
