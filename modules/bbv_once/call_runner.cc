#include "bbv_once/call_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr uint32_t kRetryAfterMs = 500;
// Larger answer bodies are kept in memory but not recorded on the log.
constexpr std::size_t kMaxRecordedBodyBytes = 4096;
constexpr char kContentType[] = "Content-Type";

wire::ServiceAnswerT MakeAnswer(Outcome outcome,
                                Reason reason,
                                uint32_t retry_after_ms) {
  wire::ServiceAnswerT answer;
  answer.outcome = outcome;
  answer.reason = static_cast<uint8_t>(reason);
  answer.retry_after_milliseconds = retry_after_ms;
  return answer;
}

std::string FindContentType(const wire::ServiceAnswerT& answer) {
  for (const wire::HeaderT& header : answer.headers) {
    if (header.name == kContentType)
      return header.value;
  }
  return "";
}

}  // namespace

CallRunner::CallRunner(ClaimHolder holder,
                       CallLimits limits,
                       CallActions* actions)
    : holder_(std::move(holder)), limits_(limits), actions_(actions) {
  assert(actions != nullptr);
  assert(limits.maximum_running > 0);
}

void CallRunner::HandleCall(const std::string& peer,
                            wire::ServiceCallT call,
                            Instant now) {
  const Waiter waiter{peer, call.caller,
                      now + Milliseconds(call.remaining_milliseconds)};
  Call* known = Find(call.request);
  if (known == nullptr) {
    HandleNewCall(waiter, std::move(call), now);
    return;
  }
  if (known->fingerprint != call.fingerprint) {
    SendAnswer(waiter, call.request,
               MakeAnswer(Outcome::kNotRun, Reason::kKeyReused, 0));
    return;
  }
  // A claim can be read from the log before the call arrives (again), so the
  // stored call may be empty.
  if (known->state == State::kHeld || known->state == State::kClaiming)
    known->call = std::move(call);
  HandleRepeatedCall(known, waiter);
  RunQueuedCalls(now);
  AppendIfDue(now);
}

void CallRunner::HandleNewCall(const Waiter& waiter,
                               wire::ServiceCallT call,
                               Instant now) {
  const Reason refusal = CheckAdmission(call);
  if (refusal != Reason::kNone) {
    SendAnswer(waiter, call.request,
               MakeAnswer(Outcome::kNotRun, refusal, kRetryAfterMs));
    return;
  }
  auto added = std::make_unique<Call>();
  added->id = call.request;
  added->keyed = call.keyed;
  added->fingerprint = call.fingerprint;
  added->account = call.account;
  added->holder = holder_;
  added->waiters.push_back(waiter);
  added->call = std::move(call);
  Call* new_call = added.get();
  calls_[new_call->id] = std::move(added);
  if (new_call->keyed)
    QueueClaim(new_call);
  else
    Enqueue(new_call);
  RunQueuedCalls(now);
  AppendIfDue(now);
}

void CallRunner::HandleRepeatedCall(Call* call, const Waiter& waiter) {
  switch (call->state) {
    case State::kFinished:
    case State::kUnknown:
      SendAnswer(waiter, call->id, call->answer);
      return;
    case State::kHeldElsewhere: {
      auto answer = MakeAnswer(Outcome::kUnknown, Reason::kClaimedElsewhere, 0);
      answer.holder = call->holder.target;
      SendAnswer(waiter, call->id, std::move(answer));
      return;
    }
    case State::kVoided:
      SendAnswer(waiter, call->id,
                 MakeAnswer(Outcome::kNotRun, Reason::kLeaving, kRetryAfterMs));
      return;
    case State::kHeld:
      if (leaving_) {
        SendAnswer(
            waiter, call->id,
            MakeAnswer(Outcome::kNotRun, Reason::kLeaving, kRetryAfterMs));
        return;
      }
      call->waiters.push_back(waiter);
      Enqueue(call);
      return;
    case State::kClaiming:
      if (!log_available_) {
        SendAnswer(waiter, call->id,
                   MakeAnswer(Outcome::kNotRun, Reason::kLogUnavailable,
                              kRetryAfterMs));
        return;
      }
      call->waiters.push_back(waiter);
      QueueClaim(call);
      return;
    case State::kQueued:
    case State::kRunning:
      call->waiters.push_back(waiter);
      return;
  }
}

Reason CallRunner::CheckAdmission(const wire::ServiceCallT& call) const {
  if (leaving_)
    return Reason::kLeaving;
  if (call.remaining_milliseconds == 0)
    return Reason::kDeadline;
  if (call.keyed && !log_available_)
    return Reason::kLogUnavailable;
  if (run_queue_.size() >= limits_.maximum_queued)
    return Reason::kOverloaded;
  return Reason::kNone;
}

void CallRunner::Enqueue(Call* call) {
  call->state = State::kQueued;
  run_queue_.Push(call);
}

void CallRunner::RunQueuedCalls(Instant now) {
  while (!run_queue_.empty() && running_count_ < limits_.maximum_running) {
    Call* call = run_queue_.Pop();
    // Check deadlines immediately before the run: they may have passed while
    // the process was suspended.
    call->state = State::kHeld;
    ExpireWaiters(call, now);
    if (call->waiters.empty()) {
      if (!call->keyed)
        calls_.erase(call->id);
      continue;
    }
    call->state = State::kRunning;
    ++running_count_;
    ++calls_run_;
    actions_->CallService(call->call);
  }
}

void CallRunner::HandleCallResult(const RequestId& id,
                                  Result<wire::ServiceAnswerT> result,
                                  Instant now) {
  Call* call = Find(id);
  assert(call != nullptr && call->state == State::kRunning);
  --running_count_;
  if (result) {
    call->state = State::kFinished;
    call->answer = std::move(*result);
    call->answer.outcome = Outcome::kRan;
    if (call->keyed)
      RecordAnswer(*call);
    AnswerWaiters(call, call->answer);
  } else if (result.error().not_performed) {
    call->state = State::kHeld;
    AnswerWaitersNotRun(call, Reason::kTargetFault);
  } else {
    LogEvent(Event::kCallOutcomeUnknown,
             {{"request", ToString(id)}, {"error", result.error().ToString()}});
    call->state = State::kUnknown;
    call->answer = MakeAnswer(Outcome::kUnknown, Reason::kTargetFault, 0);
    AnswerWaiters(call, call->answer);
  }
  if (!call->keyed)
    calls_.erase(id);
  else
    call->call = {};
  RunQueuedCalls(now);
  AppendIfDue(now);
}

void CallRunner::RecordAnswer(const Call& call) {
  ClaimAnswer answer;
  answer.key = call.id;
  answer.status = call.answer.status;
  answer.content_type = FindContentType(call.answer);
  answer.body_recorded = call.answer.body.size() <= kMaxRecordedBodyBytes;
  if (answer.body_recorded)
    answer.body.assign(call.answer.body.begin(), call.answer.body.end());
  pending_record_.answers.push_back(std::move(answer));
}

void CallRunner::QueueClaim(Call* call) {
  call->state = State::kClaiming;
  if (call->claim_pending)
    return;
  call->claim_pending = true;
  pending_record_.claims.push_back({call->id, call->fingerprint});
}

void CallRunner::AppendIfDue(Instant now) {
  if (append_outstanding_ || pending_record_.empty() || now < next_append_at_)
    return;
  pending_record_.holder = holder_;
  appending_record_ = std::move(pending_record_);
  pending_record_ = {};
  append_outstanding_ = true;
  next_append_at_ = now + limits_.claim_interval;
  ++appends_;
  actions_->AppendClaims(EncodeClaimRecord(appending_record_));
}

void CallRunner::HandleAppendResult(const Result<void>& result, Instant now) {
  assert(append_outstanding_);
  append_outstanding_ = false;
  for (const Claim& claim : appending_record_.claims) {
    Call* call = Find(claim.key);
    if (call == nullptr || call->state != State::kClaiming)
      continue;
    // From now on, reading the stream decides the claim. A repeated call may
    // append another claim, which is harmless because the holder is the same.
    call->claim_pending = false;
    if (!result && result.error().not_performed) {
      AnswerWaitersNotRun(call, Reason::kLogUnavailable);
      calls_.erase(claim.key);
    }
  }
  if (!result) {
    pending_record_.answers.insert(pending_record_.answers.begin(),
                                   appending_record_.answers.begin(),
                                   appending_record_.answers.end());
    pending_record_.voided_keys.insert(pending_record_.voided_keys.begin(),
                                       appending_record_.voided_keys.begin(),
                                       appending_record_.voided_keys.end());
    next_append_at_ = now + Milliseconds(kRetryAfterMs);
  }
  appending_record_ = {};
  AppendIfDue(now);
}

void CallRunner::HandleClaimRecords(const LogRecords& records, Instant now) {
  if (records.first_offset > read_offset_ && read_offset_ > 0)
    HandleLogGap();
  uint64_t offset = records.first_offset;
  for (const std::string& text : records.records) {
    const bool unread = offset >= read_offset_;
    ++offset;
    if (!unread)
      continue;
    const auto record = DecodeClaimRecord(text);
    if (!record)
      continue;
    for (const Claim& claim : record->claims)
      HandleClaim(record->holder, claim, now);
    for (const ClaimAnswer& answer : record->answers)
      ApplyRecordedAnswer(answer);
    for (const RequestId& key : record->voided_keys)
      HandleVoidedClaim(record->holder, key);
  }
  read_offset_ = std::max(read_offset_, offset);
  RunQueuedCalls(now);
  AppendIfDue(now);
}

void CallRunner::HandleClaim(const ClaimHolder& holder,
                             const Claim& claim,
                             Instant now) {
  Call* call = Find(claim.key);
  const bool own = holder == holder_;
  if (call == nullptr) {
    auto added = std::make_unique<Call>();
    added->id = claim.key;
    added->keyed = true;
    added->fingerprint = claim.fingerprint;
    call = added.get();
    calls_[claim.key] = std::move(added);
    if (own)
      call->state = State::kHeld;
    else
      HandleForeignClaim(call, holder);
    call->holder = holder;
    return;
  }
  // The first claim ends kClaiming; later claims are ignored.
  if (call->state != State::kClaiming)
    return;
  if (call->fingerprint != claim.fingerprint) {
    for (const Waiter& waiter : call->waiters)
      SendAnswer(waiter, call->id,
                 MakeAnswer(Outcome::kNotRun, Reason::kKeyReused, 0));
    call->waiters.clear();
    call->fingerprint = claim.fingerprint;
  }
  call->holder = holder;
  if (own)
    HandleOwnClaim(call, now);
  else
    HandleForeignClaim(call, holder);
}

void CallRunner::HandleOwnClaim(Call* call, Instant now) {
  LogEvent(Event::kClaimWon, {{"request", ToString(call->id)}});
  call->state = State::kHeld;
  ExpireWaiters(call, now);
  if (!call->waiters.empty())
    Enqueue(call);
}

void CallRunner::HandleForeignClaim(Call* call, const ClaimHolder& holder) {
  LogEvent(Event::kClaimLost,
           {{"request", ToString(call->id)}, {"holder", holder.target}});
  if (holder.target == holder_.target) {
    // The claim was made under an earlier epoch of this side node, which may
    // have run the call.
    call->state = State::kUnknown;
    call->answer = MakeAnswer(Outcome::kUnknown, Reason::kClaimLost, 0);
    AnswerWaiters(call, call->answer);
    return;
  }
  call->state = State::kHeldElsewhere;
  auto answer = MakeAnswer(Outcome::kUnknown, Reason::kClaimedElsewhere, 0);
  answer.holder = holder.target;
  AnswerWaiters(call, answer);
}

void CallRunner::ApplyRecordedAnswer(const ClaimAnswer& answer) {
  Call* call = Find(answer.key);
  if (call == nullptr ||
      (call->state != State::kHeldElsewhere && call->state != State::kUnknown))
    return;
  call->state = State::kFinished;
  call->answer = {};
  call->answer.outcome = Outcome::kRan;
  call->answer.status = answer.status;
  call->answer.body.assign(answer.body.begin(), answer.body.end());
  if (!answer.content_type.empty()) {
    wire::HeaderT header;
    header.name = kContentType;
    header.value = answer.content_type;
    call->answer.headers.push_back(std::move(header));
  }
  if (!answer.body_recorded)
    call->answer.reason = static_cast<uint8_t>(Reason::kClaimLost);
}

void CallRunner::HandleVoidedClaim(const ClaimHolder& holder,
                                   const RequestId& key) {
  const Call* call = Find(key);
  if (call == nullptr || !(call->holder == holder))
    return;
  const bool is_resolved = call->state == State::kHeldElsewhere ||
                           call->state == State::kVoided ||
                           call->state == State::kUnknown;
  if (is_resolved)
    calls_.erase(key);
}

void CallRunner::HandleLogGap() {
  LogEvent(Event::kLogGap, {{"stream", "claims"}});
  // An unread record in the gap may have held an earlier claim on one of this
  // side node's keys, so its outstanding claims can no longer be won. Raising
  // the epoch makes them claims of an earlier holder.
  ++holder_.epoch;
}

void CallRunner::SetLeaving(bool leaving) {
  if (leaving == leaving_)
    return;
  leaving_ = leaving;
  if (!leaving)
    return;
  for (const auto& [id, call] : calls_) {
    if (call->state != State::kHeld || !(call->holder == holder_))
      continue;
    call->state = State::kVoided;
    pending_record_.voided_keys.push_back(id);
  }
}

void CallRunner::PeerLost(const std::string& peer) {
  for (const auto& [id, call] : calls_) {
    std::erase_if(call->waiters, [&peer](const Waiter& waiter) {
      return waiter.peer == peer;
    });
  }
}

void CallRunner::Tick(Instant now) {
  for (const auto& [id, call] : calls_) {
    if (call->state == State::kClaiming)
      ExpireWaiters(call.get(), now);
  }
  RunQueuedCalls(now);
  AppendIfDue(now);
}

void CallRunner::ExpireWaiters(Call* call, Instant now) {
  std::erase_if(call->waiters, [&](const Waiter& waiter) {
    if (waiter.deadline > now)
      return false;
    const Reason reason = call->state == State::kClaiming
                              ? Reason::kLogUnavailable
                              : Reason::kDeadline;
    SendAnswer(waiter, call->id,
               MakeAnswer(Outcome::kNotRun, reason, kRetryAfterMs));
    return true;
  });
}

bool CallRunner::idle() const {
  if (running_count_ > 0 || !run_queue_.empty())
    return false;
  if (log_available_ && (append_outstanding_ || !pending_record_.empty()))
    return false;
  return std::all_of(calls_.begin(), calls_.end(), [](const auto& row) {
    return row.second->waiters.empty();
  });
}

void CallRunner::AnswerWaiters(Call* call, const wire::ServiceAnswerT& answer) {
  for (const Waiter& waiter : call->waiters)
    SendAnswer(waiter, call->id, answer);
  call->waiters.clear();
}

void CallRunner::AnswerWaitersNotRun(Call* call, Reason reason) {
  AnswerWaiters(call, MakeAnswer(Outcome::kNotRun, reason, kRetryAfterMs));
}

void CallRunner::SendAnswer(const Waiter& waiter,
                            const RequestId& id,
                            wire::ServiceAnswerT answer) {
  answer.request = id;
  answer.caller = waiter.caller;
  actions_->Send(waiter.peer, MakeFrame(std::move(answer)));
}

CallRunner::Call* CallRunner::Find(const RequestId& id) {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

}  // namespace bbv
