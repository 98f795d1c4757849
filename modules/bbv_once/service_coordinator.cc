#include "bbv_once/service_coordinator.h"

#include <cassert>
#include <utility>
#include <vector>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr uint32_t kMaxAttempts = 4;
constexpr double kRetryBudgetRatio = 0.2;
constexpr double kRetryBudgetBurst = 50;
constexpr uint32_t kRetryAfterMs = 500;

// Side nodes get a deadline this much before the caller's, so that their report
// that a call did not run arrives before the entry ends the call as unknown.
constexpr Milliseconds kAnswerMargin{100};

}  // namespace

ServiceCoordinator::ServiceCoordinator(TargetTable* table,
                                       TargetChooser* chooser,
                                       ServiceActions* actions)
    : table_(table),
      chooser_(chooser),
      actions_(actions),
      retry_budget_(kRetryBudgetRatio, kRetryBudgetBurst) {
  assert(table != nullptr && chooser != nullptr && actions != nullptr);
}

void ServiceCoordinator::Start(uint64_t caller,
                               wire::ServiceCallT call,
                               Instant deadline,
                               Instant now) {
  assert(deadline > now);
  const auto [it, inserted] = calls_.try_emplace(caller);
  assert(inserted);
  Call& added = it->second;
  added.caller = caller;
  added.call = std::move(call);
  added.call.caller = caller;
  added.deadline = deadline;
  added.last_refusal = {Outcome::kNotRun, Reason::kNoTarget, kRetryAfterMs};
  retry_budget_.RecordAttempt();
  SendToNextTarget(&added, now);
}

void ServiceCoordinator::SendToNextTarget(Call* call, Instant now) {
  const std::string target = ChooseTarget(*call, call->excluded, now);
  const bool retry = call->attempts > 0;
  if (target.empty() || call->attempts >= kMaxAttempts ||
      (retry && !retry_budget_.TryTakeRetry())) {
    RefuseOrWait(call, call->last_refusal);
    return;
  }
  if (retry)
    ++retries_;
  SendTo(call, target, now);
}

std::string ServiceCoordinator::ChooseTarget(
    const Call& call,
    const std::set<std::string>& excluded,
    Instant now) {
  const std::string& service = call.call.service;
  return call.call.keyed
             ? chooser_->ChooseForKey(service, call.call.request, excluded, now)
             : chooser_->ChooseForService(service, excluded, now);
}

void ServiceCoordinator::SendTo(Call* call,
                                const std::string& target,
                                Instant now) {
  call->target = target;
  ++call->attempts;
  table_->AddOutstanding(target);
  wire::ServiceCallT message = call->call;
  message.remaining_milliseconds =
      RemainingMilliseconds(call->deadline - kAnswerMargin, now);
  actions_->Send(target, MakeFrame(std::move(message)));
}

void ServiceCoordinator::HandleAnswer(const std::string& peer,
                                      const wire::ServiceAnswerT& answer,
                                      Instant now) {
  const auto it = calls_.find(answer.caller);
  if (it == calls_.end() || !(it->second.call.request == answer.request))
    return;
  if (it->second.target == peer)
    HandleAnswerForCall(&it->second, peer, answer, now);
  else if (it->second.silent_target == peer)
    HandleSilentTargetAnswer(&it->second, answer);
}

void ServiceCoordinator::HandleSilentTargetAnswer(
    Call* call,
    const wire::ServiceAnswerT& answer) {
  if (answer.outcome == Outcome::kRan) {
    table_->RecordSuccess(call->silent_target);
    Finish(call, answer);
    return;
  }
  // The other target answers for the call.
  table_->RemoveOutstanding(call->silent_target);
  call->silent_target.clear();
}

void ServiceCoordinator::Finish(Call* call,
                                const wire::ServiceAnswerT& answer) {
  ReleaseTargets(call);
  const uint64_t caller = call->caller;
  calls_.erase(caller);
  actions_->AnswerCall(caller, answer);
}

void ServiceCoordinator::HandleAnswerForCall(Call* call,
                                             const std::string& peer,
                                             const wire::ServiceAnswerT& answer,
                                             Instant now) {
  table_->RemoveOutstanding(peer);
  call->target.clear();
  switch (answer.outcome) {
    case Outcome::kRan: {
      table_->RecordSuccess(peer);
      Finish(call, answer);
      return;
    }
    case Outcome::kNotRun:
      HandleNotRunAnswer(call, peer, answer, now);
      return;
    case Outcome::kUnknown:
      HandleUnknownAnswer(call, peer, answer, now);
      return;
  }
}

void ServiceCoordinator::HandleNotRunAnswer(Call* call,
                                            const std::string& peer,
                                            const wire::ServiceAnswerT& answer,
                                            Instant now) {
  const Reason reason = ReasonFromNumber(answer.reason);
  if (reason == Reason::kTargetFault)
    table_->RecordFault(peer, now);
  call->last_refusal = {
      call->earlier_outcome_unknown ? Outcome::kUnknown : Outcome::kNotRun,
      reason, answer.retry_after_milliseconds};
  const bool final = reason == Reason::kKeyReused ||
                     reason == Reason::kDeadline ||
                     reason == Reason::kLogUnavailable;
  if (final) {
    RefuseOrWait(call, call->last_refusal);
    return;
  }
  call->excluded.insert(peer);
  SendToNextTarget(call, now);
}

void ServiceCoordinator::HandleUnknownAnswer(Call* call,
                                             const std::string& peer,
                                             const wire::ServiceAnswerT& answer,
                                             Instant now) {
  const Reason reason = ReasonFromNumber(answer.reason);
  if (reason == Reason::kClaimedElsewhere) {
    SendToClaimHolder(call, answer.holder, now);
    return;
  }
  call->earlier_outcome_unknown = true;
  if (!call->call.idempotent) {
    Refuse(call, {Outcome::kUnknown, reason, 0});
    return;
  }
  call->excluded.insert(peer);
  table_->RecordFault(peer, now);
  call->last_refusal = {Outcome::kUnknown, reason, kRetryAfterMs};
  SendToNextTarget(call, now);
}

void ServiceCoordinator::SendToClaimHolder(Call* call,
                                           const std::string& holder,
                                           Instant now) {
  // The holder has the call already.
  if (holder == call->silent_target) {
    call->target = std::exchange(call->silent_target, "");
    return;
  }
  const TargetEntry* entry = table_->Find(holder);
  const bool reachable = entry != nullptr && entry->connected;
  // Only the holder of the claim knows whether the call ran. While the holder
  // is unreachable the outcome is unknown. Other side nodes may still read its
  // answer from the log, so the caller may retry.
  if (!reachable || call->attempts >= kMaxAttempts) {
    RefuseOrWait(call,
                 {Outcome::kUnknown, Reason::kClaimedElsewhere, kRetryAfterMs});
    return;
  }
  SendTo(call, holder, now);
}

void ServiceCoordinator::PeerLost(const std::string& peer, Instant now) {
  std::vector<uint64_t> callers;
  for (auto& [caller, call] : calls_) {
    if (call.silent_target == peer)
      call.silent_target.clear();
    if (call.target == peer)
      callers.push_back(caller);
  }
  for (const uint64_t caller : callers) {
    const auto it = calls_.find(caller);
    if (it == calls_.end())
      continue;
    Call& call = it->second;
    call.target.clear();
    call.earlier_outcome_unknown = true;
    call.last_refusal = {Outcome::kUnknown, Reason::kPeerLost, kRetryAfterMs};
    if (!call.call.idempotent && !call.call.keyed) {
      Refuse(&call, {Outcome::kUnknown, Reason::kPeerLost, 0});
      continue;
    }
    call.excluded.insert(peer);
    SendToNextTarget(&call, now);
  }
}

void ServiceCoordinator::PeerSilent(const std::string& peer, Instant now) {
  for (auto& [caller, call] : calls_) {
    const bool repeatable = call.call.idempotent || call.call.keyed;
    if (call.target == peer && call.silent_target.empty() && repeatable)
      SendBesideSilentTarget(&call, now);
  }
}

void ServiceCoordinator::SendBesideSilentTarget(Call* call, Instant now) {
  std::set<std::string> excluded = call->excluded;
  excluded.insert(call->target);
  const std::string target = ChooseTarget(*call, excluded, now);
  if (target.empty() || call->attempts >= kMaxAttempts ||
      !retry_budget_.TryTakeRetry())
    return;
  call->excluded = std::move(excluded);
  call->silent_target = call->target;
  call->earlier_outcome_unknown = true;
  call->last_refusal = {Outcome::kUnknown, Reason::kPeerLost, kRetryAfterMs};
  ++retries_;
  SendTo(call, target, now);
}

void ServiceCoordinator::Tick(Instant now) {
  std::vector<uint64_t> callers;
  for (const auto& [caller, call] : calls_) {
    if (call.deadline <= now)
      callers.push_back(caller);
  }
  for (const uint64_t caller : callers) {
    const auto it = calls_.find(caller);
    if (it != calls_.end())
      Refuse(&it->second, {Outcome::kUnknown, Reason::kDeadline, 0});
  }
}

void ServiceCoordinator::RefuseOrWait(Call* call, const Refusal& refusal) {
  if (call->silent_target.empty())
    Refuse(call, refusal);
  else
    call->target = std::exchange(call->silent_target, "");
}

void ServiceCoordinator::Refuse(Call* call, const Refusal& refusal) {
  // `refusal` may refer to a member of `*call`, which is erased below.
  const Refusal refusal_copy = refusal;
  ReleaseTargets(call);
  if (refusal_copy.outcome == Outcome::kUnknown) {
    LogEvent(Event::kCallOutcomeUnknown,
             {{"request", ToString(call->call.request)},
              {"reason", std::string(kReasonNames.Name(refusal_copy.reason))}});
  }
  const uint64_t caller = call->caller;
  calls_.erase(caller);
  actions_->RefuseCall(caller, refusal_copy);
}

void ServiceCoordinator::ReleaseTargets(Call* call) {
  for (std::string* target : {&call->target, &call->silent_target}) {
    if (!target->empty())
      table_->RemoveOutstanding(*target);
    target->clear();
  }
}

}  // namespace bbv
