#include "bbv_fleet/layer_doubler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <string>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_fleet/layer_coverage.h"

namespace bbv {
namespace {

// Requests of the usual size for which a zone keeps memory, and the least and
// most share of what one copy leaves that is kept for them.
constexpr double kRequestsOfZone = 240;
constexpr double kLeastRequestShare = 0.35;
constexpr double kMostRequestShare = 0.5;
// Memory that requests use now is left to them this many times.
constexpr double kUsedMemoryFactor = 1.3;
// Share of the memory for requests that calls can use before targets that hold
// more than their part are full.
constexpr double kMemoryInUse = 0.75;

// Share of the targets' memory that layers may take.
double LayerShare(const EngineModel& model,
                  const std::vector<PlannerTarget>& targets) {
  double memory = 0;
  for (const PlannerTarget& it : targets)
    memory += model.MemoryMb(it.accelerator);
  const double spare = memory - model.layers * model.layer_mb;
  if (spare <= 0)
    return 1;
  const double wanted =
      kRequestsOfZone * LayerPlanner::RequestMb(model) * model.layers;
  const double kept =
      std::clamp(wanted / spare, kLeastRequestShare, kMostRequestShare);
  return 1 - kept * spare / memory;
}

// Layers that leave a target's part of the memory to requests.
int ComfortableLayers(const EngineModel& model,
                      const PlannerTarget& target,
                      double layer_share) {
  const double for_layers = model.MemoryMb(target.accelerator) * layer_share;
  const int most =
      std::max(1, LayerPlanner::MaxLayers(model, target.accelerator));
  return std::clamp(static_cast<int>(for_layers / model.layer_mb), 1, most);
}

// Targets of a zone that hold nothing yet, while layers are divided over them:
// the largest hold the upper layers alone, the others the lower ones in two
// chains. The fewer the targets that hold layers alone, the fewer losses leave
// a gap. How many layers either part holds is chosen so that calls find memory
// in both: the part with the least bounds the zone. Where memory admits more
// calls than the chains' first targets have slots for, the smallest targets
// hold the first layers besides, so that calls can begin there.
class TwofoldDivision {
 public:
  TwofoldDivision(const EngineModel& model,
                  const std::vector<PlannerTarget>& members)
      : model_(model), ranges_(members.size()) {
    const double layer_share = LayerShare(model, members);
    beginners_ = CountBeginners(members);
    for (const PlannerTarget& it : members) {
      const AcceleratorKind* kind = model.FindKind(it.accelerator);
      capacities_.push_back(ComfortableLayers(model, it, layer_share));
      memory_mb_.push_back(model.MemoryMb(it.accelerator));
      step_factors_.push_back(kind == nullptr ? 1 : kind->step_factor);
    }
    order_.resize(members.size());
    std::iota(order_.begin(), order_.end(), 0);
    // Equals in an order that is the same on every process.
    std::sort(order_.begin(), order_.end(), [&](auto left, auto right) {
      if (capacities_[left] != capacities_[right])
        return capacities_[left] > capacities_[right];
      return HashBytes(members[left].id) < HashBytes(members[right].id);
    });
  }

  bool Divide() {
    const auto alone = CountAlone(0);
    if (!alone)
      return false;
    std::size_t beginners = beginners_;
    // More targets to begin at must not leave more layers held once.
    while (beginners > 0 && CountAlone(beginners) != alone)
      --beginners;
    DivideAll(*alone, beginners);
    return true;
  }

  std::vector<LayerRange> TakeRanges() { return std::move(ranges_); }

 private:
  using Chain = std::vector<std::size_t>;
  static constexpr std::size_t kChains = 2;

  // Targets beside the chains' first ones that calls should begin at.
  std::size_t CountBeginners(const std::vector<PlannerTarget>& members) const {
    const double request_mb = LayerPlanner::RequestMb(model_) * model_.layers;
    if (model_.first_hop_slots <= 0 || request_mb <= 0)
      return 0;
    double memory = 0;
    for (const PlannerTarget& it : members)
      memory += model_.MemoryMb(it.accelerator);
    const double for_requests =
        memory - kChains * model_.layers * model_.layer_mb;
    const double calls = kMemoryInUse * for_requests / request_mb;
    const double first_targets = std::ceil(calls / model_.first_hop_slots);
    return first_targets <= kChains
               ? 0
               : static_cast<std::size_t>(first_targets) - kChains;
  }

  // Returns how many of the largest targets hold layers alone when the smallest
  // `beginners` are kept out of the chains; nothing when layers do not fit.
  std::optional<std::size_t> CountAlone(std::size_t beginners) const {
    int alone = 0;
    for (std::size_t n = 0; n + beginners < order_.size(); ++n) {
      const int doubled = model_.layers - alone;
      if (doubled <= 0)
        return std::nullopt;
      if (MakeChains(n, beginners).least_capacity >= doubled)
        return n;
      alone += capacities_[order_[n]];
    }
    return std::nullopt;
  }

  void DivideAll(std::size_t n, std::size_t beginners) {
    const Chain largest(order_.begin(),
                        order_.begin() + static_cast<std::ptrdiff_t>(n));
    const Chains chains = MakeChains(n, beginners);
    const int doubled = ChooseDoubled(largest, chains);
    for (const Chain& it : chains.members)
      FillRange(it, {0, doubled});
    FillRange(largest, {doubled, model_.layers});
    for (std::size_t it = order_.size() - beginners; it < order_.size(); ++it) {
      const std::size_t target = order_[it];
      ranges_[target] = {0, std::min(capacities_[target], doubled)};
    }
  }

  // Two chains of alike capacity.
  struct Chains {
    Chain members[kChains];
    int least_capacity = 0;
  };

  // Divides all targets but the first `n` and the last `beginners`.
  Chains MakeChains(std::size_t n, std::size_t beginners) const {
    Chains chains;
    int capacities[kChains] = {0, 0};
    for (std::size_t it = n; it + beginners < order_.size(); ++it) {
      const int chain = capacities[1] < capacities[0] ? 1 : 0;
      chains.members[chain].push_back(order_[it]);
      capacities[chain] += capacities_[order_[it]];
    }
    chains.least_capacity = std::min(capacities[0], capacities[1]);
    return chains;
  }

  // Returns how many layers both chains should hold, `largest` the others: the
  // number at which the zone ends most calls in a given time.
  int ChooseDoubled(const Chain& largest, const Chains& chains) const {
    if (largest.empty())
      return model_.layers;
    int least = model_.layers;
    for (const std::size_t it : largest)
      least -= capacities_[it];
    int best = least;
    double best_rate = 0;
    for (int it = least; it <= chains.least_capacity && it < model_.layers;
         ++it) {
      const double rate = CallRate(largest, chains, it);
      if (rate <= best_rate)
        continue;
      best_rate = rate;
      best = it;
    }
    return best;
  }

  // Usual calls that the zone ends in a given time, up to a factor, when the
  // chains hold `doubled` layers each: those that find memory, by the time that
  // a token of theirs takes.
  double CallRate(const Chain& largest,
                  const Chains& chains,
                  int doubled) const {
    const int alone = model_.layers - doubled;
    double calls_doubled = 0;
    double step_doubled = 0;
    for (const Chain& it : chains.members) {
      calls_doubled += CallsHeld(it, doubled);
      step_doubled += StepTime(it, doubled) / kChains;
    }
    const double calls = std::min(CallsHeld(largest, alone), calls_doubled);
    const double step = StepTime(largest, alone) + step_doubled;
    return step > 0 ? calls / step : calls;
  }

  // Layers of `layers` that fall to `index` of `chain`.
  double PartOf(const Chain& chain, std::size_t index, int layers) const {
    int sum = 0;
    for (const std::size_t it : chain)
      sum += capacities_[it];
    return sum <= 0 ? 0
                    : static_cast<double>(layers) * capacities_[index] / sum;
  }

  // Usual calls for which every target of `chain` has memory.
  double CallsHeld(const Chain& chain, int layers) const {
    double least = std::numeric_limits<double>::infinity();
    for (const std::size_t it : chain) {
      const double part = PartOf(chain, it, layers);
      const double call_mb = part * LayerPlanner::RequestMb(model_);
      if (call_mb <= 0)
        continue;
      least =
          std::min(least, (memory_mb_[it] - part * model_.layer_mb) / call_mb);
    }
    return std::max(0.0, least);
  }

  // Time of a token on `chain`, in steps of the model's usual time.
  double StepTime(const Chain& chain, int layers) const {
    double time = 0;
    for (const std::size_t it : chain)
      time += PartOf(chain, it, layers) * step_factors_[it] / model_.layers;
    return time;
  }

  // Divides `range` over `chain` in the ratio of the targets' capacities.
  void FillRange(const Chain& chain, const LayerRange& range) {
    int left = 0;
    for (const std::size_t it : chain)
      left += capacities_[it];
    int at = range.from;
    for (const std::size_t it : chain) {
      const int remaining = range.to - at;
      // Rounded up, so that what is left always fits the others.
      const int n =
          left <= 0 ? 0 : (remaining * capacities_[it] + left - 1) / left;
      left -= capacities_[it];
      ranges_[it] = LayerRange{at, at + std::min(n, remaining)};
      at = ranges_[it].to;
    }
  }

  const EngineModel& model_;
  // Of each target: layers that leave requests their part of its memory, its
  // memory, and how many times slower than usual a step is there.
  std::vector<int> capacities_;
  std::vector<double> memory_mb_;
  std::vector<double> step_factors_;
  std::size_t beginners_ = 0;
  // Targets from the largest to the smallest.
  Chain order_;
  std::vector<LayerRange> ranges_;
};

// The targets of one zone, while their layers are being doubled.
class ZoneDoubler {
 public:
  ZoneDoubler(const EngineModel& model, std::vector<PlannerTarget> targets)
      : model_(model), targets_(std::move(targets)) {
    layer_share_ = LayerShare(model_, targets_);
    for (const PlannerTarget& it : targets_)
      wanted_.push_back(*it.layers);
  }

  bool HoldsWholeCopy() const { return !Coverage().FirstGap(); }

  std::vector<Placement> Plan(int most_changes) {
    for (const std::size_t it : InOrderOfNeed()) {
      if (ChangedCount() >= most_changes)
        break;
      if (GiveUpDoubled(it))
        continue;
      // Two neighbours may share what one cannot take alone.
      Double(it, most_changes - ChangedCount());
    }
    std::vector<Placement> changes;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (IsChanged(it))
        changes.push_back({targets_[it].id, wanted_[it]});
    }
    return changes;
  }

 private:
  int Comfortable(std::size_t index) const {
    return ComfortableLayers(model_, targets_[index], layer_share_);
  }

  // Layers that the target can take over now.
  int Headroom(std::size_t index) const {
    if (targets_[index].is_fixed)
      return 0;
    const PlannerTarget& target = targets_[index];
    const double used =
        model_.RequestMb(kUsedMemoryFactor * target.used_token_layers);
    const int free_of_requests = static_cast<int>(
        (model_.MemoryMb(target.accelerator) - used) / model_.layer_mb);
    return std::min(Comfortable(index), free_of_requests) -
           wanted_[index].size();
  }

  bool IsCrowded(std::size_t index) const {
    return wanted_[index].size() > Comfortable(index);
  }

  bool IsChanged(std::size_t index) const {
    return wanted_[index] != *targets_[index].layers;
  }

  int ChangedCount() const {
    int n = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it)
      n += IsChanged(it) ? 1 : 0;
    return n;
  }

  LayerCoverage Coverage() const {
    LayerCoverage coverage(model_.layers);
    for (const LayerRange& it : wanted_)
      coverage.Add(it);
    return coverage;
  }

  // The layers that `index` alone holds, from the first to the last of them;
  // empty when there are none.
  LayerRange HeldAlone(std::size_t index, const LayerCoverage& coverage) const {
    const LayerRange& range = wanted_[index];
    LayerRange alone{range.to, range.from};
    for (int it = range.from; it < std::min(range.to, model_.layers); ++it) {
      if (coverage.holders(it) > 1)
        continue;
      alone.from = std::min(alone.from, it);
      alone.to = it + 1;
    }
    return alone.from < alone.to ? alone : LayerRange{range.from, range.from};
  }

  // Crowded targets first, then those that are doubled with the fewest layers.
  std::vector<std::size_t> InOrderOfNeed() const {
    const LayerCoverage coverage = Coverage();
    // Kept beside the order, as each is compared many times.
    std::vector<std::pair<bool, int>> needs;
    needs.reserve(targets_.size());
    for (std::size_t it = 0; it < targets_.size(); ++it)
      needs.emplace_back(!IsCrowded(it), HeldAlone(it, coverage).size());
    std::vector<std::size_t> order(targets_.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(
        order.begin(), order.end(),
        [&needs](auto left, auto right) { return needs[left] < needs[right]; });
    return order;
  }

  // Takes from a crowded target what targets with more room hold as well.
  bool GiveUpDoubled(std::size_t index) {
    if (!IsCrowded(index) || IsChanged(index) || targets_[index].is_fixed)
      return false;
    LayerCoverage elsewhere(model_.layers);
    for (std::size_t other = 0; other < targets_.size(); ++other) {
      // What a target has just been asked to load it does not hold yet.
      if (other == index || IsCrowded(other) || IsChanged(other))
        continue;
      elsewhere.Add(*targets_[other].layers);
    }
    LayerRange& range = wanted_[index];
    const int least = Comfortable(index);
    while (range.size() > least && elsewhere.holders(range.from) > 0)
      ++range.from;
    while (range.size() > least && elsewhere.holders(range.to - 1) > 0)
      --range.to;
    return IsChanged(index);
  }

  // Lets neighbours hold what `index` alone holds: all of it, or for a crowded
  // target as much as they can.
  void Double(std::size_t index, int changes_left) {
    const LayerRange alone = HeldAlone(index, Coverage());
    if (alone.size() == 0)
      return;
    const int lower = Neighbour(index, alone, /*is_lower=*/true);
    const int upper = Neighbour(index, alone, /*is_lower=*/false);
    const int from_lower = lower < 0 ? 0 : Reach(lower, alone, true);
    const int from_upper = upper < 0 ? 0 : Reach(upper, alone, false);
    const bool crowded = IsCrowded(index);
    if (from_lower >= alone.size() && from_lower >= from_upper) {
      wanted_[lower].to = alone.to;
      return;
    }
    if (from_upper >= alone.size()) {
      wanted_[upper].from = alone.from;
      return;
    }
    if ((from_lower + from_upper < alone.size() && !crowded) ||
        (changes_left < 2 && !crowded))
      return;
    if (from_lower > 0)
      wanted_[lower].to = std::max(wanted_[lower].to, alone.from + from_lower);
    if (from_upper > 0 && changes_left >= 2) {
      const int start =
          std::max(alone.from + from_lower, alone.to - from_upper);
      wanted_[upper].from = std::min(wanted_[upper].from, start);
    }
  }

  // Layers of `alone` that `neighbour` can reach from its side.
  int Reach(int neighbour, const LayerRange& alone, bool is_lower) const {
    const LayerRange& range = wanted_[neighbour];
    const int between =
        is_lower ? alone.from - range.to : range.from - alone.to;
    return std::clamp(Headroom(neighbour) - between, 0, alone.size());
  }

  // The target beside `alone` that can take most of it, or -1.
  int Neighbour(std::size_t index,
                const LayerRange& alone,
                bool is_lower) const {
    int best = -1;
    int most = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (it == index || IsCrowded(it))
        continue;
      const LayerRange& range = wanted_[it];
      const bool beside =
          is_lower ? range.from < alone.from && range.to <= alone.from
                   : range.to > alone.to && range.from >= alone.to;
      if (!beside)
        continue;
      const int reach = Reach(static_cast<int>(it), alone, is_lower);
      if (reach <= most)
        continue;
      best = static_cast<int>(it);
      most = reach;
    }
    return best;
  }

  const EngineModel& model_;
  std::vector<PlannerTarget> targets_;
  std::vector<LayerRange> wanted_;
  // Share of the zone's memory that layers may take.
  double layer_share_ = 1;
};

}  // namespace

std::optional<std::vector<LayerRange>> LayerReplicator::PlaceAfresh(
    const EngineModel& model,
    const std::vector<PlannerTarget>& members) {
  if (model.layers <= 0 || model.layer_mb <= 0)
    return std::nullopt;
  TwofoldDivision division(model, members);
  if (!division.Divide())
    return std::nullopt;
  return division.TakeRanges();
}

std::vector<Placement> LayerReplicator::Plan(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    int most_changes) {
  std::vector<Placement> changes;
  if (model.layers <= 0 || model.layer_mb <= 0)
    return changes;
  std::map<std::string, std::vector<PlannerTarget>> zones;
  for (const PlannerTarget& it : targets) {
    if (it.layers && it.layers->to <= model.layers)
      zones[it.zone].push_back(it);
  }
  for (auto& [zone, members] : zones) {
    ZoneDoubler doubler(model, std::move(members));
    if (!doubler.HoldsWholeCopy())
      continue;
    const int left = most_changes - static_cast<int>(changes.size());
    for (Placement& it : doubler.Plan(left))
      changes.push_back(std::move(it));
  }
  return changes;
}

}  // namespace bbv
