#include "bbv_fleet/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <numeric>

#include "bbv_core/hashing.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_fleet/layer_doubler.h"

namespace bbv {
namespace {

// Mean requests for which a target keeps memory beside its layers.
constexpr double kLeastRequests = 20;
// Layers of a gap that one spare target loads, so that a large gap is closed by
// several loads at once.
constexpr int kMostLayersOfOneLoad = 8;
// Difference in tokens below which two spare targets are used alike.
constexpr double kLikeTokens = 2000;
constexpr double kDefaultRequestTokens = 1000;

int TotalCapacity(const EngineModel& model,
                  const std::vector<PlannerTarget>& targets) {
  int n = 0;
  for (const PlannerTarget& it : targets)
    n += LayerPlanner::MaxLayers(model, it.accelerator);
  return n;
}

// One group of targets that together hold one copy.
class CopyPlan {
 public:
  // The first `members` targets hold the copy; the others, from zones too
  // small for one, only double parts of it.
  CopyPlan(const EngineModel& model,
           std::vector<PlannerTarget> targets,
           std::size_t members)
      : model_(model), targets_(std::move(targets)), members_(members) {
    wanted_.reserve(targets_.size());
    for (const PlannerTarget& it : targets_)
      wanted_.push_back(it.layers);
  }

  void Compute(bool may_move) {
    const bool fresh =
        std::none_of(wanted_.begin(),
                     wanted_.begin() + static_cast<std::ptrdiff_t>(members_),
                     [](const auto& it) { return it.has_value(); });
    if (fresh && !PlaceTwofold())
      PlaceAfresh(ShuffledOrder());
    else if (!fresh)
      Repair(may_move);
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (!wanted_[it])
        FillWithEmptyTarget(it);
    }
  }

  void AppendChanges(std::vector<Placement>* changes) const {
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (wanted_[it] && wanted_[it] != targets_[it].layers)
        changes->push_back({targets_[it].id, *wanted_[it]});
    }
  }

 private:
  // Places layers on targets that hold none, most of them twice; false when
  // memory does not allow that.
  bool PlaceTwofold() {
    const std::vector<PlannerTarget> members(
        targets_.begin(),
        targets_.begin() + static_cast<std::ptrdiff_t>(members_));
    const auto ranges = LayerReplicator::PartitionEmptyZone(model_, members);
    if (!ranges)
      return false;
    for (std::size_t it = 0; it < members_; ++it) {
      if ((*ranges)[it].size() > 0)
        wanted_[it] = (*ranges)[it];
    }
    return true;
  }

  // An order that mixes accelerator kinds, the same on every process.
  std::vector<std::size_t> ShuffledOrder() const {
    std::vector<std::size_t> order(members_);
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [this](auto left, auto right) {
      return HashBytes(targets_[left].id) < HashBytes(targets_[right].id);
    });
    return order;
  }

  // The order in which layers stand now, so that a new division moves little.
  std::vector<std::size_t> OrderByLayers() const {
    std::vector<std::size_t> order = ShuffledOrder();
    std::stable_sort(order.begin(), order.end(), [this](auto left, auto right) {
      return Middle(left) < Middle(right);
    });
    return order;
  }

  int Middle(std::size_t index) const {
    const auto& range = wanted_[index];
    return range ? range->from + range->to : 2 * model_.layers;
  }

  // Closes gaps, by what moves least first.
  void Repair(bool may_move) {
    for (std::size_t it = 0; it < members_; ++it) {
      if (!wanted_[it] && FirstGap())
        FillWithEmptyTarget(it);
    }
    ExtendNeighbours();
    while (FirstGap() && MoveSpare()) {
    }
    ExtendNeighbours();
    if (!may_move || !FirstGap())
      return;
    MoveAroundGap();
    if (FirstGap())
      PlaceAfresh(OrderByLayers());
  }

  // Gives a gap to a target whose layers others hold too. Returns whether
  // there was one.
  bool MoveSpare() {
    const LayerCoverage coverage = Coverage();
    const auto gap = coverage.FirstGap();
    int best = -1;
    for (std::size_t it = 0; it < members_; ++it) {
      const auto& range = wanted_[it];
      // What was just given a gap's layers holds them alone and is no spare.
      if (!range || targets_[it].is_fixed || Capacity(it) == 0 ||
          !coverage.IsHeldBy(2, *range))
        continue;
      if (best < 0 || FitsBetter(it, best, gap->size()))
        best = static_cast<int>(it);
    }
    if (best < 0)
      return false;
    const int part = std::min(Capacity(best), kMostLayersOfOneLoad);
    wanted_[best] = LayerRange{gap->from, std::min(gap->to, gap->from + part)};
    return true;
  }

  // What the target gives up it still runs for the calls on it, and loads only
  // then: the one with the fewest calls goes first. Among equals it is the
  // smallest that holds `layers`, or else the largest.
  bool FitsBetter(std::size_t index, std::size_t other, int layers) const {
    const double tokens = TokensOn(index);
    const double tokens_there = TokensOn(other);
    if (std::abs(tokens - tokens_there) > kLikeTokens)
      return tokens < tokens_there;
    const int wanted = std::min(layers, kMostLayersOfOneLoad);
    const bool fits = Capacity(index) >= wanted;
    if (fits != (Capacity(other) >= wanted))
      return fits;
    return fits ? Capacity(index) < Capacity(other)
                : Capacity(index) > Capacity(other);
  }

  // Tokens of the calls on the target.
  double TokensOn(std::size_t index) const {
    const int layers = wanted_[index] ? wanted_[index]->size() : 1;
    return targets_[index].used_token_layers / layers;
  }

  // Divides the layers around the first gap anew over as few targets as can
  // hold them; all others stay as they are.
  void MoveAroundGap() {
    const auto gap = FirstGap();
    const std::vector<std::size_t> order = OrderByLayers();
    std::size_t after = 0;
    while (after < order.size() && Begin(order[after]) < gap->from)
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
        const auto& range = wanted_[order[it]];
        if (range) {
          span.from = std::min(span.from, range->from);
          span.to = std::max(span.to, range->to);
        }
        capacity += Capacity(order[it]);
      }
      if (capacity < span.size())
        continue;
      DivideSpan({order.begin() + static_cast<std::ptrdiff_t>(first),
                  order.begin() + static_cast<std::ptrdiff_t>(last)},
                 span);
      return;
    }
  }

  int Begin(std::size_t index) const {
    return wanted_[index] ? wanted_[index]->from : model_.layers;
  }

  void DivideSpan(const std::vector<std::size_t>& order,
                  const LayerRange& span) {
    const std::vector<int> counts = Divide(order, span.size());
    int at = span.from;
    for (std::size_t it = 0; it < order.size(); ++it) {
      if (counts[it] == 0)
        continue;
      wanted_[order[it]] = LayerRange{at, at + counts[it]};
      at += counts[it];
    }
  }

  // Divides all layers over the targets in `order`, one range each, so that
  // memory left for requests is alike. Does nothing when they don't fit.
  void PlaceAfresh(const std::vector<std::size_t>& order) {
    const std::vector<int> counts = Divide(order, model_.layers);
    if (std::accumulate(counts.begin(), counts.end(), 0) < model_.layers)
      return;
    DivideSpan(order, {0, model_.layers});
  }

  // Returns how many of `layers` each target in `order` should hold.
  std::vector<int> Divide(const std::vector<std::size_t>& order,
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
      if (wanted_[it])
        coverage.Add(*wanted_[it]);
    }
    return coverage;
  }

  std::optional<LayerRange> FirstGap() const { return Coverage().FirstGap(); }

  void FillWithEmptyTarget(std::size_t index) {
    const int capacity = Capacity(index);
    if (capacity == 0 || targets_[index].is_fixed)
      return;
    if (const auto gap = FirstGap()) {
      wanted_[index] =
          LayerRange{gap->from, std::min(gap->to, gap->from + capacity)};
      return;
    }
    // Doubles the range that has the least memory for requests, cut to fit.
    const std::size_t weakest = WeakestRange();
    if (weakest == targets_.size())
      return;
    LayerRange range = *wanted_[weakest];
    range.to = std::min(range.to, range.from + ComfortableLayers(index));
    wanted_[index] = range;
  }

  // Layers that leave half of the target's memory to requests.
  int ComfortableLayers(std::size_t index) const {
    const double memory = model_.MemoryMb(targets_[index].accelerator);
    return std::clamp(static_cast<int>(memory / 2 / model_.layer_mb) + 1, 1,
                      Capacity(index));
  }

  // The held range with the least memory for requests a layer, counting all
  // targets that hold its first layer.
  std::size_t WeakestRange() const {
    std::size_t weakest = targets_.size();
    double least = 0;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
      if (!wanted_[it])
        continue;
      double room = 0;
      for (std::size_t other = 0; other < targets_.size(); ++other) {
        const auto& range = wanted_[other];
        if (!range || range->from > wanted_[it]->from ||
            range->to <= wanted_[it]->from)
          continue;
        const double memory = model_.MemoryMb(targets_[other].accelerator);
        room += memory / range->size() - model_.layer_mb;
      }
      if (weakest == targets_.size() || room < least) {
        weakest = it;
        least = room;
      }
    }
    return weakest;
  }

  // Grows the ranges beside each gap into it while their memory allows.
  void ExtendNeighbours() {
    const std::vector<std::optional<LayerRange>> before = wanted_;
    while (const auto gap = FirstGap()) {
      if (!GrowInto(*gap)) {
        wanted_ = before;
        return;
      }
    }
  }

  bool GrowInto(const LayerRange& gap) {
    // One layer at a time onto the neighbour with the most room a layer.
    int best = -1;
    double most = 0;
    for (std::size_t it = 0; it < members_; ++it) {
      const auto& range = wanted_[it];
      if (!range || (range->to != gap.from && range->from != gap.to))
        continue;
      if (targets_[it].is_fixed)
        continue;
      if (range->size() >= Capacity(it))
        continue;
      const double room =
          model_.MemoryMb(targets_[it].accelerator) / (range->size() + 1);
      if (best < 0 || room > most) {
        best = static_cast<int>(it);
        most = room;
      }
    }
    if (best < 0)
      return false;
    if (wanted_[best]->to == gap.from)
      ++wanted_[best]->to;
    else
      --wanted_[best]->from;
    return true;
  }

  const EngineModel& model_;
  std::vector<PlannerTarget> targets_;
  std::size_t members_;
  std::vector<std::optional<LayerRange>> wanted_;
};

}  // namespace

double LayerPlanner::RequestMb(const EngineModel& model) {
  double tokens = model.usual_prompt_tokens + model.usual_answer_tokens;
  if (tokens <= 0)
    tokens = kDefaultRequestTokens;
  return model.RequestMb(tokens);
}

int LayerPlanner::MaxLayers(const EngineModel& model,
                            const std::string& accelerator) {
  if (model.layers <= 0 || model.layer_mb <= 0)
    return 0;
  const double memory = model.MemoryMb(accelerator);
  const double per_layer = model.layer_mb + kLeastRequests * RequestMb(model);
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
  // Zones that cannot hold a copy share one; a rest too small for that doubles
  // parts of the first zone's.
  std::vector<std::vector<PlannerTarget>> groups;
  std::vector<PlannerTarget> rest;
  for (auto& [zone, members] : zones) {
    if (TotalCapacity(model, members) >= model.layers)
      groups.push_back(std::move(members));
    else
      rest.insert(rest.end(), members.begin(), members.end());
  }
  if (TotalCapacity(model, rest) >= model.layers || groups.empty()) {
    groups.push_back(rest);
    rest.clear();
  }
  for (std::vector<PlannerTarget>& members : groups) {
    const std::size_t n = members.size();
    if (&members == &groups.front())
      members.insert(members.end(), rest.begin(), rest.end());
    CopyPlan plan(model, std::move(members), n);
    plan.Compute(may_move);
    plan.AppendChanges(&changes);
  }
  return changes;
}

}  // namespace bbv
