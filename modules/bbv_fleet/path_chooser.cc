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

// Forwarding cost of each hop, in milliseconds per token.
constexpr double kForwardingMs = 0.1;
// Penalty for a path in another zone, in milliseconds per token, so that it is
// used only if the caller's own zone is loaded or incomplete.
constexpr double kOtherZoneMs = 8.0;
// The same penalty for a hop from one zone to another within a path.
constexpr double kCrossingMs = 20.0;
// Factor by which a target without free memory counts as slower than an empty
// one.
constexpr double kFullTargetFactor = 3.0;
// Relative random variation that spreads calls over equal targets.
constexpr double kRandomSpread = 0.1;
// Penalty for starting at a target whose slots are all taken, in milliseconds
// per token; it spreads calls over all targets that can be the first hop.
constexpr double kTakenSlotsPenaltyMs = 4;
// Cost in milliseconds per token for each millisecond of prefill backlog. It
// spreads calls that arrive at once, as after a crash, over all copies.
constexpr double kBacklogWeight = 1.0 / 100;
// Penalty for a path on which the first event would miss its objective, in
// milliseconds per token; more than the cost of any path.
constexpr double kLatePenaltyMs = 1000;
constexpr double kBytesInMegabyte = 1e6;
// Bits that a link of 1 Mbit/s transmits in a millisecond.
constexpr double kBitsInMegabitMs = 1e3;
// Factor on the cost of a hop that the call uses already when another hop is
// replaced: only such a hop need not prefill the call's tokens again.
constexpr double kCurrentHopFactor = 0.1;
constexpr double kInfinity = std::numeric_limits<double>::infinity();

EngineShare MakeEngineShare(const EngineModel& model,
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

// Returns the time in milliseconds for the prefill of `tokens` at a rate of
// `tokens_per_ms`; 0 if the rate is unknown.
double PrefillMs(double tokens_per_ms, double tokens) {
  return tokens_per_ms > 0 ? tokens / tokens_per_ms : 0;
}

}  // namespace

PathChooser::PathChooser(TargetRegistry* registry) : registry_(registry) {
  assert(registry != nullptr);
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
    return kInfinity;
  return std::max(0.0, free_mb * kBytesInMegabyte / bytes_per_token_layer);
}

std::vector<PathChooser::Candidate> PathChooser::CollectCandidates(
    const EngineModel& model,
    const PathQuery& query,
    Instant now,
    bool include_full) const {
  std::vector<Candidate> candidates;
  uint64_t random_value = query.random_value;
  for (const auto& [id, row] : registry_->rows()) {
    FleetTarget* target = row.get();
    if (target->record.service != query.service || !target->record.layers ||
        IsExcluded(query, id))
      continue;
    if (!query.only_zone.empty() && target->record.zone != query.only_zone)
      continue;
    if (include_full ? !registry_->IsUsable(*target, now)
                     : !registry_->AcceptsCalls(*target, now))
      continue;
    const AcceleratorKind* kind = model.FindKind(target->record.accelerator);
    if (kind == nullptr)
      continue;
    const double capacity = CapacityTokenLayers(model, *target);
    const double used = target->UsedTokenLayers(now);
    const double load = capacity > 0 ? std::min(1.0, used / capacity) : 1.0;
    random_value = CombineHashes(random_value, candidates.size());
    const double spread =
        1 + kRandomSpread * static_cast<double>(random_value % 1024) / 1024;
    Candidate candidate;
    candidate.target = target;
    candidate.layers = *target->record.layers;
    candidate.has_allowance = target->rate_limit.HasAllowance(now);
    const EngineShare share = MakeEngineShare(model, *kind, *target, now);
    const double step_ms = EngineTiming::StepMs(model, share);
    candidate.layer_ms = step_ms / std::max(1, target->record.layers->size()) *
                         (1 + (kFullTargetFactor - 1) * load * load) *
                         (1 + 4 * target->failure_rate) * spread;
    const double prefill_rate = EngineTiming::PrefillTokensPerMs(model, share);
    const double backlog_ms = PrefillMs(prefill_rate, target->UnreadTokens());
    candidate.prefill_ms =
        backlog_ms + PrefillMs(prefill_rate, query.prompt_tokens);
    // At a busy target a token waits for the current pass to end.
    candidate.hop_ms = kForwardingMs +
                       EngineTiming::MeanPassesWaited(share) * step_ms +
                       kBacklogWeight * backlog_ms;
    candidate.exceeds_backlog =
        query.max_backlog_ms > 0 && backlog_ms > query.max_backlog_ms;
    // Calls that outgrew their estimates may exceed the capacity; free memory
    // is not negative then.
    candidate.free_token_layers =
        std::max(0.0, capacity * (1 - query.kept_share) - used);
    if (model.first_hop_slots > 0 && candidate.layers.from == 0) {
      const double taken = share.calls / model.first_hop_slots;
      candidate.has_first_hop_slot = taken < 1 - query.kept_share;
      candidate.first_hop_ms = kTakenSlotsPenaltyMs * taken * taken;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

PathChooser::ZoneCandidates PathChooser::GroupByZone(
    const std::vector<Candidate>& candidates) {
  ZoneCandidates zones;
  for (const Candidate& it : candidates)
    zones[it.target->record.zone].push_back(it);
  return zones;
}

EnginePath PathChooser::Choose(const EngineModel& model,
                               const PathQuery& query,
                               Instant now,
                               PathFailure* failure) const {
  assert(failure != nullptr);
  std::vector<Candidate> all = CollectCandidates(model, query, now);
  const ZoneCandidates zones = GroupByZone(all);
  EnginePath best;
  double best_ms = kInfinity;
  for (const auto& [zone, candidates] : zones) {
    EnginePath path = SearchSimplePath(model, candidates, {query.tokens});
    const double zone_penalty_ms = zone == query.zone ? 0 : kOtherZoneMs;
    const bool is_late =
        query.objective_ms > 0 && path.prefill_ms > query.objective_ms;
    const double cost =
        path.token_ms + zone_penalty_ms + (is_late ? kLatePenaltyMs : 0);
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
  if (query.allow_zone_crossing)
    best = SearchSimplePath(model, all, {query.tokens, /*across_zones=*/true});
  if (!best.empty())
    return best;
  *failure = DiagnoseFailure(model, all, query, now);
  return best;
}

PathFailure PathChooser::DiagnoseFailure(
    const EngineModel& model,
    const std::vector<Candidate>& candidates,
    const PathQuery& query,
    Instant now) const {
  SearchLimits limits;
  limits.tokens = query.tokens;
  limits.across_zones = true;
  if (!query.allow_zone_crossing &&
      !SearchSimplePath(model, candidates, limits).empty())
    return DiagnoseZones(model, query, now);
  limits.ignores_rate_limits = true;
  if (!SearchSimplePath(model, candidates, limits).empty())
    return PathFailure::kRateLimit;
  limits.ignores_slots = true;
  if (!SearchSimplePath(model, candidates, limits).empty())
    return PathFailure::kFirstSlots;
  limits.ignores_backlog = true;
  if (!SearchSimplePath(model, candidates, limits).empty())
    return PathFailure::kUnreadPrompts;
  limits.tokens = 0;
  const std::vector<Candidate> held =
      CollectCandidates(model, query, now, true);
  return SearchSimplePath(model, held, limits).empty()
             ? PathFailure::kLayersMissing
             : PathFailure::kMemory;
}

PathFailure PathChooser::DiagnoseZones(const EngineModel& model,
                                       const PathQuery& query,
                                       Instant now) const {
  const ZoneCandidates zones =
      GroupByZone(CollectCandidates(model, query, now, true));
  const auto has_path = [&](const SearchLimits& limits) {
    return std::any_of(zones.begin(), zones.end(), [&](const auto& zone) {
      return !SearchSimplePath(model, zone.second, limits).empty();
    });
  };
  SearchLimits limits{query.tokens};
  limits.ignores_backlog = true;
  if (has_path(limits))
    return PathFailure::kUnreadPrompts;
  limits.ignores_slots = true;
  if (has_path(limits))
    return PathFailure::kFirstSlots;
  limits.tokens = 0;
  return has_path(limits) ? PathFailure::kMemory : PathFailure::kCrossing;
}

EnginePath PathChooser::Reroute(const EngineModel& model,
                                const PathQuery& query,
                                const std::vector<CurrentHop>& current,
                                Instant now) const {
  assert(!current.empty());
  FleetTarget* first = registry_->Find(current.front().target_id);
  // The request to change the path is sent to the first target.
  if (first == nullptr || !first->AcceptsRequests(now) ||
      IsExcluded(query, current.front().target_id))
    return {};
  PathQuery zone_query = query;
  zone_query.only_zone = first->record.zone;
  std::vector<Candidate> candidates = CollectCandidates(model, zone_query, now);
  std::erase_if(candidates,
                [first](const Candidate& it) { return it.target == first; });
  for (Candidate& it : candidates) {
    if (query.max_prefill_ms && it.prefill_ms > *query.max_prefill_ms)
      it.hop_ms += kLatePenaltyMs + it.prefill_ms;
  }
  for (auto it = current.begin() + 1; it != current.end(); ++it) {
    FleetTarget* target = registry_->Find(it->target_id);
    if (target == nullptr || IsExcluded(query, it->target_id) ||
        !registry_->IsUsable(*target, now) || !target->record.layers ||
        !target->record.layers->Contains(it->layers))
      continue;
    const AcceleratorKind* kind = model.FindKind(target->record.accelerator);
    if (kind == nullptr)
      continue;
    Candidate candidate;
    candidate.target = target;
    candidate.layers = it->layers;
    candidate.is_current = true;
    candidate.layer_ms =
        kCurrentHopFactor * model.step_ms * kind->step_factor / model.layers;
    candidate.free_token_layers = kInfinity;
    candidates.push_back(candidate);
  }
  SearchLimits limits{query.tokens};
  limits.from = current.front().layers.to;
  if (limits.from >= model.layers)
    return {};
  EnginePath path = SearchSimplePath(model, candidates, limits);
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

bool PathChooser::HasRepeatedTarget(const EnginePath& path) {
  std::set<const FleetTarget*> seen;
  for (const Hop& it : path.hops) {
    if (!seen.insert(it.target).second)
      return true;
  }
  return false;
}

EnginePath PathChooser::SearchSimplePath(
    const EngineModel& model,
    const std::vector<Candidate>& candidates,
    SearchLimits limits) {
  EnginePath path = Search(model, candidates, limits);
  if (!HasRepeatedTarget(path))
    return path;
  // Adjacent hops on the same target are one hop.
  std::vector<Hop> merged;
  for (const Hop& it : path.hops) {
    if (!merged.empty() && merged.back().target == it.target)
      merged.back().layers.to = it.layers.to;
    else
      merged.push_back(it);
  }
  path.hops = std::move(merged);
  if (!HasRepeatedTarget(path))
    return path;
  // If hops end only where their targets' layers end, no path can return to a
  // target.
  limits.whole_hops = true;
  path = Search(model, candidates, limits);
  return HasRepeatedTarget(path) ? EnginePath() : path;
}

EnginePath PathChooser::Search(const EngineModel& model,
                               const std::vector<Candidate>& candidates,
                               const SearchLimits& limits) {
  if (candidates.empty())
    return {};
  const bool across_zones = limits.across_zones;
  // Dynamic programming over (layer reached, zone of the last hop), in
  // ascending order of layers.
  struct Arrival {
    double cost = kInfinity;
    int candidate = -1;
    int from = 0;
  };
  const int layers = model.layers;
  std::vector<char> is_boundary(layers + 1, 0);
  for (const Candidate& it : candidates) {
    is_boundary[std::clamp(it.layers.from, 0, layers)] = 1;
    is_boundary[std::clamp(it.layers.to, 0, layers)] = 1;
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
  for (int layer = limits.from; layer < layers; ++layer) {
    double cheapest = kInfinity;
    for (const Arrival& it : best[layer])
      cheapest = std::min(cheapest, it.cost);
    if (cheapest == kInfinity)
      continue;
    for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
      const Candidate& it = candidates[index];
      const LayerRange& held = it.layers;
      if (layer < held.from || layer >= held.to ||
          (it.is_current && layer > held.from))
        continue;
      if (layer == 0 && !it.has_first_hop_slot && !limits.ignores_slots)
        continue;
      if (layer == 0 && !it.has_allowance && !limits.ignores_rate_limits)
        continue;
      if (it.exceeds_backlog && !limits.ignores_backlog)
        continue;
      const int zone = across_zones ? it.zone : 0;
      double cost = best[layer][zone].cost;
      if (layer > limits.from)
        cost = std::min(cost, cheapest + kCrossingMs);
      if (cost == kInfinity)
        continue;
      for (int end = layer + 1; end <= std::min(held.to, layers); ++end) {
        if (!is_boundary[end])
          continue;
        if (limits.tokens * (end - layer) > it.free_token_layers)
          break;
        if ((limits.whole_hops || it.is_current) &&
            end < std::min(held.to, layers))
          continue;
        const double total = cost + it.hop_ms + it.layer_ms * (end - layer) +
                             (layer == 0 ? it.first_hop_ms : 0);
        Arrival& arrival = best[end][zone];
        if (total >= arrival.cost)
          continue;
        arrival = {total, index, layer};
      }
    }
  }
  EnginePath path;
  int zone = 0;
  for (int it = 1; it < zone_count; ++it) {
    if (best[layers][it].cost < best[layers][zone].cost)
      zone = it;
  }
  if (best[layers][zone].cost == kInfinity)
    return path;
  path.token_ms = best[layers][zone].cost;
  int layer = layers;
  while (layer > limits.from) {
    // The hop of this arrival started either in the same zone or after a
    // crossing.
    const Arrival& arrival = best[layer][zone];
    const Candidate& it = candidates[arrival.candidate];
    path.hops.push_back({it.target, {arrival.from, layer}});
    path.prefill_ms += it.prefill_ms;
    layer = arrival.from;
    if (layer == limits.from)
      break;
    int previous = zone;
    for (int other = 0; other < zone_count; ++other) {
      const double crossing = other == zone ? 0 : kCrossingMs;
      const double kept = previous == zone ? 0 : kCrossingMs;
      if (best[layer][other].cost + crossing <
          best[layer][previous].cost + kept)
        previous = other;
    }
    zone = previous;
  }
  std::reverse(path.hops.begin(), path.hops.end());
  return path;
}

}  // namespace bbv
