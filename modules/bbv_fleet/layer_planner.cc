#include "bbv_fleet/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>
#include <set>

#include "bbv_core/hashing.h"
#include "bbv_fleet/chain_partition.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_fleet/layer_replicator.h"

namespace bbv {
namespace {

// Number of typical requests for which a target reserves memory in addition to
// its layers.
constexpr double kMinRequests = 20;
// Maximum number of layers of a gap that one redundant target loads, so that
// several targets close a large gap in parallel.
constexpr int kMaxLayersPerLoad = 8;
// Difference in active tokens below which two redundant targets count as
// equally loaded.
constexpr double kSimilarTokens = 2000;
constexpr double kDefaultRequestTokens = 1000;

int TotalCapacity(const EngineModel& model,
                  const std::vector<PlannerTarget>& targets) {
  int n = 0;
  for (const PlannerTarget& it : targets)
    n += LayerPlanner::MaxLayers(model, it.accelerator);
  return n;
}

// Plans the placement of one copy of the model on a group of targets.
class CopyPlanner {
 public:
  // The first `members` targets hold the copy. The others belong to zones too
  // small for a copy and only replicate parts of it.
  CopyPlanner(const EngineModel& model,
              std::vector<PlannerTarget> targets,
              std::size_t members)
      : model_(model), targets_(std::move(targets)), members_(members) {
    desired_.reserve(targets_.size());
    for (const PlannerTarget& it : targets_)
      desired_.push_back(it.layers);
  }

  void Compute(bool may_move) {
    const bool is_empty =
        std::none_of(desired_.begin(),
                     desired_.begin() + static_cast<std::ptrdiff_t>(members_),
                     [](const auto& it) { return it.has_value(); });
    if (is_empty && !PlaceWithReplicas())
      PartitionEvenly(HashOrder());
    else if (!is_empty)
      Repair(may_move);
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (!desired_[it])
        AssignEmptyTarget(it);
    }
  }

  void AppendChanges(std::vector<Placement>* changes) const {
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (desired_[it] && desired_[it] != targets_[it].layers)
        changes->push_back({targets_[it].id, *desired_[it]});
    }
  }

 private:
  // Places layers on targets that hold none, with replicas of most layers.
  // Returns false if there is not enough memory for replicas.
  bool PlaceWithReplicas() {
    const std::vector<PlannerTarget> members(
        targets_.begin(),
        targets_.begin() + static_cast<std::ptrdiff_t>(members_));
    const auto ranges = LayerReplicator::PartitionEmptyZone(model_, members);
    if (!ranges)
      return false;
    for (std::size_t it = 0; it < members_; ++it) {
      if ((*ranges)[it].size() > 0)
        desired_[it] = (*ranges)[it];
    }
    return true;
  }

  // Returns the targets in the order of a hash, which mixes accelerator kinds
  // and is the same in every process.
  std::vector<std::size_t> HashOrder() const {
    std::vector<std::size_t> order(members_);
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [this](auto left, auto right) {
      return HashBytes(targets_[left].id) < HashBytes(targets_[right].id);
    });
    return order;
  }

  // Returns the targets in the order of their current layers, so that a new
  // partition moves few layers.
  std::vector<std::size_t> OrderByLayers() const {
    std::vector<std::size_t> order = HashOrder();
    std::stable_sort(order.begin(), order.end(), [this](auto left, auto right) {
      return Middle(left) < Middle(right);
    });
    return order;
  }

  int Middle(std::size_t index) const {
    const auto& range = desired_[index];
    return range ? range->from + range->to : 2 * model_.layers;
  }

  // Closes gaps, starting with the changes that move the fewest layers.
  void Repair(bool may_move) {
    for (std::size_t it = 0; it < members_; ++it) {
      if (!desired_[it] && FirstGap())
        AssignEmptyTarget(it);
    }
    ExtendNeighbours();
    while (FirstGap() && MoveRedundantTarget()) {
    }
    ExtendNeighbours();
    if (!may_move || !FirstGap())
      return;
    RepartitionAroundGap();
    if (FirstGap())
      PartitionEvenly(OrderByLayers());
  }

  // Assigns the start of the first gap to a redundant target, whose layers are
  // all held by other targets as well. Returns whether there was one.
  bool MoveRedundantTarget() {
    const LayerCoverage coverage = Coverage();
    const auto gap = coverage.FirstGap();
    int best = -1;
    for (std::size_t it = 0; it < members_; ++it) {
      const auto& range = desired_[it];
      // A target that was just assigned a gap is the sole holder of its layers
      // and therefore not redundant.
      if (!range || targets_[it].is_fixed || Capacity(it) == 0 ||
          !coverage.IsHeldBy(2, *range))
        continue;
      if (best < 0 || IsBetterChoice(it, best, gap->size()))
        best = static_cast<int>(it);
    }
    if (best < 0)
      return false;
    const int part = std::min(Capacity(best), kMaxLayersPerLoad);
    desired_[best] = LayerRange{gap->from, std::min(gap->to, gap->from + part)};
    return true;
  }

  // Returns whether target `index` is a better choice than `other` for loading
  // `layers` layers. A target finishes its calls on the layers that it drops
  // before it loads new ones, so the least loaded target is preferred. Among
  // equals, this is the smallest target that can hold `layers`, or the largest
  // if none can.
  bool IsBetterChoice(std::size_t index, std::size_t other, int layers) const {
    const double tokens = ActiveTokens(index);
    const double other_tokens = ActiveTokens(other);
    if (std::abs(tokens - other_tokens) > kSimilarTokens)
      return tokens < other_tokens;
    const int wanted = std::min(layers, kMaxLayersPerLoad);
    const bool fits = Capacity(index) >= wanted;
    if (fits != (Capacity(other) >= wanted))
      return fits;
    return fits ? Capacity(index) < Capacity(other)
                : Capacity(index) > Capacity(other);
  }

  // Returns the number of tokens in the KV cache of the target.
  double ActiveTokens(std::size_t index) const {
    const int layers = desired_[index] ? desired_[index]->size() : 1;
    return targets_[index].used_token_layers / layers;
  }

  // Repartitions the layers around the first gap over as few targets as can
  // hold them. All other targets stay unchanged.
  void RepartitionAroundGap() {
    const auto gap = FirstGap();
    const std::vector<std::size_t> order = OrderByLayers();
    std::size_t after = 0;
    while (after < order.size() && FirstLayer(order[after]) < gap->from)
      ++after;
    std::size_t first = after;
    std::size_t last = after;
    while (first > 0 || last < order.size()) {
      if (first > 0)
        --first;
      if (last < order.size())
        ++last;
      LayerRange span = *gap;
      int capacity = 0;
      for (std::size_t it = first; it < last; ++it) {
        const auto& range = desired_[order[it]];
        if (range) {
          span.from = std::min(span.from, range->from);
          span.to = std::max(span.to, range->to);
        }
        capacity += Capacity(order[it]);
      }
      if (capacity < span.size())
        continue;
      PartitionSpan({order.begin() + static_cast<std::ptrdiff_t>(first),
                     order.begin() + static_cast<std::ptrdiff_t>(last)},
                    span);
      return;
    }
  }

  int FirstLayer(std::size_t index) const {
    return desired_[index] ? desired_[index]->from : model_.layers;
  }

  void PartitionSpan(const std::vector<std::size_t>& order,
                     const LayerRange& span) {
    const std::vector<int> counts = ApportionLayers(order, span.size());
    int at = span.from;
    for (std::size_t it = 0; it < order.size(); ++it) {
      if (counts[it] == 0)
        continue;
      desired_[order[it]] = LayerRange{at, at + counts[it]};
      at += counts[it];
    }
  }

  // Partitions all layers over the targets in `order`, one range each, in
  // proportion to their memory, so that all targets have memory for a similar
  // number of requests. Does nothing if the layers do not fit.
  void PartitionEvenly(const std::vector<std::size_t>& order) {
    const std::vector<int> counts = ApportionLayers(order, model_.layers);
    if (std::accumulate(counts.begin(), counts.end(), 0) < model_.layers)
      return;
    PartitionSpan(order, {0, model_.layers});
  }

  // Returns the number of layers, out of `layers`, that each target in `order`
  // should hold, by the largest remainder method.
  std::vector<int> ApportionLayers(const std::vector<std::size_t>& order,
                                   int layers) const {
    std::vector<int> counts(order.size(), 0);
    double memory = 0;
    for (const std::size_t it : order)
      memory += model_.MemoryMb(targets_[it].accelerator);
    if (memory <= 0)
      return counts;
    int placed = 0;
    std::vector<double> remainders(order.size(), 0);
    for (std::size_t it = 0; it < order.size(); ++it) {
      const double share =
          layers * model_.MemoryMb(targets_[order[it]].accelerator) / memory;
      counts[it] = std::min(static_cast<int>(share), Capacity(order[it]));
      remainders[it] = share - counts[it];
      placed += counts[it];
    }
    while (placed < layers) {
      int best = -1;
      for (std::size_t it = 0; it < order.size(); ++it) {
        if (counts[it] >= Capacity(order[it]))
          continue;
        if (best < 0 || remainders[it] > remainders[best])
          best = static_cast<int>(it);
      }
      if (best < 0)
        break;
      ++counts[best];
      remainders[best] -= 1;
      ++placed;
    }
    return counts;
  }

  int Capacity(std::size_t index) const {
    return LayerPlanner::MaxLayers(model_, targets_[index].accelerator);
  }

  LayerCoverage Coverage() const {
    LayerCoverage coverage(model_.layers);
    for (std::size_t it = 0; it < members_; ++it) {
      if (desired_[it])
        coverage.Add(*desired_[it]);
    }
    return coverage;
  }

  std::optional<LayerRange> FirstGap() const { return Coverage().FirstGap(); }

  void AssignEmptyTarget(std::size_t index) {
    const int capacity = Capacity(index);
    if (capacity == 0 || targets_[index].is_fixed)
      return;
    if (const auto gap = FirstGap()) {
      desired_[index] =
          LayerRange{gap->from, std::min(gap->to, gap->from + capacity)};
      return;
    }
    if (const int n = ChainLayers(index); n > 0) {
      desired_[index] = MostConstrainedSpan(n);
      return;
    }
    // Replicates the range with the least memory for requests, as far as it
    // fits.
    const std::size_t most_constrained = FindMostConstrainedRange();
    if (most_constrained == targets_.size())
      return;
    LayerRange range = *desired_[most_constrained];
    range.to = std::min(range.to, range.from + PreferredLayers(index));
    desired_[index] = range;
  }

  // Returns the number of layers that the target holds if the members form
  // parallel chains; 0 if they do not.
  int ChainLayers(std::size_t index) {
    if (index >= members_)
      return 0;
    if (!chain_layers_) {
      chain_layers_ = ChainPartition::LayersByKind(
          model_, {targets_.begin(),
                   targets_.begin() + static_cast<std::ptrdiff_t>(members_)});
    }
    const auto it = chain_layers_->find(targets_[index].accelerator);
    return it == chain_layers_->end() ? 0
                                      : std::min(it->second, Capacity(index));
  }

  // Returns the `n` consecutive layers with the most layers that the fewest
  // targets hold; among equals, those with the least memory for requests.
  LayerRange MostConstrainedSpan(int n) const {
    const LayerCoverage coverage = Coverage();
    const std::vector<double> free_memory = FreeMemoryByLayer();
    int min_holders = std::numeric_limits<int>::max();
    for (int it = 0; it < model_.layers; ++it)
      min_holders = std::min(min_holders, coverage.holders(it));
    LayerRange best{0, 0};
    int best_scarce = -1;
    double best_memory = 0;
    for (int from = 0; from + n <= model_.layers; ++from) {
      int scarce = 0;
      double memory = 0;
      for (int it = from; it < from + n; ++it) {
        scarce += coverage.holders(it) == min_holders ? 1 : 0;
        memory += free_memory[it];
      }
      if (scarce < best_scarce ||
          (scarce == best_scarce && memory >= best_memory))
        continue;
      best_scarce = scarce;
      best_memory = memory;
      best = {from, from + n};
    }
    return best;
  }

  // Returns the memory for requests per layer, summed over all targets that
  // hold the layer.
  std::vector<double> FreeMemoryByLayer() const {
    std::vector<double> free_memory(model_.layers, 0);
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (!desired_[it] || desired_[it]->to > model_.layers)
        continue;
      const double per_layer =
          model_.MemoryMb(targets_[it].accelerator) / desired_[it]->size() -
          model_.layer_mb;
      for (int layer = desired_[it]->from; layer < desired_[it]->to; ++layer)
        free_memory[layer] += per_layer;
    }
    return free_memory;
  }

  // Returns the number of layers that leaves about half of the target's memory
  // for requests.
  int PreferredLayers(std::size_t index) const {
    const double memory = model_.MemoryMb(targets_[index].accelerator);
    return std::clamp(static_cast<int>(memory / 2 / model_.layer_mb) + 1, 1,
                      Capacity(index));
  }

  // Returns the target whose range has the least memory for requests per layer,
  // summed over all targets that hold the first layer of that range.
  std::size_t FindMostConstrainedRange() const {
    std::size_t most_constrained = targets_.size();
    double min_free_memory = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (!desired_[it])
        continue;
      double free_memory = 0;
      for (std::size_t other = 0; other < targets_.size(); ++other) {
        const auto& range = desired_[other];
        if (!range || range->from > desired_[it]->from ||
            range->to <= desired_[it]->from)
          continue;
        const double memory = model_.MemoryMb(targets_[other].accelerator);
        free_memory += memory / range->size() - model_.layer_mb;
      }
      if (most_constrained == targets_.size() ||
          free_memory < min_free_memory) {
        most_constrained = it;
        min_free_memory = free_memory;
      }
    }
    return most_constrained;
  }

  // Extends the ranges next to each gap into it if their memory allows closing
  // all gaps. Otherwise changes nothing.
  void ExtendNeighbours() {
    const std::vector<std::optional<LayerRange>> before = desired_;
    while (const auto gap = FirstGap()) {
      if (!ExtendInto(*gap)) {
        desired_ = before;
        return;
      }
    }
  }

  bool ExtendInto(const LayerRange& gap) {
    // Adds one layer to the neighbour with the most memory per layer.
    int best = -1;
    double max_free_memory = 0;
    for (std::size_t it = 0; it < members_; ++it) {
      const auto& range = desired_[it];
      if (!range || (range->to != gap.from && range->from != gap.to))
        continue;
      if (targets_[it].is_fixed)
        continue;
      if (range->size() >= Capacity(it))
        continue;
      const double free_memory =
          model_.MemoryMb(targets_[it].accelerator) / (range->size() + 1);
      if (best < 0 || free_memory > max_free_memory) {
        best = static_cast<int>(it);
        max_free_memory = free_memory;
      }
    }
    if (best < 0)
      return false;
    if (desired_[best]->to == gap.from)
      ++desired_[best]->to;
    else
      --desired_[best]->from;
    return true;
  }

  const EngineModel& model_;
  std::vector<PlannerTarget> targets_;
  std::size_t members_;
  std::vector<std::optional<LayerRange>> desired_;
  // Layers by kind in parallel chains; computed when first needed.
  std::optional<std::map<std::string, int>> chain_layers_;
};

// Whether calls can begin at the target, but only at a limited rate.
bool IsLimitedStart(const PlannerTarget& target) {
  return target.has_rate_limit && target.layers && target.layers->from == 0;
}

// Returns the zones in which calls can begin only at targets with a rate limit.
std::set<std::string> ZonesWithLimitedStarts(
    const std::vector<PlannerTarget>& targets) {
  std::set<std::string> zones;
  for (const PlannerTarget& it : targets) {
    if (IsLimitedStart(it))
      zones.insert(it.zone);
  }
  for (const PlannerTarget& it : targets) {
    if (it.layers && it.layers->from == 0 && !it.has_rate_limit)
      zones.erase(it.zone);
  }
  return zones;
}

}  // namespace

double LayerPlanner::RequestMb(const EngineModel& model) {
  double tokens = model.typical_prompt_tokens + model.typical_output_tokens;
  if (tokens <= 0)
    tokens = kDefaultRequestTokens;
  return model.RequestMb(tokens);
}

int LayerPlanner::MaxLayers(const EngineModel& model,
                            const std::string& accelerator) {
  if (model.layers <= 0 || model.layer_mb <= 0)
    return 0;
  const double memory = model.MemoryMb(accelerator);
  const double per_layer = model.layer_mb + kMinRequests * RequestMb(model);
  return std::min(model.layers, static_cast<int>(memory / per_layer));
}

std::vector<Placement> LayerPlanner::Plan(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    bool may_move) {
  std::vector<Placement> changes;
  if (model.layers <= 0)
    return changes;
  std::map<std::string, std::vector<PlannerTarget>> zones;
  for (const PlannerTarget& it : targets) {
    if (MaxLayers(model, it.accelerator) > 0)
      zones[it.zone].push_back(it);
  }
  // Zones that cannot hold a copy share one. If they are too small even
  // together, they replicate parts of the first zone's copy.
  std::vector<std::vector<PlannerTarget>> groups;
  std::vector<PlannerTarget> remaining;
  for (auto& [zone, members] : zones) {
    if (TotalCapacity(model, members) >= model.layers)
      groups.push_back(std::move(members));
    else
      remaining.insert(remaining.end(), members.begin(), members.end());
  }
  if (TotalCapacity(model, remaining) >= model.layers || groups.empty()) {
    groups.push_back(remaining);
    remaining.clear();
  }
  for (std::vector<PlannerTarget>& members : groups) {
    const std::size_t n = members.size();
    if (&members == &groups.front())
      members.insert(members.end(), remaining.begin(), remaining.end());
    CopyPlanner plan(model, std::move(members), n);
    plan.Compute(may_move);
    plan.AppendChanges(&changes);
  }
  return changes;
}

std::vector<Placement> LayerPlanner::PlanRelief(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets) {
  const std::set<std::string> limited = ZonesWithLimitedStarts(targets);
  std::vector<PlannerTarget> able_targets = targets;
  std::erase_if(able_targets, [&limited](const PlannerTarget& it) {
    return it.is_slow || (IsLimitedStart(it) && limited.contains(it.zone));
  });
  return able_targets.size() == targets.size()
             ? std::vector<Placement>()
             : Plan(model, able_targets, false);
}

}  // namespace bbv
