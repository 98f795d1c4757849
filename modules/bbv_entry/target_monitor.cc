#include "bbv_entry/target_monitor.h"

#include <algorithm>

namespace bbv {
namespace {

constexpr Milliseconds kLayerCheckInterval{100};
// If this entry fails to connect to more targets than both this number and a
// fifth of all targets within kUnreachedWindow, its own network is at fault.
constexpr std::size_t kMinUnreachedTargets = 4;
constexpr std::size_t kUnreachedTargetsDivisor = 5;
constexpr Milliseconds kUnreachedWindow{1500};

// Returns -1 for a fault that rests on no question.
int64_t AskedMillisecondsAgo(const TargetFault& fault, Instant now) {
  return fault.asked_at ? int64_t{RemainingMilliseconds(now, *fault.asked_at)}
                        : -1;
}

}  // namespace

TargetMonitor::TargetMonitor(const Parts& parts)
    : parts_(parts),
      fault_detector_(
          parts.client,
          parts.registry,
          [this](const TargetFault& fault) { OnTargetFault(fault); },
          [this](const std::string& id) { OnTargetLeaving(id); },
          [this](const std::string& id) { OnTargetRefuted(id); }) {}

void TargetMonitor::InvestigateStall(const RelayedCall& call, Instant now) {
  if (const CallDispatch* path = call.call().FindOverduePath(now))
    fault_detector_.InvestigateStall(path->target_id, now);
}

void TargetMonitor::OnTick(const std::vector<RelayedCall*>& calls,
                           Instant now) {
  ProbeSilentTargets(calls, now);
  fault_detector_.CheckSuspects(now);
  fault_detector_.CheckContested(now);
  LogClaimChanges(now);
  RerouteReleasedLayers(calls, now);
}

void TargetMonitor::OnTargetFault(const TargetFault& fault) {
  const Instant now = EventLoop::Now();
  FleetTarget* target = parts_.registry->Find(fault.target_id);
  if (target == nullptr)
    return;
  if (fault.IsDisprovedBy(LastContact(*target))) {
    DoubtFault(fault, now);
    return;
  }
  if (!fault.confirmed_by_target && IsLocalNetworkFault(fault.target_id, now))
    return;
  if (parts_.registry->IsUsable(*target, now))
    SuspectTarget(target, fault, now);
  if (const auto address = ParseSocketAddress(target->record.address))
    parts_.client->CloseIdleConnections(*address);
  for (RelayedCall* it : parts_.calls->ListByUrgency(now))
    it->OnPathFault(fault.target_id, now);
}

void TargetMonitor::OnMisdirected(const CallDispatch& dispatch) {
  const FleetTarget* target = parts_.registry->Find(dispatch.target_id);
  if (target == nullptr || target->record.address != dispatch.target_address)
    return;
  // Without another claim, layers are the likely reason.
  if (dispatch.layers.empty() || parts_.registry->HasNamedRival(*target))
    OnTargetRefuted(dispatch.target_id);
}

void TargetMonitor::OnTargetRefuted(const std::string& target_id) {
  const Instant now = EventLoop::Now();
  FleetTarget* target = parts_.registry->Find(target_id);
  if (target == nullptr)
    return;
  const bool was_replaced = parts_.registry->Refute(target, now);
  if (!was_replaced && parts_.registry->IsUsable(*target, now))
    SuspectTarget(target, {target_id, "another process has its address"}, now);
}

void TargetMonitor::LogClaimChanges(Instant now) {
  for (const ClaimChange& it : parts_.registry->TakeClaimChanges()) {
    parts_.log->Write(Event::kTargetReplaced, now,
                      {{"target", it.displaced_id},
                       {"address", it.displaced_address},
                       {"by", it.target_id},
                       {"by_address", it.address},
                       {"refuted", it.was_refuted}});
  }
}

void TargetMonitor::CheckRefusalCause(const std::string& target_id) {
  const FleetTarget* target = parts_.registry->Find(target_id);
  if (target == nullptr || parts_.configuration->current() == nullptr)
    return;
  const ServiceDescription* service =
      parts_.configuration->current()->FindService(target->record.service);
  const double capacity =
      service != nullptr && service->engine
          ? PathChooser::CapacityTokenLayers(*service->engine, *target)
          : 0;
  fault_detector_.InvestigateRefusal(target_id, capacity, EventLoop::Now());
}

void TargetMonitor::ProbeSilentTargets(const std::vector<RelayedCall*>& calls,
                                       Instant now) {
  std::vector<StreamActivity> streams;
  streams.reserve(calls.size());
  for (const RelayedCall* it : calls) {
    const CallDispatch& path = it->call().dispatch();
    if (const auto last_event_time = it->call().last_event_time();
        last_event_time && !it->is_paused())
      streams.push_back({&path.hop_ids, *last_event_time, path.event_ms});
  }
  for (const std::string& it : StallDetector::FindSuspects(streams, now))
    fault_detector_.Probe(it, now);
}

void TargetMonitor::RerouteReleasedLayers(
    const std::vector<RelayedCall*>& calls,
    Instant now) {
  if (now < next_layer_check_)
    return;
  next_layer_check_ = now + kLayerCheckInterval;
  for (RelayedCall* call : calls) {
    const CallDispatch& path = call->call().dispatch();
    bool released = false;
    for (std::size_t it = 1; it < path.layers.size(); ++it) {
      const FleetTarget* target = parts_.registry->Find(path.hop_ids[it]);
      released =
          released || (target != nullptr &&
                       (!target->record.layers ||
                        !target->record.layers->Contains(path.layers[it])));
    }
    if (released)
      call->OnLayersReleased(now);
  }
}

void TargetMonitor::DoubtFault(const TargetFault& fault, Instant now) {
  parts_.log->Write(Event::kTargetFaultDoubted, now,
                    {{"target", fault.target_id},
                     {"evidence", fault.evidence},
                     {"asked_ms_ago", AskedMillisecondsAgo(fault, now)}});
  // The target works, but calls that stand still may have lost their way to it.
  for (RelayedCall* it : parts_.calls->List()) {
    if (it->call().IsStalled(now))
      it->OnPathFault(fault.target_id, now);
  }
}

Instant TargetMonitor::LastContact(const FleetTarget& target) const {
  Instant last = target.heard_at;
  for (const RelayedCall* call : parts_.calls->List()) {
    const auto& hops = call->call().dispatch().hop_ids;
    const auto event = call->call().last_event_time();
    // Reading of a paused answer depends on its caller alone.
    if (event && !call->is_paused() && *event > last &&
        std::find(hops.begin(), hops.end(), target.record.id) != hops.end())
      last = *event;
  }
  return last;
}

bool TargetMonitor::IsLocalNetworkFault(const std::string& target_id,
                                        Instant now) {
  std::erase_if(unreached_targets_, [now](const auto& it) {
    return now > it.second + kUnreachedWindow;
  });
  unreached_targets_[target_id] = now;
  const std::size_t bound =
      std::max(kMinUnreachedTargets,
               parts_.registry->rows().size() / kUnreachedTargetsDivisor);
  return unreached_targets_.size() > bound;
}

void TargetMonitor::SuspectTarget(FleetTarget* target,
                                  const TargetFault& fault,
                                  Instant now) {
  const Instant until = parts_.registry->Suspect(target, now);
  if (fault.asked_at)
    parts_.registry->RecordCheck(target, /*answered=*/false);
  parts_.log->Write(
      Event::kTargetSuspected, now,
      {{"target", target->record.id},
       {"evidence", fault.evidence},
       {"asked_ms_ago", AskedMillisecondsAgo(fault, now)},
       {"heard_ms_ago",
        int64_t{RemainingMilliseconds(now, LastContact(*target))}},
       {"for_ms", static_cast<int64_t>(RemainingMilliseconds(until, now))}});
  // Peers check the target themselves before they act on this.
  parts_.peers->AnnounceFault(*target, fault.evidence);
}

void TargetMonitor::OnTargetLeaving(const std::string& target_id) {
  const Instant now = EventLoop::Now();
  FleetTarget* target = parts_.registry->Find(target_id);
  if (target == nullptr || !parts_.registry->IsUsable(*target, now))
    return;
  // Streams that the target serves continue there; only new calls and the
  // planner avoid it.
  SuspectTarget(target, {target_id, "turns calls away with memory to spare"},
                now);
}

void TargetMonitor::ApplyLeaving(FleetTarget* target, Instant now) {
  const std::string& id = target->record.id;
  if (!parts_.registry->MarkLeaving(id, target->record.started_unix_ms))
    return;
  parts_.log->Write(Event::kTargetLeaves, now,
                    {{"target", id}, {"evidence", "its answer"}});
  parts_.peers->AnnounceLeaving(*target);
}

void TargetMonitor::ApplyRetryAfter(FleetTarget* target,
                                    const platform::TargetNotice& notice,
                                    Instant now) {
  const Milliseconds retry_after = notice.retry_after.value_or(Milliseconds(0));
  parts_.registry->SetBackoff(target, now + retry_after);
  parts_.log->Write(Event::kTargetRests, now,
                    {{"target", target->record.id},
                     {"for_ms", static_cast<int64_t>(retry_after.count())},
                     {"odd", notice.retry_after_invalid}});
}

void TargetMonitor::OnRequestSending(const std::string& address) {
  if (FleetTarget* target = parts_.registry->FindAnswering(address))
    target->rate_limit.RecordRequest(EventLoop::Now());
}

void TargetMonitor::OnBytesReceived(const std::string& address,
                                    std::size_t bytes) {
  parts_.congestion->RecordReceived(bytes);
  if (FleetTarget* target = parts_.registry->FindAddress(address))
    target->heard_at = EventLoop::Now();
}

void TargetMonitor::OnConnected(const std::string&, Milliseconds took) {
  parts_.congestion->RecordConnect(took);
}

void TargetMonitor::OnHeadReceived(const std::string& address,
                                   const HttpHead& head,
                                   std::optional<Instant> sent_at) {
  FleetTarget* target = parts_.registry->FindAnswering(address);
  if (target == nullptr)
    return;
  const platform::TargetNotice notice = platform::DecodeNotice(head);
  if (!notice.is_from_target)
    return;
  const Instant now = EventLoop::Now();
  parts_.rate_limits->OnResponse(target, notice, sent_at, now);
  if (notice.leaving)
    ApplyLeaving(target, now);
  if (notice.retry_after || notice.retry_after_invalid)
    ApplyRetryAfter(target, notice, now);
}

void TargetMonitor::OnMalformedResponse(const std::string& address,
                                        MessageFault fault) {
  const FleetTarget* target = parts_.registry->FindAnswering(address);
  parts_.log->Write(Event::kAnswerMalformed, EventLoop::Now(),
                    {{"address", address},
                     {"target", target == nullptr ? "" : target->record.id},
                     {"fault", std::string(kMessageFaultNames.Name(fault))}});
}

}  // namespace bbv
