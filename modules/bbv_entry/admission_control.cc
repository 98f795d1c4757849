#include "bbv_entry/admission_control.h"

#include <cassert>

#include "bbv_fleet/fleet_index.h"

namespace bbv {
namespace {

constexpr Milliseconds kReportInterval{1000};
constexpr double kPercent = 100;

double WorkOf(const CallRequest& request) {
  return request.prompt_tokens + request.output_tokens;
}

std::string PriorityLabel(const CallRequest& request) {
  return PriorityReservation::PriorityKeyText(PriorityKeyOf(request));
}

}  // namespace

int PriorityKeyOf(const CallRequest& request) {
  return FleetIndex::PriorityKey(*request.route, request.account);
}

AdmissionControl::AdmissionControl(DecisionLog* log, FleetMetrics* metrics)
    : log_(log), metrics_(metrics) {
  assert(log != nullptr && metrics != nullptr);
}

void AdmissionControl::OnArrival(const CallRequest& request, Instant now) {
  reservations_[request.service].RecordArrival(
      PriorityKeyOf(request), WorkOf(request), request.route->objective_ms,
      now);
}

void AdmissionControl::OnSent(const CallRequest& request, Instant now) {
  reservations_[request.service].RecordSent(PriorityKeyOf(request), now);
  retry_schedulers_[request.service].RecordAccepted(now);
  metrics_->CountAdmission(request.service, PriorityLabel(request),
                           AdmissionOutcome::kSent);
}

void AdmissionControl::OnResponse(const CallRequest& request,
                                  Milliseconds after) {
  reservations_[request.service].RecordResponse(after);
}

RoomLimits AdmissionControl::Limits(const CallRequest& request) {
  // Whoever continues a stream has been served part of it already.
  if (request.last_event != kNoEvent)
    return {};
  return reservations_[request.service].Limits(PriorityKeyOf(request),
                                               request.route->objective_ms);
}

void AdmissionControl::OnNoRoom(const CallRequest& request,
                                const RoomLimits& limits) {
  if (!limits.keeps_room())
    return;
  reservations_[request.service].RecordHeldBack(PriorityKeyOf(request), limits);
  metrics_->CountAdmission(request.service, PriorityLabel(request),
                           AdmissionOutcome::kHeldBack);
}

bool AdmissionControl::Wait(uint64_t id,
                            const CallRequest& request,
                            Instant deadline) {
  AdmissionQueue::CallParameters parameters;
  parameters.service = request.service;
  if (request.account != nullptr)
    parameters.account = request.account->name;
  parameters.priority = PriorityKeyOf(request);
  parameters.cost = WorkOf(request);
  parameters.deadline = deadline;
  const PriorityReservation& reservation = reservations_[request.service];
  if (reservation.HasSeveralPriorities()) {
    parameters.deadline = reservation.WaitDeadline(
        request.arrived, request.route->objective_ms, request.deadline);
    parameters.max_waiting =
        reservation.MaxWaiting(std::chrono::duration_cast<Milliseconds>(
            parameters.deadline - request.arrived));
  }
  return queue_.Add(id, parameters);
}

Milliseconds AdmissionControl::ReserveRetry(const CallRequest& request,
                                            Milliseconds min_delay,
                                            Milliseconds max_delay,
                                            Instant now) {
  metrics_->CountAdmission(request.service, PriorityLabel(request),
                           AdmissionOutcome::kRefused);
  return retry_schedulers_[request.service].ReserveDelay(
      min_delay, max_delay, now, PriorityKeyOf(request));
}

void AdmissionControl::OnTick(Instant now,
                              const AdmissionQueue::TrySend& try_send,
                              const AdmissionQueue::OnExpired& on_refused) {
  RefuseDisplaced(now, on_refused);
  queue_.OnTick(now, try_send, on_refused);
  LogKeptRoom(now);
}

void AdmissionControl::RefuseDisplaced(
    Instant now,
    const AdmissionQueue::OnExpired& on_refused) {
  for (const AdmissionQueue::Displacement& it : queue_.TakeDisplaced()) {
    log_->Write(
        Event::kCallDisplaced, now,
        {{"connection", static_cast<int64_t>(it.id)},
         {"service", it.service},
         {"priority", PriorityReservation::PriorityKeyText(it.priority)},
         {"urgent_priority",
          PriorityReservation::PriorityKeyText(it.urgent_priority)}});
    metrics_->CountAdmission(it.service,
                             PriorityReservation::PriorityKeyText(it.priority),
                             AdmissionOutcome::kDisplaced);
    on_refused(it.id);
  }
}

void AdmissionControl::LogKeptRoom(Instant now) {
  if (now < next_report_)
    return;
  next_report_ = now + kReportInterval;
  for (auto& [service, reservation] : reservations_) {
    for (const PriorityReservation::HeldBack& it : reservation.TakeReport()) {
      log_->Write(
          Event::kRoomKept, now,
          {{"service", service},
           {"priority", PriorityReservation::PriorityKeyText(it.priority)},
           {"held_back", int64_t{it.calls}},
           {"unread_prompts_ms",
            static_cast<int64_t>(it.limits.max_backlog_ms)},
           {"kept_percent",
            static_cast<int64_t>(kPercent * it.limits.kept_share)},
           {"kept_link_percent",
            static_cast<int64_t>(kPercent * it.limits.kept_link_share)}});
    }
  }
}

}  // namespace bbv
