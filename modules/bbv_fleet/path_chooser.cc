#include "bbv_fleet/path_chooser.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_fleet/engine_timing.h"

namespace bbv {
namespace {

// Milliseconds a token that each hop adds for forwarding.
constexpr double kHopMs = 0.1;
// Passes of a busy target that a token waits for on average.
constexpr double kPassesWaited = 0.5;
// Milliseconds a token by which another zone's path counts as slower, so that
// it is taken only when the caller's own zone is loaded or broken.
constexpr double kOtherZoneMs = 8.0;
// As above, for a hop from one zone to another inside a path.
constexpr double kCrossingMs = 20.0;
// How much a target full of requests counts as slower than an empty one.
constexpr double kFullTargetFactor = 3.0;
// Share by which equal targets are spread.
constexpr double kSpread = 0.1;
// Milliseconds a token by which a target counts as slower to begin at whose
// slots are all taken, so that calls spread over all that can be first.
constexpr double kTakenSlotsMs = 4;
// Milliseconds a token for each millisecond of prompts that wait to be read:
// calls that come at once, as after a crash, are spread over all copies.
constexpr double kBacklogWeight = 1.0 / 100;
// Milliseconds a token by which a path counts as slower on which the first
// event would come too late: more than any path takes.
constexpr double kLateMs = 1000;
constexpr double kBytesInMegabyte = 1e6;
// Bits that a link of one megabit a second carries in a millisecond.
constexpr double kBitsInMegabitMs = 1e3;
// Share of its time at which a hop that a call already has counts when another
// hop is replaced: it alone need not read the call's tokens again.
constexpr double kKeptHopFactor = 0.1;
constexpr double kUnreached = std::numeric_limits<double>::infinity();

EngineShare ShareOf(const EngineModel& model,
                    const AcceleratorKind& kind,
                    const FleetTarget& target,
                    Instant now) {
  EngineShare share;
  share.step_factor = kind.step_factor;
  share.read_factor = kind.read_factor;
  share.pace = target.Pace(now);
  share.layer_share =
      static_cast<double>(target.record.layers->size()) / model.layers;
  share.calls = target.own_calls + target.peer_calls;
  return share;
}

// Milliseconds in which a target that reads `tokens_per_ms` reads `tokens`.
double ReadMs(double tokens_per_ms, double tokens) {
  return tokens_per_ms > 0 ? tokens / tokens_per_ms : 0;
}

}  // namespace

PathChooser::PathChooser(TargetBoard* board) : board_(board) {
  assert(board != nullptr);
}

double PathChooser::CapacityTokenLayers(const EngineModel& model,
                                        const FleetTarget& target) {
  const AcceleratorKind* kind = model.FindKind(target.record.accelerator);
  if (kind == nullptr || !target.record.layers || model.layers == 0)
    return 0;
  const double free_mb =
      kind->memory_mb - target.record.layers->size() * model.layer_mb;
  const double bytes_per_token_layer = model.kv_bytes_per_token / model.layers;
  if (bytes_per_token_layer <= 0)
    return kUnreached;
  return std::max(0.0, free_mb * kBytesInMegabyte / bytes_per_token_layer);
}

std::vector<PathChooser::Candidate> PathChooser::Collect(
    const EngineModel& model,
    const PathQuery& query,
    Instant now,
    bool with_full) const {
  std::vector<Candidate> candidates;
  uint64_t draw = query.draw;
  for (const auto& [id, row] : board_->rows()) {
    FleetTarget* target = row.get();
    if (target->record.service != query.service || !target->record.layers ||
        IsExcluded(query, id))
      continue;
    if (with_full ? !board_->IsUsable(*target, now)
                  : !board_->MayTake(*target, now))
      continue;
    const AcceleratorKind* kind = model.FindKind(target->record.accelerator);
    if (kind == nullptr)
      continue;
    const double capacity = CapacityTokenLayers(model, *target);
    const double used = target->UsedTokenLayers(now);
    const double load = capacity > 0 ? std::min(1.0, used / capacity) : 1.0;
    draw = CombineHashes(draw, candidates.size());
    const double spread = 1 + kSpread * static_cast<double>(draw % 1024) / 1024;
    Candidate candidate;
    candidate.target = target;
    candidate.layers = *target->record.layers;
    const EngineShare share = ShareOf(model, *kind, *target, now);
    const double step_ms = EngineTiming::StepMs(model, share);
    candidate.layer_ms = step_ms / std::max(1, target->record.layers->size()) *
                         (1 + (kFullTargetFactor - 1) * load * load) *
                         (1 + 4 * target->failure_share) * spread;
    const double read_rate = EngineTiming::ReadTokensPerMs(model, share);
    const double backlog_ms = ReadMs(
        read_rate, target->own_unread_tokens + target->peer_unread_tokens);
    candidate.read_ms = backlog_ms + ReadMs(read_rate, query.prompt_tokens);
    // On its way to a busy target a token waits for the pass under way to end.
    candidate.hop_ms = kHopMs +
                       kPassesWaited * EngineTiming::Busy(share) * step_ms +
                       kBacklogWeight * backlog_ms;
    candidate.is_overdue =
        query.most_backlog_ms > 0 && backlog_ms > query.most_backlog_ms;
    // Calls that grew beyond what was expected leave no room, and no less.
    candidate.room_token_layers = std::max(0.0, capacity - used);
    if (model.first_hop_slots > 0 && candidate.layers.from == 0) {
      const double taken = share.calls / model.first_hop_slots;
      candidate.may_begin = taken < 1;
      candidate.begin_ms = kTakenSlotsMs * taken * taken;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

EnginePath PathChooser::Choose(const EngineModel& model,
                               const PathQuery& query,
                               Instant now,
                               PathFailure* failure) const {
  assert(failure != nullptr);
  std::vector<Candidate> all = Collect(model, query, now);
  std::map<std::string_view, std::vector<Candidate>> zones;
  for (const Candidate& it : all)
    zones[it.target->record.zone].push_back(it);
  EnginePath best;
  double best_ms = kUnreached;
  for (const auto& [zone, candidates] : zones) {
    EnginePath path = SearchOnce(model, candidates, {query.tokens});
    const double away = zone == query.zone ? 0 : kOtherZoneMs;
    const bool is_late =
        query.objective_ms > 0 && path.read_ms > query.objective_ms;
    const double cost = path.token_ms + away + (is_late ? kLateMs : 0);
    if (path.empty() || cost >= best_ms)
      continue;
    best_ms = cost;
    best = std::move(path);
  }
  *failure = PathFailure::kNone;
  if (!best.empty())
    return best;
  for (Candidate& it : all) {
    it.zone = static_cast<int>(
        std::distance(zones.begin(), zones.find(it.target->record.zone)));
  }
  if (query.may_cross)
    best = SearchOnce(model, all, {query.tokens, /*across_zones=*/true});
  if (!best.empty())
    return best;
  *failure = FindFailure(model, all, query, now);
  return best;
}

PathFailure PathChooser::FindFailure(const EngineModel& model,
                                     const std::vector<Candidate>& candidates,
                                     const PathQuery& query,
                                     Instant now) const {
  SearchLimits limits;
  limits.tokens = query.tokens;
  limits.across_zones = true;
  if (!query.may_cross && !SearchOnce(model, candidates, limits).empty())
    return PathFailure::kCrossing;
  limits.ignores_slots = true;
  if (!SearchOnce(model, candidates, limits).empty())
    return PathFailure::kFirstSlots;
  limits.ignores_backlog = true;
  if (!SearchOnce(model, candidates, limits).empty())
    return PathFailure::kUnreadPrompts;
  limits.tokens = 0;
  const std::vector<Candidate> held = Collect(model, query, now, true);
  return SearchOnce(model, held, limits).empty() ? PathFailure::kLayersMissing
                                                 : PathFailure::kMemory;
}

EnginePath PathChooser::Mend(const EngineModel& model,
                             const PathQuery& query,
                             const std::vector<KeptHop>& current,
                             Instant now) const {
  assert(!current.empty());
  FleetTarget* first = board_->Find(current.front().target_id);
  // The order to change the path goes to the first target.
  if (first == nullptr || first->IsResting(now) ||
      IsExcluded(query, current.front().target_id))
    return {};
  std::vector<Candidate> candidates = Collect(model, query, now);
  std::erase_if(candidates, [first](const Candidate& it) {
    return it.target == first || it.target->record.zone != first->record.zone;
  });
  for (auto it = current.begin() + 1; it != current.end(); ++it) {
    FleetTarget* target = board_->Find(it->target_id);
    if (target == nullptr || IsExcluded(query, it->target_id) ||
        !board_->IsUsable(*target, now) || !target->record.layers ||
        !target->record.layers->Holds(it->layers))
      continue;
    const AcceleratorKind* kind = model.FindKind(target->record.accelerator);
    if (kind == nullptr)
      continue;
    Candidate candidate;
    candidate.target = target;
    candidate.layers = it->layers;
    candidate.is_kept = true;
    candidate.layer_ms =
        kKeptHopFactor * model.step_ms * kind->step_factor / model.layers;
    candidate.room_token_layers = kUnreached;
    candidates.push_back(candidate);
  }
  SearchLimits limits{query.tokens};
  limits.from = current.front().layers.to;
  if (limits.from >= model.layers)
    return {};
  EnginePath path = SearchOnce(model, candidates, limits);
  if (!path.empty())
    path.hops.insert(path.hops.begin(), Hop{first, current.front().layers});
  return path;
}

double PathChooser::LinkMs(const EngineModel& model,
                           const EnginePath& path,
                           double tokens) {
  if (model.zone_link_mbps <= 0)
    return 0;
  int crossings = 0;
  for (std::size_t it = 1; it < path.hops.size(); ++it) {
    crossings += path.hops[it].target->record.zone !=
                         path.hops[it - 1].target->record.zone
                     ? 1
                     : 0;
  }
  const double bits = crossings * tokens * model.activation_bytes * 8;
  return bits / model.zone_link_mbps / kBitsInMegabitMs;
}

bool PathChooser::IsExcluded(const PathQuery& query, std::string_view id) {
  return query.excluded != nullptr &&
         std::find(query.excluded->begin(), query.excluded->end(), id) !=
             query.excluded->end();
}

bool PathChooser::HasTargetTwice(const EnginePath& path) {
  std::set<const FleetTarget*> seen;
  for (const Hop& it : path.hops) {
    if (!seen.insert(it.target).second)
      return true;
  }
  return false;
}

EnginePath PathChooser::SearchOnce(const EngineModel& model,
                                   const std::vector<Candidate>& candidates,
                                   SearchLimits limits) {
  EnginePath path = Search(model, candidates, limits);
  if (!HasTargetTwice(path))
    return path;
  // Two hops that follow one another on one target are one hop.
  std::vector<Hop> joined;
  for (const Hop& it : path.hops) {
    if (!joined.empty() && joined.back().target == it.target)
      joined.back().layers.to = it.layers.to;
    else
      joined.push_back(it);
  }
  path.hops = std::move(joined);
  if (!HasTargetTwice(path))
    return path;
  // Hops that end where their targets' layers end cannot come back to one.
  limits.whole_hops = true;
  path = Search(model, candidates, limits);
  return HasTargetTwice(path) ? EnginePath() : path;
}

EnginePath PathChooser::Search(const EngineModel& model,
                               const std::vector<Candidate>& candidates,
                               const SearchLimits& limits) {
  if (candidates.empty())
    return {};
  const bool across_zones = limits.across_zones;
  // Shortest path over (layer reached, candidate used last), layers ascending.
  struct Arrival {
    double cost = kUnreached;
    int candidate = -1;
    int from = 0;
  };
  const int layers = model.layers;
  std::vector<char> is_cut(layers + 1, 0);
  for (const Candidate& it : candidates) {
    is_cut[std::clamp(it.layers.from, 0, layers)] = 1;
    is_cut[std::clamp(it.layers.to, 0, layers)] = 1;
  }
  const int zone_count = [&] {
    int n = 0;
    for (const Candidate& it : candidates)
      n = std::max(n, it.zone + 1);
    return across_zones ? n : 1;
  }();
  // best[layer][zone of the hop that reached it]
  std::vector<std::vector<Arrival>> best(layers + 1,
                                         std::vector<Arrival>(zone_count));
  for (Arrival& it : best[limits.from])
    it.cost = 0;
  for (int at = limits.from; at < layers; ++at) {
    double cheapest = kUnreached;
    for (const Arrival& it : best[at])
      cheapest = std::min(cheapest, it.cost);
    if (cheapest == kUnreached)
      continue;
    for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
      const Candidate& it = candidates[index];
      const LayerRange& held = it.layers;
      if (at < held.from || at >= held.to || (it.is_kept && at > held.from))
        continue;
      if (at == 0 && !it.may_begin && !limits.ignores_slots)
        continue;
      if (it.is_overdue && !limits.ignores_backlog)
        continue;
      const int zone = across_zones ? it.zone : 0;
      double cost = best[at][zone].cost;
      if (at > limits.from)
        cost = std::min(cost, cheapest + kCrossingMs);
      if (cost == kUnreached)
        continue;
      for (int end = at + 1; end <= std::min(held.to, layers); ++end) {
        if (!is_cut[end])
          continue;
        if (limits.tokens * (end - at) > it.room_token_layers)
          break;
        if ((limits.whole_hops || it.is_kept) &&
            end < std::min(held.to, layers))
          continue;
        const double total = cost + it.hop_ms + it.layer_ms * (end - at) +
                             (at == 0 ? it.begin_ms : 0);
        Arrival& arrival = best[end][zone];
        if (total >= arrival.cost)
          continue;
        arrival = {total, index, at};
      }
    }
  }
  EnginePath path;
  int zone = 0;
  for (int it = 1; it < zone_count; ++it) {
    if (best[layers][it].cost < best[layers][zone].cost)
      zone = it;
  }
  if (best[layers][zone].cost == kUnreached)
    return path;
  path.token_ms = best[layers][zone].cost;
  int at = layers;
  while (at > limits.from) {
    // The arrival's hop began either in the same zone or after a crossing.
    const Arrival& arrival = best[at][zone];
    const Candidate& it = candidates[arrival.candidate];
    path.hops.push_back({it.target, {arrival.from, at}});
    path.read_ms += it.read_ms;
    at = arrival.from;
    if (at == limits.from)
      break;
    int previous = zone;
    for (int other = 0; other < zone_count; ++other) {
      const double crossing = other == zone ? 0 : kCrossingMs;
      const double kept = previous == zone ? 0 : kCrossingMs;
      if (best[at][other].cost + crossing < best[at][previous].cost + kept)
        previous = other;
    }
    zone = previous;
  }
  std::reverse(path.hops.begin(), path.hops.end());
  return path;
}

}  // namespace bbv
