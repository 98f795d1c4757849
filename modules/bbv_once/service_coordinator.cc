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
  const std::string& service = call->call.service;
  const std::string target =
      call->call.keyed
          ? chooser_->ChooseForKey(service, call->call.request, call->excluded,
                                   now)
          : chooser_->ChooseForService(service, call->excluded, now);
  const bool retry = call->attempts > 0;
  if (target.empty() || call->attempts >= kMaxAttempts ||
      (retry && !retry_budget_.TryTakeRetry())) {
    Refuse(call, call->last_refusal);
    return;
  }
  if (retry)
    ++retries_;
  SendTo(call, target, now);
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
  if (it != calls_.end() && it->second.target == peer &&
      it->second.call.request == answer.request)
    HandleAnswerForCall(&it->second, peer, answer, now);
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
      const uint64_t caller = call->caller;
      calls_.erase(caller);
      actions_->AnswerCall(caller, answer);
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
    Refuse(call, call->last_refusal);
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
  const TargetEntry* entry = table_->Find(holder);
  const bool reachable = entry != nullptr && entry->connected;
  // Only the holder of the claim knows whether the call ran. While the holder
  // is unreachable the outcome is unknown. Other side nodes may still read its
  // answer from the log, so the caller may retry.
  if (!reachable || call->attempts >= kMaxAttempts) {
    Refuse(call, {Outcome::kUnknown, Reason::kClaimedElsewhere, kRetryAfterMs});
    return;
  }
  SendTo(call, holder, now);
}

void ServiceCoordinator::PeerLost(const std::string& peer, Instant now) {
  std::vector<uint64_t> callers;
  for (const auto& [caller, call] : calls_) {
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

void ServiceCoordinator::Refuse(Call* call, const Refusal& refusal) {
  // `refusal` may refer to a member of `*call`, which is erased below.
  const Refusal refusal_copy = refusal;
  if (!call->target.empty())
    table_->RemoveOutstanding(call->target);
  if (refusal_copy.outcome == Outcome::kUnknown) {
    LogEvent(Event::kCallOutcomeUnknown,
             {{"request", ToString(call->call.request)},
              {"reason", std::string(kReasonNames.Name(refusal_copy.reason))}});
  }
  const uint64_t caller = call->caller;
  calls_.erase(caller);
  actions_->RefuseCall(caller, refusal_copy);
}

}  // namespace bbv
