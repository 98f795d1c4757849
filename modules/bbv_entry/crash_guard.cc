#include "bbv_entry/crash_guard.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/crash_messages.h"

namespace bbv {
namespace {

// Traits named in one log line.
constexpr std::size_t kMaxLoggedTraits = 64;
// Independent crashes that accuse a trait of a call from which on the call is
// not repeated.
constexpr int kCrashesWithoutRepeat = 2;
// Time after a crash within which heartbeats from before it may become known,
// since the target list is not read at once. Later ones disprove the crash, but
// for those that may still have been on their way.
constexpr Milliseconds kHeartbeatDelay{5000};
constexpr int64_t kHeartbeatsInTransit = 1;
constexpr Milliseconds kDisproofTime{15'000};
// Interval at which all quarantines are sent, for entries that missed a notice.
constexpr Milliseconds kShareInterval{1000};

// Returns the distinct traits of the suspects, in the order of the calls.
std::vector<uint64_t> SuspectTraits(const TargetCrash& crash) {
  std::vector<uint64_t> traits;
  for (const CrashSuspect& it : crash.suspects) {
    if (traits.size() < kMaxLoggedTraits &&
        std::find(traits.begin(), traits.end(), it.trait) == traits.end())
      traits.push_back(it.trait);
  }
  return traits;
}

}  // namespace

CrashGuard::CrashGuard(EventLoop* loop,
                       DecisionLog* log,
                       TargetRegistry* registry,
                       Announce announce)
    : log_(log),
      registry_(registry),
      announce_(std::move(announce)),
      listen_checker_(loop) {
  assert(log != nullptr && registry != nullptr);
}

void CrashGuard::SetRole(bool is_prober, int entries) {
  is_prober_ = is_prober;
  for (auto& [service, evidence] : evidence_)
    evidence.SetEntries(entries);
}

std::optional<CallEndReason> CrashGuard::FindObstacle(const GuardedCall& call,
                                                      bool is_repeat,
                                                      Instant now) {
  if (quarantine_.active() > 0) {
    switch (
        quarantine_.Decide(call.service, call.traits.Get(), is_prober_, now)) {
      case QuarantineDecision::kRefused:
        return CallEndReason::kQuarantined;
      case QuarantineDecision::kProbe:
        probe_call_ = call.attempt_id;
        log_->Write(Event::kPartProbed, now,
                    {{"id", call.attempt_id},
                     {"service", call.service},
                     {"parts", FormatTraits(FindQuarantine(call)->traits)}});
        return std::nullopt;
      case QuarantineDecision::kAllowed:
        break;
    }
  }
  return is_repeat && IsSuspect(call)
             ? std::optional(CallEndReason::kCrashSuspect)
             : std::nullopt;
}

bool CrashGuard::IsSuspect(const GuardedCall& call) const {
  const auto evidence = evidence_.find(call.service);
  if (evidence == evidence_.end() || evidence->second.size() == 0)
    return false;
  const std::vector<uint64_t>& traits = call.traits.Get();
  return std::any_of(traits.begin(), traits.end(), [&](uint64_t trait) {
    return evidence->second.CrashCount(trait) >= kCrashesWithoutRepeat;
  });
}

bool CrashGuard::IsQuarantined(const GuardedCall& call) const {
  return call.attempt_id != probe_call_ && FindQuarantine(call) != nullptr;
}

const QuarantineRow* CrashGuard::FindQuarantine(const GuardedCall& call) const {
  return quarantine_.active() == 0
             ? nullptr
             : quarantine_.Find(call.service, call.traits.Get());
}

void CrashGuard::OnCallBroken(const GuardedCall& call,
                              const std::string& target_id,
                              Instant sent_at,
                              bool began_output,
                              Instant now) {
  const FleetTarget* target = registry_->Find(target_id);
  if (target == nullptr)
    return;
  const BrokenCall broken{HashBytes32(call.attempt_id), call.traits.Get(),
                          sent_at, began_output};
  if (crash_detector_.RecordBrokenCall(*target, broken, now))
    CheckTarget(*target, now);
}

void CrashGuard::CheckTarget(const FleetTarget& target, Instant now) {
  const auto address = ParseSocketAddress(target.record.address);
  if (!address)
    return;
  listen_checker_.Check(
      *address, now,
      [this, id = target.record.id,
       started = target.record.started_unix_ms](ListenCheckResult result) {
        crash_detector_.RecordCheck(id, started, result);
      });
}

void CrashGuard::OnOutput(const GuardedCall& call, Instant now) {
  CrashEvidence& evidence = evidence_[call.service];
  std::vector<uint64_t> cleared;
  if (evidence.size() == 0)
    evidence.RecordOutput({});
  else
    cleared = evidence.RecordOutput(call.traits.Get());
  const QuarantineRow* row = FindQuarantine(call);
  if (cleared.empty() && row == nullptr)
    return;
  wire::CrashNoticeT notice;
  if (!cleared.empty()) {
    wire::ClearedPartsT& parts = notice.cleared.emplace_back();
    parts.service = call.service;
    parts.parts = std::move(cleared);
  }
  if (row != nullptr) {
    log_->Write(Event::kPartQuarantineEnded, now,
                {{"service", call.service},
                 {"parts", FormatTraits(row->traits)},
                 {"evidence", "output"},
                 {"id", call.attempt_id}});
    quarantine_.RecordOutput(call.service, call.traits.Get(), now);
    notice.quarantines = EncodeRows(now);
  }
  announce_(std::move(notice), now);
  QuarantineDeadlyTraits(now);
}

void CrashGuard::OnTick(Instant now) {
  listen_checker_.OnTick(now);
  for (const auto& [id, started_unix_ms] : crash_detector_.TakeDueChecks(now)) {
    const FleetTarget* target = registry_->Find(id);
    if (target != nullptr && !target->IsLeaving() &&
        target->record.started_unix_ms == started_unix_ms)
      CheckTarget(*target, now);
  }
  for (const TargetCrash& it : crash_detector_.TakeCrashes(*registry_, now))
    OnCrash(it, now);
  WithdrawDisprovedCrashes(now);
  for (auto& [service, evidence] : evidence_)
    evidence.OnTick(now);
  QuarantineDeadlyTraits(now);
  quarantine_.OnTick(now);
}

bool CrashGuard::TakeNewQuarantine() {
  return std::exchange(has_new_quarantine_, false);
}

void CrashGuard::OnCrash(const TargetCrash& crash, Instant now) {
  log_->Write(Event::kTargetCrashed, now,
              {{"target", crash.target_id},
               {"service", crash.service},
               {"calls", static_cast<int64_t>(crash.broken_calls)},
               {"silent", static_cast<int64_t>(crash.silent_calls)},
               {"parts", FormatTraits(SuspectTraits(crash))},
               {"age_ms", static_cast<int64_t>(
                              RemainingMilliseconds(now, crash.crashed_at))}});
  const CrashReport report = ToReport(crash);
  if (report.suspects.empty() || !AddCrash(crash.service, report, now))
    return;
  wire::CrashNoticeT notice;
  notice.crashes.push_back(ToMessage(crash.service, report, now));
  announce_(std::move(notice), now);
}

bool CrashGuard::AddCrash(const std::string& service,
                          const CrashReport& report,
                          Instant now) {
  if (!AddEvidence(service, report))
    return false;
  RenewFailedProbes(service, report, now);
  return true;
}

bool CrashGuard::AddEvidence(const std::string& service,
                             const CrashReport& report) {
  if (!evidence_[service].AddCrash(report))
    return false;
  if (const FleetTarget* target = registry_->FindByHash(report.key.target)) {
    recent_crashes_.try_emplace(
        report.key,
        RecentCrash{service, report.crashed_at, target->record.heartbeat});
  }
  return true;
}

void CrashGuard::RestoreCrash(const std::string& service,
                              const CrashReport& report,
                              Instant now) {
  if (!AddEvidence(service, report))
    return;
  log_->Write(Event::kCrashRestored, now,
              {{"service", service},
               {"target_hash", static_cast<int64_t>(report.key.target)},
               {"suspects", static_cast<int64_t>(report.suspects.size())},
               {"outputs_since", report.outputs_since},
               {"age_ms", static_cast<int64_t>(
                              RemainingMilliseconds(now, report.crashed_at))}});
}

void CrashGuard::RenewFailedProbes(const std::string& service,
                                   const CrashReport& report,
                                   Instant now) {
  if (quarantine_.active() == 0)
    return;
  struct SilentCall {
    std::vector<uint64_t> traits;
    Instant sent_at{};
  };
  std::map<uint32_t, SilentCall> calls;
  for (const CrashSuspect& it : report.suspects) {
    calls[it.call].traits.push_back(it.trait);
    calls[it.call].sent_at = it.sent_at;
  }
  for (const auto& [id, call] : calls) {
    if (quarantine_.RecordCrash(service, call.traits, call.sent_at, now))
      LogQuarantine(*quarantine_.Find(service, call.traits), "probe", now);
  }
}

void CrashGuard::WithdrawDisprovedCrashes(Instant now) {
  for (auto it = recent_crashes_.begin(); it != recent_crashes_.end();) {
    const CrashKey& key = it->first;
    RecentCrash& crash = it->second;
    const FleetTarget* target = registry_->FindByHash(key.target);
    const bool is_same_process =
        target != nullptr &&
        target->record.started_unix_ms == key.started_unix_ms;
    if (is_same_process && now < crash.crashed_at + kHeartbeatDelay)
      crash.heartbeat = target->record.heartbeat;
    const bool is_alive =
        is_same_process &&
        target->record.heartbeat > crash.heartbeat + kHeartbeatsInTransit;
    if (is_alive) {
      log_->Write(Event::kCrashWithdrawn, now,
                  {{"target", target->record.id},
                   {"service", crash.service},
                   {"heartbeat", target->record.heartbeat}});
      evidence_[crash.service].WithdrawCrash(key);
    }
    it = is_alive || now >= crash.crashed_at + kDisproofTime
             ? recent_crashes_.erase(it)
             : std::next(it);
  }
}

void CrashGuard::QuarantineDeadlyTraits(Instant now) {
  bool is_new = false;
  for (auto& [service, evidence] : evidence_) {
    while (const auto deadly = evidence.TakeDeadlyTraits()) {
      if (!quarantine_.Add(service, deadly->traits, deadly->crashes, now))
        continue;
      is_new = true;
      LogQuarantine(*quarantine_.Find(service, deadly->traits), "own", now);
    }
  }
  if (!is_new)
    return;
  has_new_quarantine_ = true;
  wire::CrashNoticeT notice;
  notice.quarantines = EncodeRows(now);
  announce_(std::move(notice), now);
}

bool CrashGuard::OnNotice(const wire::CrashNoticeT& notice, Instant now) {
  bool is_new = false;
  for (const wire::TargetCrashT& it : notice.crashes)
    is_new |= AddCrash(it.service, FromMessage(it, now), now);
  for (const wire::ClearedPartsT& it : notice.cleared) {
    for (const uint64_t part : it.parts)
      is_new |= evidence_[it.service].ClearTrait(part);
  }
  for (const wire::QuarantinedPartsT& it : notice.quarantines)
    is_new |= MergeQuarantine(it, now);
  return is_new;
}

void CrashGuard::OnQuarantines(
    const std::vector<wire::QuarantinedPartsT>& quarantines,
    Instant now) {
  for (const wire::QuarantinedPartsT& it : quarantines)
    MergeQuarantine(it, now);
}

bool CrashGuard::MergeQuarantine(const wire::QuarantinedPartsT& message,
                                 Instant now) {
  if (!IsValid(message))
    return false;
  const QuarantineRow row = FromMessage(message, now);
  if (!quarantine_.Merge(row, now))
    return false;
  if (!row.lifted) {
    has_new_quarantine_ = true;
    LogQuarantine(row, "peer", now);
    return true;
  }
  log_->Write(Event::kPartQuarantineEnded, now,
              {{"service", row.service},
               {"parts", FormatTraits(row.traits)},
               {"evidence", "peer"}});
  return true;
}

std::vector<wire::QuarantinedPartsT> CrashGuard::EncodeRows(Instant now) const {
  std::vector<wire::QuarantinedPartsT> messages;
  for (const QuarantineRow& it : quarantine_.Rows())
    messages.push_back(ToMessage(it, now));
  return messages;
}

std::vector<wire::QuarantinedPartsT> CrashGuard::TakeDueQuarantines(
    Instant now) {
  if (now < next_share_)
    return {};
  next_share_ = now + kShareInterval;
  return EncodeRows(now);
}

void CrashGuard::LogQuarantine(const QuarantineRow& row,
                               std::string_view from,
                               Instant now) {
  log_->Write(
      Event::kPartQuarantined, now,
      {{"service", row.service},
       {"parts", FormatTraits(row.traits)},
       {"crashes", static_cast<int64_t>(row.crashes)},
       {"from", std::string(from)},
       {"age_ms", static_cast<int64_t>(RemainingMilliseconds(now, row.since))},
       {"failed_probes", static_cast<int64_t>(row.failed_probes)},
       {"probe_in_ms",
        static_cast<int64_t>(RemainingMilliseconds(row.probe_at, now))}});
}

}  // namespace bbv
