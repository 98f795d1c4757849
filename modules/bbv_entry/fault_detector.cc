#include "bbv_entry/fault_detector.h"

#include <cassert>
#include <set>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kStallReportInterval{150};
constexpr Milliseconds kStallReportTimeout{300};
constexpr Milliseconds kRefusalReportInterval{200};
constexpr Milliseconds kProbeTimeout{70};
constexpr Milliseconds kProbeInterval{1000};
constexpr Milliseconds kSuspectCheckInterval{500};
constexpr Milliseconds kSuspectCheckTimeout{300};
constexpr Milliseconds kClaimCheckInterval{500};
constexpr Milliseconds kClaimCheckTimeout{300};
// Share of its memory in use below which a target has room for any call.
constexpr double kFreeCapacityUtilization = 0.7;

}  // namespace

FaultDetector::FaultDetector(HttpClient* client,
                             TargetRegistry* registry,
                             OnFault on_fault,
                             OnLeaving on_leaving,
                             OnRefuted on_refuted)
    : client_(client),
      registry_(registry),
      on_fault_(std::move(on_fault)),
      on_leaving_(std::move(on_leaving)),
      on_refuted_(std::move(on_refuted)) {
  assert(client != nullptr && registry != nullptr);
}

void FaultDetector::InvestigateStall(const std::string& target_id,
                                     Instant now) {
  Instant& next = next_stall_report_[target_id];
  const FleetTarget* target = registry_->Find(target_id);
  if (now < next || target == nullptr || !target->AcceptsRequests(now))
    return;
  next = now + kStallReportInterval + kStallReportTimeout;
  FetchReport(client_,
              {target->record.address, target->record.started_unix_ms,
               now + kStallReportTimeout},
              [this, target_id, now](const ReportAnswer& answer) {
                OnStallReport(target_id, now, answer);
              });
}

void FaultDetector::Probe(const std::string& target_id, Instant now) {
  Instant& next = next_probe_[target_id];
  const FleetTarget* target = registry_->Find(target_id);
  if (now < next || target == nullptr || !target->AcceptsRequests(now) ||
      !registry_->IsUsable(*target, now))
    return;
  next = now + kProbeInterval;
  FetchReport(client_,
              {target->record.address, target->record.started_unix_ms,
               now + kProbeTimeout, /*may_reuse=*/false},
              [this, target_id, now](const ReportAnswer& answer) {
                if (answer.is_from_successor)
                  ReportSuccessor(target_id);
                else if (!answer.answered)
                  on_fault_({target_id,
                             "its streams fell silent and it gives no report",
                             now, false});
              });
}

void FaultDetector::CheckSuspects(Instant now) {
  for (const auto& [id, row] : registry_->rows()) {
    if (TargetRegistry::LacksSignOfLife(*row) &&
        !registry_->IsUsable(*row, now))
      CheckSuspect(id, *row, now);
  }
  std::erase_if(next_suspect_check_,
                [now](const auto& it) { return now >= it.second; });
}

void FaultDetector::CheckSuspect(const std::string& target_id,
                                 const FleetTarget& target,
                                 Instant now) {
  if (!target.AcceptsRequests(now))
    return;
  Instant& next = next_suspect_check_[target_id];
  if (now < next)
    return;
  next = now + kSuspectCheckInterval;
  FetchReport(client_,
              {target.record.address, target.record.started_unix_ms,
               now + kSuspectCheckTimeout, /*may_reuse=*/false},
              [this, target_id](const ReportAnswer& answer) {
                if (answer.is_from_successor) {
                  ReportSuccessor(target_id);
                  return;
                }
                if (FleetTarget* asked = registry_->Find(target_id))
                  registry_->RecordCheck(asked, answer.answered);
              });
}

void FaultDetector::CheckContested(Instant now) {
  if (!registry_->has_rivals())
    return;
  for (const auto& [id, row] : registry_->rows()) {
    if (row->is_contested)
      CheckClaim(id, *row, now);
  }
  std::erase_if(next_claim_check_,
                [now](const auto& it) { return now >= it.second; });
}

void FaultDetector::CheckClaim(const std::string& target_id,
                               const FleetTarget& target,
                               Instant now) {
  if (!target.AcceptsRequests(now))
    return;
  const std::string& address = target.record.address;
  Instant& next = next_claim_check_[target_id + ' ' + address];
  if (now < next)
    return;
  next = now + kClaimCheckInterval;
  FetchReport(client_,
              {address, target.record.started_unix_ms, now + kClaimCheckTimeout,
               /*may_reuse=*/false, target_id},
              [this, target_id, address](const ReportAnswer& answer) {
                OnClaimChecked(target_id, address, answer);
              });
}

void FaultDetector::OnClaimChecked(const std::string& target_id,
                                   const std::string& address,
                                   const ReportAnswer& answer) {
  FleetTarget* target = registry_->Find(target_id);
  if (target == nullptr || target->record.address != address)
    return;
  // Silence says nothing about which of two targets at one address is there.
  const bool is_silent =
      !answer.answered && !registry_->HasRivalAtAddress(*target);
  if (answer.is_from_other || is_silent)
    on_refuted_(target_id);
  else if (answer.answered)
    registry_->Confirm(target);
}

void FaultDetector::InvestigateRefusal(const std::string& target_id,
                                       double capacity,
                                       Instant now) {
  FleetTarget* target = registry_->Find(target_id);
  if (target == nullptr || !registry_->IsUsable(*target, now))
    return;
  registry_->MarkFull(target, now);
  Instant& next = next_refusal_report_[target_id];
  if (now < next || !target->AcceptsRequests(now))
    return;
  next = now + kRefusalReportInterval;
  FetchReport(client_,
              {target->record.address, target->record.started_unix_ms,
               now + kProbeTimeout, /*may_reuse=*/false},
              [this, target_id, now, capacity](const ReportAnswer& answer) {
                OnRefusalReport(target_id, now, capacity, answer);
              });
}

void FaultDetector::ReportSuccessor(const std::string& target_id) {
  on_fault_({target_id, "a later process reports at its address", std::nullopt,
             true});
}

void FaultDetector::OnRefusalReport(const std::string& target_id,
                                    Instant asked_at,
                                    double capacity,
                                    const ReportAnswer& answer) {
  if (answer.is_from_successor) {
    ReportSuccessor(target_id);
    return;
  }
  if (!answer.answered) {
    on_fault_(
        {target_id, "turned a call away and gives no report", asked_at, true});
    return;
  }
  const auto& report = answer.report;
  FleetTarget* target = registry_->Find(target_id);
  if (!report || target == nullptr)
    return;
  const Instant now = EventLoop::Now();
  const bool same_layers = target->record.layers == report->load.layers;
  registry_->ApplyReport(target_id, report->load, now);
  // Layers that the target is releasing or loading also explain a refusal.
  const bool has_capacity =
      same_layers && !report->order_in_progress && capacity > 0 &&
      report->load.used_token_layers < kFreeCapacityUtilization * capacity;
  if (registry_->RecordRefusal(target, has_capacity, now))
    on_leaving_(target_id);
}

void FaultDetector::OnStallReport(const std::string& target_id,
                                  Instant asked_at,
                                  const ReportAnswer& answer) {
  next_stall_report_[target_id] = EventLoop::Now() + kStallReportInterval;
  if (answer.is_from_successor) {
    ReportSuccessor(target_id);
    return;
  }
  if (!answer.answered) {
    on_fault_({target_id, "no report", asked_at, false});
    return;
  }
  const auto& report = answer.report;
  if (!report)
    return;
  registry_->ApplyReport(target_id, report->load, EventLoop::Now());
  // Each stalled stream names the hop that it waits for; report each hop once.
  std::set<std::string> hops;
  for (const auto& it : report->stalled_calls)
    hops.insert(it.hop_address);
  for (const std::string& it : hops) {
    if (const FleetTarget* hop = registry_->FindAddress(it))
      on_fault_({hop->record.id, "streams wait for it", std::nullopt, true});
  }
}

}  // namespace bbv
