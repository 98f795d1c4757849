#include "bbv_entry/path_change.h"

#include <utility>

#include "bbv_entry/call_format.h"

namespace bbv {

RerouteChoice PathChange::Choose(const FleetIndex& index,
                                 const CallDispatch& current,
                                 const StreamProgress& progress,
                                 const std::vector<std::string>& excluded,
                                 Instant now) {
  const CallRequest& request = call_->request();
  RerouteChoice choice = context_->selector->SelectReroute(
      index, request, current, progress, excluded, (*context_->random)(), now);
  if (!choice.search_again_at || held_since_)
    return choice;
  held_since_ = now;
  context_->log->Write(Event::kStreamHeld, now,
                       {{"id", request.attempt_id},
                        {"service", request.service},
                        {"event_due_ms", int64_t{RemainingMilliseconds(
                                             progress.event_deadline, now)}},
                        {"last_event", progress.last_event}});
  return choice;
}

void PathChange::OnOrdered(const CallDispatch& path, Instant now) {
  Release();
  reserved_ = TargetSelector::NewHops(path);
  context_->selector->AddInFlight(reserved_);
  moved_at_ = now;
}

void PathChange::Release() {
  if (reserved_.hop_ids.empty())
    return;
  context_->selector->RemoveInFlight(&reserved_);
  reserved_ = {};
}

void PathChange::OnEvent(CallDispatch* path,
                         Instant last_relayed,
                         Instant now) {
  const bool is_first_after_change =
      path->unread_tokens > 0 && !path->prefilled_hop_ids.empty();
  if (is_first_after_change && last_relayed != Instant{})
    RecordMoved(*path, last_relayed, now);
  held_since_.reset();
  context_->selector->MarkPromptRead(path);
}

void PathChange::RecordMoved(const CallDispatch& path,
                             Instant last_relayed,
                             Instant now) {
  const CallRequest& request = call_->request();
  const Milliseconds objective(request.route->event_gap_objective_ms);
  const auto held_since = std::exchange(held_since_, std::nullopt);
  if (objective <= Milliseconds(0))
    return;
  const bool is_in_time = now - last_relayed <= objective;
  context_->metrics->CountMoved(request.service, is_in_time);
  const CallDispatch new_hops = TargetSelector::NewHops(path);
  context_->log->Write(
      Event::kStreamMoved, now,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"to", new_hops.hop_ids.empty() ? "" : new_hops.hop_ids.front()},
       {"tokens", path.unread_tokens},
       {"pause_ms", MillisecondsBetween(last_relayed, now)},
       {"in_time", is_in_time},
       {"held_ms",
        held_since ? MillisecondsBetween(*held_since, moved_at_) : 0.0},
       {"moving_ms", MillisecondsBetween(moved_at_, now)}});
}

}  // namespace bbv
