#include "bbv_fleet/target_selector.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace bbv {
namespace {

// Assumed duration of a plain call before any was measured.
constexpr double kUnknownAnswerMs = 50;
// Penalty for targets in another zone.
constexpr double kOtherZoneMs = 2;
// Weight of a target's failure rate in its expected wait.
constexpr double kFailureFactor = 6;
// Maximum prefill backlog as a share of the call's objective. Callers
// disconnect after a small multiple of that, and what is prefilled for them is
// wasted.
constexpr double kMaxBacklogShare = 1.0;
// How soon a rate limit must leave this entry a request for calls to wait.
constexpr Milliseconds kMaxAllowanceWait{400};
// Calls that may queue at a plain target beyond its slots.
constexpr int kMaxQueuedAtTarget = 3;

double TokensOf(const CallRequest& request) {
  return request.prompt_tokens + request.output_tokens;
}

bool Contains(const std::vector<std::string>& list, const std::string& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

}  // namespace

TargetSelector::TargetSelector(TargetRegistry* registry, std::string zone)
    : registry_(registry), zone_(std::move(zone)), path_chooser_(registry) {
  assert(registry != nullptr);
}

std::optional<CallDispatch> TargetSelector::Select(
    const FleetIndex& index,
    const CallRequest& request,
    const std::vector<std::string>& excluded,
    uint64_t random_value,
    Instant now,
    CallEndReason* end,
    const RoomLimits& limits) {
  assert(end != nullptr);
  last_failure_ = PathFailure::kNone;
  const ServiceDescription* service = index.FindService(request.service);
  if (service != nullptr && service->engine)
    return SelectPath(*service->engine, request, excluded, random_value, now,
                      end, limits);
  return SelectTarget(request, excluded, random_value, now, end, limits);
}

std::optional<CallDispatch> TargetSelector::SelectPath(
    const EngineModel& model,
    const CallRequest& request,
    const std::vector<std::string>& excluded,
    uint64_t random_value,
    Instant now,
    CallEndReason* end,
    const RoomLimits& limits) {
  PathQuery query = MakeQuery(request, excluded, random_value);
  // Active streams lose more by waiting elsewhere than by queueing.
  if (request.last_event == kNoEvent && excluded.empty())
    query.max_backlog_ms =
        kMaxBacklogShare * (limits.max_backlog_ms > 0
                                ? limits.max_backlog_ms
                                : request.route->objective_ms);
  query.kept_share = limits.kept_share;
  query.allow_zone_crossing =
      zone_link_limiter_.HasCapacity(now, limits.kept_link_share);
  const EnginePath path =
      path_chooser_.Choose(model, query, now, &last_failure_);
  if (path.empty()) {
    *end = last_failure_ == PathFailure::kLayersMissing
               ? CallEndReason::kNoTarget
           : last_failure_ == PathFailure::kRateLimit
               ? RateLimitEnd(request.service, now)
               : CallEndReason::kNoRoom;
    return std::nullopt;
  }
  CallDispatch dispatch = MakeDispatch(model, path, request);
  dispatch.link_ms = PathChooser::LinkMs(model, path, request.prompt_tokens);
  // After a fault every entry resends its streams at the same time and learns
  // of the load of the others only later.
  dispatch.unread_tokens =
      request.prompt_tokens * (excluded.empty() ? 1 : entries_);
  return dispatch;
}

RerouteChoice TargetSelector::SelectReroute(
    const FleetIndex& index,
    const CallRequest& request,
    const CallDispatch& current,
    const StreamProgress& progress,
    const std::vector<std::string>& excluded,
    uint64_t random_value,
    Instant now) const {
  const ServiceDescription* service = index.FindService(request.service);
  if (service == nullptr || !service->engine || current.layers.empty())
    return {};
  const LostStream stream = MakeLostStream(index, request, progress);
  // A stream that still gets its events on the old path is not in a hurry.
  const bool is_urgent =
      progress.is_broken && request.route->event_gap_objective_ms > 0;
  PathQuery query = MakeQuery(request, excluded, random_value);
  query.prompt_tokens = stream.unread_tokens;
  if (is_urgent)
    query.max_prefill_ms = RemainingMilliseconds(stream.event_deadline, now);
  std::vector<CurrentHop> hops;
  for (std::size_t it = 0; it < current.layers.size(); ++it)
    hops.push_back({current.hop_ids[it], current.layers[it]});
  const EnginePath path =
      path_chooser_.Reroute(*service->engine, query, hops, now);
  if (path.empty())
    return {};
  RerouteChoice choice;
  if (is_urgent) {
    choice.search_again_at =
        RecoverySchedule::HoldUntil(stream, path.prefill_ms, now);
  }
  if (choice.search_again_at)
    return choice;
  CallDispatch dispatch = MakeDispatch(*service->engine, path, request);
  // Hops that stay do not prefill again; the prefill of the others is short.
  dispatch.event_ms = std::max(dispatch.event_ms, current.event_ms);
  dispatch.prefilled_hop_ids = current.hop_ids;
  if (request.route->event_gap_objective_ms > 0) {
    dispatch.unread_tokens = stream.unread_tokens;
    dispatch.expected_peer_tokens =
        stream.unread_tokens * (LostStreamsFactor(current, dispatch) - 1);
  }
  choice.path = std::move(dispatch);
  return choice;
}

LostStream TargetSelector::MakeLostStream(const FleetIndex& index,
                                          const CallRequest& request,
                                          const StreamProgress& progress) {
  const ServiceDescription* service = index.FindService(request.service);
  const double tokens_per_event = service != nullptr && service->engine
                                      ? service->engine->tokens_per_event
                                      : 0;
  // Events are numbered from 0.
  const auto events = static_cast<double>(progress.last_event + 1);
  LostStream stream;
  stream.priority = request.priority;
  stream.unread_tokens = request.prompt_tokens + events * tokens_per_event;
  stream.event_deadline = progress.event_deadline;
  return stream;
}

double TargetSelector::LostStreamsFactor(const CallDispatch& current,
                                         const CallDispatch& next) const {
  const double entries = std::max(1, entries_);
  // Without news of them, peers are assumed to have lost as many.
  if (!registry_->HasPeerLoads())
    return entries;
  double factor = 1;
  for (const std::string& it : current.hop_ids) {
    const FleetTarget* lost =
        Contains(next.hop_ids, it) ? nullptr : registry_->Find(it);
    if (lost != nullptr && lost->own_calls > 0) {
      factor = std::max(
          factor, 1 + static_cast<double>(lost->peer_calls) / lost->own_calls);
    }
  }
  return std::min(factor, entries);
}

CallDispatch TargetSelector::NewHops(const CallDispatch& path) {
  CallDispatch part;
  part.tokens = path.tokens;
  part.unread_tokens = path.unread_tokens;
  part.expected_peer_tokens = path.expected_peer_tokens;
  for (std::size_t it = 0; it < path.hop_ids.size(); ++it) {
    if (Contains(path.prefilled_hop_ids, path.hop_ids[it]))
      continue;
    part.hop_ids.push_back(path.hop_ids[it]);
    part.layers.push_back(path.layers[it]);
  }
  return part;
}

PathQuery TargetSelector::MakeQuery(const CallRequest& request,
                                    const std::vector<std::string>& excluded,
                                    uint64_t random_value) const {
  PathQuery query;
  query.service = request.service;
  query.zone = zone_;
  query.tokens = TokensOf(request);
  query.prompt_tokens = request.prompt_tokens;
  query.objective_ms = static_cast<double>(request.route->objective_ms);
  query.excluded = &excluded;
  query.random_value = random_value;
  return query;
}

CallDispatch TargetSelector::MakeDispatch(const EngineModel& model,
                                          const EnginePath& path,
                                          const CallRequest& request) {
  CallDispatch dispatch;
  dispatch.target_id = path.hops.front().target->record.id;
  dispatch.target_address = path.hops.front().target->record.address;
  dispatch.target_started_unix_ms =
      path.hops.front().target->record.started_unix_ms;
  for (const Hop& it : path.hops) {
    dispatch.layers.push_back(it.layers);
    dispatch.hop_ids.push_back(it.target->record.id);
    dispatch.hop_addresses.push_back(it.target->record.address);
  }
  dispatch.tokens = TokensOf(request);
  dispatch.event_ms = model.tokens_per_event * path.token_ms;
  return dispatch;
}

std::optional<CallDispatch> TargetSelector::SelectTarget(
    const CallRequest& request,
    const std::vector<std::string>& excluded,
    uint64_t random_value,
    Instant now,
    CallEndReason* end,
    const RoomLimits& limits) const {
  const FleetTarget* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  bool has_candidate = false;
  bool has_limited_target = false;
  for (const auto& [id, row] : registry_->rows()) {
    const FleetTarget& target = *row;
    if (target.record.service != request.service ||
        !registry_->AcceptsCalls(target, now) || Contains(excluded, id))
      continue;
    if (!target.rate_limit.HasAllowance(now)) {
      has_limited_target = true;
      continue;
    }
    has_candidate = true;
    const int calls = target.own_calls + target.peer_calls;
    const int slots = std::max(1, target.record.slots);
    if (calls + 1 > (slots + kMaxQueuedAtTarget) * (1 - limits.kept_share))
      continue;
    random_value =
        random_value * 6364136223846793005ULL + 1442695040888963407ULL;
    const double base_ms =
        target.answer_ms > 0 ? target.answer_ms : kUnknownAnswerMs;
    const double zone = target.record.zone == zone_ ? 0 : kOtherZoneMs;
    const double spread = static_cast<double>(random_value >> 60U) / 16;
    const double expected_ms = base_ms *
                                   (1 + static_cast<double>(calls) / slots) *
                                   (1 + kFailureFactor * target.failure_rate) +
                               zone + spread;
    if (expected_ms < best_ms) {
      best_ms = expected_ms;
      best = &target;
    }
  }
  if (best == nullptr) {
    *end = has_candidate        ? CallEndReason::kNoRoom
           : has_limited_target ? RateLimitEnd(request.service, now)
                                : CallEndReason::kNoTarget;
    return std::nullopt;
  }
  CallDispatch dispatch;
  dispatch.target_id = best->record.id;
  dispatch.target_address = best->record.address;
  dispatch.target_started_unix_ms = best->record.started_unix_ms;
  dispatch.hop_ids.push_back(best->record.id);
  dispatch.hop_addresses.push_back(best->record.address);
  return dispatch;
}

CallEndReason TargetSelector::RateLimitEnd(std::string_view service,
                                           Instant now) const {
  const auto next = registry_->EarliestAllowance(service, now);
  return next && *next <= now + kMaxAllowanceWait ? CallEndReason::kNoRoom
                                                  : CallEndReason::kRateLimit;
}

void TargetSelector::SetEntries(int entries) {
  entries_ = entries;
  zone_link_limiter_.SetEntries(entries);
}

void TargetSelector::AddInFlight(const CallDispatch& dispatch) {
  zone_link_limiter_.Consume(dispatch.link_ms);
  for (std::size_t it = 0; it < dispatch.hop_ids.size(); ++it) {
    FleetTarget* target = registry_->Find(dispatch.hop_ids[it]);
    if (target == nullptr)
      continue;
    ++target->own_calls;
    if (it < dispatch.layers.size())
      target->own_token_layers += dispatch.tokens * dispatch.layers[it].size();
    if (Contains(dispatch.prefilled_hop_ids, dispatch.hop_ids[it]))
      continue;
    target->own_unread_tokens += dispatch.unread_tokens;
    target->expected_peer_tokens += dispatch.expected_peer_tokens;
  }
}

void TargetSelector::MarkPromptRead(CallDispatch* dispatch) {
  const double tokens = std::exchange(dispatch->unread_tokens, 0);
  const double expected = std::exchange(dispatch->expected_peer_tokens, 0);
  if (tokens == 0)
    return;
  for (const std::string& id : dispatch->hop_ids) {
    FleetTarget* target = registry_->Find(id);
    if (target == nullptr || Contains(dispatch->prefilled_hop_ids, id))
      continue;
    target->own_unread_tokens =
        std::max(0.0, target->own_unread_tokens - tokens);
    target->expected_peer_tokens =
        std::max(0.0, target->expected_peer_tokens - expected);
  }
}

void TargetSelector::RemoveInFlight(CallDispatch* dispatch) {
  MarkPromptRead(dispatch);
  for (std::size_t it = 0; it < dispatch->hop_ids.size(); ++it) {
    FleetTarget* target = registry_->Find(dispatch->hop_ids[it]);
    if (target == nullptr)
      continue;
    // A row that was removed and added again meanwhile counts from zero.
    target->own_calls = std::max(0, target->own_calls - 1);
    if (it < dispatch->layers.size()) {
      target->own_token_layers =
          std::max(0.0, target->own_token_layers -
                            dispatch->tokens * dispatch->layers[it].size());
    }
  }
}

}  // namespace bbv
