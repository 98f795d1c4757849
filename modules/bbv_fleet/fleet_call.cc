#include "bbv_fleet/fleet_call.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Limit on the sends of one call, including those that targets rejected without
// running it.
constexpr int kMaxSends = 5;
// Remaining time below which another send cannot return a response in time.
constexpr Milliseconds kMinRemainingTime{30};
// A stream counts as stalled after a silence of this multiple of the expected
// interval between events, clamped to the bounds below.
constexpr double kStallFactor = 5;
constexpr Milliseconds kMinStallTimeout{250};
constexpr Milliseconds kMaxStallTimeout{1000};
// Stall timeout before the first event, which has to wait for the prefill of
// the prompt.
constexpr Milliseconds kFirstEventStallTimeout{400};
// How long a stream whose send has ended waits for a path. Callers disconnect
// from silent streams soon after that.
constexpr Milliseconds kPathWait{1700};
constexpr Milliseconds kPathSearchInterval{60};
// Limit on the path changes of one call, and the timeout of each change.
constexpr int kMaxPathChanges = 6;
constexpr Milliseconds kPathChangeTimeout{150};
// An event that arrives later than this after the loss of a hop proves that the
// path still works; an earlier one may have been in flight already. A
// replacement would repeat events in flight and is therefore sent later.
constexpr Milliseconds kInFlightEventWindow{100};
// How long a call waits before it searches for a replacement again after one
// was refused, and before it instructs a first target again that left an
// instruction unanswered.
constexpr Milliseconds kRefusedSearchInterval{250};
constexpr Milliseconds kUnansweredChangeInterval{250};
// Limits on the wait for capacity: a percentage of the route's objective and an
// absolute maximum.
constexpr int kCapacityWaitPercent = 60;
constexpr Milliseconds kMaxCapacityWait{400};

}  // namespace

FleetCall::FleetCall(CallRequest request, FleetCallDelegate* delegate)
    : request_(std::move(request)), delegate_(delegate) {
  assert(delegate != nullptr && request_.route != nullptr);
  last_event_ = request_.last_event;
}

void FleetCall::Start(Instant now) {
  assert(sends_ == 0 && !done_);
  ChooseAndSend({CallEndReason::kNoTarget, true, false, {}}, now);
}

void FleetCall::ChooseAndSend(const SendFailure& failure, Instant now) {
  CallEndReason end = failure.end;
  auto dispatch = delegate_->Choose(request_, excluded_, now, &end);
  if (!dispatch && WaitsForPath(now)) {
    waiting_for_path_ = true;
    last_failure_ = failure;
    return;
  }
  waiting_for_path_ = false;
  if (!dispatch && sends_ == 0 && end == CallEndReason::kNoRoom &&
      now < CapacityDeadline() &&
      delegate_->WaitForCapacity(request_, CapacityDeadline()))
    return;
  if (!dispatch) {
    EndCall(sends_ == 0 || IsWithheld(end) ? end : failure.end,
            failure.has_buffered_response, now);
    return;
  }
  if (sends_ > 0 && !delegate_->TakeRetry(now)) {
    if (WaitsForPath(now)) {
      waiting_for_path_ = true;
      last_failure_ = failure;
      return;
    }
    EndCall(CallEndReason::kRetryBudgetSpent, failure.has_buffered_response,
            now);
    return;
  }
  SendTo(std::move(*dispatch), now);
}

void FleetCall::SendTo(CallDispatch dispatch, Instant now) {
  dispatch_ = std::move(dispatch);
  dispatch_.last_event = last_event_;
  ++sends_;
  ++possible_runs_;
  sending_ = true;
  next_path_change_ = {};
  MarkPathWhole();
  pending_path_.reset();
  if (!relaying_)
    last_progress_ = now;
  silent_since_ = now;
  delegate_->Send(dispatch_, now);
}

void FleetCall::SendReplacement(CallDispatch dispatch, Instant now) {
  assert(sending_);
  dispatch.last_event = last_event_;
  ++sends_;
  ++possible_runs_;
  replacements_.push_back({sends_, std::move(dispatch), now, false});
  delegate_->Send(replacements_.back().path, now);
}

void FleetCall::CancelReplacements(SendCancelReason reason, Instant now) {
  if (replacements_.empty())
    return;
  if (execution_status_ == ExecutionStatus::kNotRun)
    execution_status_ = ExecutionStatus::kUnknown;
  for (const Replacement& it : std::exchange(replacements_, {}))
    delegate_->CancelReplacement(it.send, reason, now);
}

std::vector<FleetCall::Replacement>::iterator FleetCall::FindReplacement(
    int send) {
  return std::find_if(
      replacements_.begin(), replacements_.end(),
      [send](const Replacement& it) { return it.send == send; });
}

void FleetCall::TakeReplacement(int send) {
  const auto it = FindReplacement(send);
  assert(it != replacements_.end());
  dispatch_ = std::move(it->path);
  silent_since_ = it->sent_at;
  replacements_.erase(it);
  sending_ = true;
  next_path_change_ = {};
  path_changes_ = 0;
  pending_path_.reset();
  MarkPathWhole();
  delegate_->PromoteReplacement(send);
}

bool FleetCall::HasSoundReplacement() const {
  return std::any_of(replacements_.begin(), replacements_.end(),
                     [](const Replacement& it) { return !it.suspected; });
}

bool FleetCall::SuspectReplacements(const std::string& target_id) {
  bool found = false;
  for (Replacement& it : replacements_) {
    const auto& hops = it.path.hop_ids;
    if (it.suspected ||
        std::find(hops.begin(), hops.end(), target_id) == hops.end())
      continue;
    it.suspected = true;
    found = true;
  }
  return found;
}

std::vector<std::string> FleetCall::ExcludedForReplacement() const {
  std::vector<std::string> excluded = excluded_;
  // A first target whose suspicion has ended shows that its run goes on.
  if (!first_target_suspected_)
    excluded.push_back(dispatch_.target_id);
  for (const Replacement& it : replacements_)
    excluded.push_back(it.path.target_id);
  return excluded;
}

Instant FleetCall::NextEventDue() const {
  if (!relaying_)
    return {};
  const Milliseconds expected(static_cast<int64_t>(dispatch_.event_ms) + 1);
  return last_progress_ + std::max(kInFlightEventWindow, expected);
}

Instant FleetCall::CapacityDeadline() const {
  const auto wait = std::min<Milliseconds>(
      kMaxCapacityWait,
      Milliseconds(request_.route->objective_ms * kCapacityWaitPercent / 100));
  return std::min(request_.arrived + wait, request_.deadline);
}

bool FleetCall::TrySendWaiting(Instant now) {
  if (done_ || sends_ > 0)
    return true;
  CallEndReason end = CallEndReason::kNoRoom;
  auto dispatch = delegate_->Choose(request_, excluded_, now, &end);
  if (dispatch)
    SendTo(std::move(*dispatch), now);
  else if (end == CallEndReason::kNoRoom)
    return false;
  else
    EndCall(end, false, now);
  return true;
}

void FleetCall::OnCapacityWaitTimeout(Instant now) {
  if (!done_ && sends_ == 0)
    EndCall(CallEndReason::kNoRoom, false, now);
}

bool FleetCall::WaitsForPath(Instant now) const {
  return relaying_ && now < std::max(last_progress_, run_ended_) + kPathWait &&
         now + kMinRemainingTime < request_.deadline;
}

bool FleetCall::CanRetry(const SendFailure& failure) const {
  if (sends_ >= kMaxSends)
    return false;
  const ServiceRoute& route = *request_.route;
  if (relaying_ && (route.kind != CallKind::kStream || !route.resumable ||
                    has_unnumbered_output_))
    return false;
  if (execution_status_ != ExecutionStatus::kNotRun && !IsIdempotent())
    return false;
  return failure.not_run || possible_runs_ < std::max(1, route.max_attempts);
}

bool FleetCall::IsIdempotent() const {
  const ServiceRoute& route = *request_.route;
  return route.kind == CallKind::kSafe ||
         (route.kind == CallKind::kStream && route.resumable);
}

bool FleetCall::CanRepeatActiveSend() const {
  return IsIdempotent() && CanRetry({});
}

void FleetCall::Exclude(const CallDispatch& path, const SendFailure& failure) {
  const auto& addresses = path.hop_addresses;
  const auto it =
      std::find(addresses.begin(), addresses.end(), failure.fault_address);
  ExcludeTarget(it != addresses.end() ? path.hop_ids[it - addresses.begin()]
                                      : path.target_id);
}

void FleetCall::ExcludeTarget(const std::string& id) {
  if (!IsExcluded(id))
    excluded_.push_back(id);
}

bool FleetCall::IsExcluded(const std::string& id) const {
  return std::find(excluded_.begin(), excluded_.end(), id) != excluded_.end();
}

void FleetCall::OnSendFailed(const SendFailure& failure, Instant now) {
  if (done_ || !sending_)
    return;
  sending_ = false;
  RecordFailure(failure);
  if (!failure.not_run)
    run_ended_ = now;
  Exclude(dispatch_, failure);
  if (!replacements_.empty()) {
    // The last one was sent with the latest knowledge of the targets.
    TakeReplacement(replacements_.back().send);
    return;
  }
  MarkPathWhole();
  pending_path_.reset();
  if (now + kMinRemainingTime >= request_.deadline) {
    EndCall(CallEndReason::kDeadline, failure.has_buffered_response, now);
    return;
  }
  if (!CanRetry(failure)) {
    EndCall(failure.end, failure.has_buffered_response, now);
    return;
  }
  ChooseAndSend(failure, now);
}

void FleetCall::RecordFailure(const SendFailure& failure) {
  if (failure.not_run)
    --possible_runs_;
  else if (failure.has_buffered_response)
    execution_status_ = ExecutionStatus::kRan;
  else if (execution_status_ == ExecutionStatus::kNotRun)
    execution_status_ = ExecutionStatus::kUnknown;
}

void FleetCall::OnReplacementFailed(int send,
                                    const SendFailure& failure,
                                    Instant now) {
  const auto it = FindReplacement(send);
  if (done_ || it == replacements_.end())
    return;
  const CallDispatch path = std::move(it->path);
  replacements_.erase(it);
  RecordFailure(failure);
  Exclude(path, failure);
  next_path_search_ = now + kRefusedSearchInterval;
}

void FleetCall::OnReplacementOutput(int send, Instant now) {
  assert(sending_);
  delegate_->CancelSend(SendCancelReason::kReplaced, now);
  sending_ = false;
  TakeReplacement(send);
}

void FleetCall::OnResponseStarted(Instant now) {
  relaying_ = true;
  execution_status_ = ExecutionStatus::kRan;
  last_progress_ = now;
  silent_since_ = now;
}

void FleetCall::OnEventRelayed(int64_t event_id, Instant now) {
  // Their output would repeat this event.
  CancelReplacements(SendCancelReason::kNotNeeded, now);
  next_path_change_ = {};
  if (event_id != last_event_)
    has_unnumbered_output_ = false;
  last_event_ = event_id;
  last_progress_ = now;
  silent_since_ = now;
}

void FleetCall::OnResponseComplete(Instant now) {
  CancelReplacements(SendCancelReason::kNotNeeded, now);
  sending_ = false;
  done_ = true;
}

void FleetCall::OnCallerLeft(Instant now) {
  if (done_)
    return;
  done_ = true;
  CancelSends(SendCancelReason::kCallerLeft, now);
}

void FleetCall::OnTick(Instant now) {
  if (done_)
    return;
  if (waiting_for_path_) {
    if (now < next_path_search_)
      return;
    next_path_search_ = now + kPathSearchInterval;
    // Targets excluded after earlier failures may have recovered.
    excluded_.clear();
    ChooseAndSend(last_failure_, now);
    return;
  }
  if (now < request_.deadline) {
    if (pending_path_ && now >= path_change_deadline_)
      OnPathChangeUnanswered(now);
    else if (path_broken_since_)
      CheckBrokenPath(now);
    return;
  }
  CancelSends(SendCancelReason::kDeadline, now);
  EndCall(CallEndReason::kDeadline, false, now);
}

void FleetCall::CancelSends(SendCancelReason reason, Instant now) {
  CancelReplacements(reason, now);
  if (!sending_)
    return;
  delegate_->CancelSend(reason, now);
  sending_ = false;
  if (execution_status_ == ExecutionStatus::kNotRun)
    execution_status_ = ExecutionStatus::kUnknown;
}

void FleetCall::MarkPathWhole() {
  path_broken_since_.reset();
  first_target_suspected_ = false;
}

void FleetCall::CheckBrokenPath(Instant now) {
  if (relaying_ &&
      last_progress_ >= *path_broken_since_ + kInFlightEventWindow) {
    CancelReplacements(SendCancelReason::kNotNeeded, now);
    MarkPathWhole();
    return;
  }
  if (pending_path_ || HasSoundReplacement() || now < next_path_search_)
    return;
  // Targets excluded after earlier failures may have recovered.
  excluded_.clear();
  TryReroute(now);
}

void FleetCall::OnPathFault(const std::string& target_id, Instant now) {
  if (done_ || !sending_)
    return;
  if (SuspectReplacements(target_id)) {
    ExcludeTarget(target_id);
    TryResend(now);
  }
  const auto& ids = dispatch_.hop_ids;
  const auto hop = std::find(ids.begin(), ids.end(), target_id);
  if (hop == ids.end())
    return;
  if (path_broken_since_ && IsExcluded(target_id))
    return;
  const bool is_first = hop == ids.begin();
  if (is_first && !CanRepeatActiveSend())
    return;
  ExcludeTarget(target_id);
  if (!path_broken_since_)
    path_broken_since_ = now;
  // Only the first target can change the path of its run.
  first_target_suspected_ = first_target_suspected_ || is_first;
  TryReroute(now);
}

void FleetCall::OnLayersReleased(Instant now) {
  if (done_ || !sending_ || path_broken_since_ || pending_path_ ||
      now < next_path_search_)
    return;
  StartReroute(now);
}

void FleetCall::OnQuarantined(Instant now) {
  if (done_ || relaying_)
    return;
  CancelSends(SendCancelReason::kQuarantined, now);
  EndCall(CallEndReason::kQuarantined, false, now);
}

void FleetCall::OnForcedStop(Instant now) {
  if (done_)
    return;
  CancelSends(SendCancelReason::kStopping, now);
  EndCall(CallEndReason::kStopping, false, now);
}

bool FleetCall::IsWithheld(CallEndReason end) {
  return end == CallEndReason::kQuarantined ||
         end == CallEndReason::kCrashSuspect;
}

void FleetCall::TryReroute(Instant now) {
  if (!pending_path_ && !HasSoundReplacement() && !StartReroute(now))
    TryResend(now);
}

bool FleetCall::StartReroute(Instant now) {
  next_path_search_ = now + kPathSearchInterval;
  if (path_changes_ >= kMaxPathChanges || first_target_suspected_ ||
      now < next_path_change_)
    return false;
  RerouteChoice choice =
      delegate_->ChooseReroute(request_, dispatch_, progress(), excluded_, now);
  if (choice.search_again_at) {
    next_path_search_ = *choice.search_again_at;
    return true;
  }
  pending_path_ = std::move(choice.path);
  if (!pending_path_)
    return false;
  ++path_changes_;
  path_change_deadline_ = now + kPathChangeTimeout;
  delegate_->ChangePath(*pending_path_, now);
  return true;
}

void FleetCall::TryResend(Instant now) {
  // One send is left for the time after the active one.
  if (HasSoundReplacement() || sends_ + 1 >= kMaxSends ||
      !CanRepeatActiveSend())
    return;
  if (now < NextEventDue()) {
    next_path_search_ = std::min(next_path_search_, NextEventDue());
    return;
  }
  CallEndReason end = CallEndReason::kNoTarget;
  auto dispatch =
      delegate_->Choose(request_, ExcludedForReplacement(), now, &end);
  if (!dispatch)
    return;
  // The first target counts as sound again, and its run goes on unless the
  // target has restarted.
  if (first_target_suspected_ && dispatch->target_id == dispatch_.target_id &&
      dispatch->target_started_unix_ms == dispatch_.target_started_unix_ms) {
    MarkPathWhole();
    return;
  }
  if (!delegate_->TakeRetry(now))
    return;
  SendReplacement(std::move(*dispatch), now);
}

void FleetCall::OnPathChanged(const CallDispatch& path,
                              bool accepted,
                              const std::string& fault_address,
                              Instant now) {
  if (done_ || !sending_)
    return;
  next_path_change_ = {};
  const bool was_pending =
      pending_path_ && pending_path_->hop_ids == path.hop_ids;
  if (was_pending)
    pending_path_.reset();
  if (accepted) {
    AdoptPath(path, now);
    return;
  }
  // The run goes on along its present path.
  if (!was_pending || !path_broken_since_)
    return;
  const auto hop = std::find(path.hop_addresses.begin(),
                             path.hop_addresses.end(), fault_address);
  if (hop == path.hop_addresses.end() || hop == path.hop_addresses.begin()) {
    // The first target no longer runs the call.
    path_changes_ = kMaxPathChanges;
    TryResend(now);
    return;
  }
  ExcludeTarget(path.hop_ids[hop - path.hop_addresses.begin()]);
  TryReroute(now);
}

void FleetCall::OnPathChangeUnanswered(Instant now) {
  if (done_ || !sending_ || !pending_path_)
    return;
  pending_path_.reset();
  --path_changes_;
  next_path_change_ = now + kUnansweredChangeInterval;
  if (path_broken_since_)
    TryResend(now);
}

void FleetCall::AdoptPath(const CallDispatch& path, Instant now) {
  dispatch_ = path;
  dispatch_.last_event = last_event_;
  silent_since_ = now;
  if (!replacements_.empty())
    return;
  // Another hop may have failed while the change was pending.
  if (UsesExcludedHop())
    TryReroute(now);
  else if (!pending_path_)
    MarkPathWhole();
}

bool FleetCall::UsesExcludedHop() const {
  return std::any_of(dispatch_.hop_ids.begin(), dispatch_.hop_ids.end(),
                     [this](const std::string& it) { return IsExcluded(it); });
}

StreamProgress FleetCall::progress() const {
  const ServiceRoute& route = *request_.route;
  StreamProgress progress;
  progress.last_event = last_event_;
  progress.event_deadline =
      relaying_ ? last_progress_ + Milliseconds(route.event_gap_objective_ms)
                : request_.arrived + Milliseconds(route.objective_ms);
  progress.is_broken = path_broken_since_.has_value();
  return progress;
}

std::optional<Instant> FleetCall::last_event_time() const {
  const bool running = !done_ && sending_ && relaying_ && !path_broken_since_ &&
                       last_event_ != dispatch_.last_event;
  return running ? std::optional(silent_since_) : std::nullopt;
}

bool FleetCall::IsStalled(Instant now) const {
  if (done_ || !sending_ || path_broken_since_ ||
      request_.route->kind != CallKind::kStream)
    return false;
  return now - silent_since_ >= StallTimeout();
}

const CallDispatch* FleetCall::FindOverduePath(Instant now) const {
  if (done_ || request_.route->kind != CallKind::kStream)
    return nullptr;
  for (const Replacement& it : replacements_) {
    if (!it.suspected && now >= it.sent_at + kFirstEventStallTimeout)
      return &it.path;
  }
  return IsStalled(now) ? &dispatch_ : nullptr;
}

Milliseconds FleetCall::StallTimeout() const {
  if (!relaying_ || last_event_ == dispatch_.last_event)
    return kFirstEventStallTimeout;
  const auto usual =
      Milliseconds(static_cast<int64_t>(kStallFactor * dispatch_.event_ms) + 1);
  return std::clamp(usual, kMinStallTimeout, kMaxStallTimeout);
}

void FleetCall::EndCall(CallEndReason end,
                        bool has_buffered_response,
                        Instant now) {
  done_ = true;
  if (relaying_) {
    delegate_->AbortResponse(end);
    return;
  }
  if (has_buffered_response) {
    delegate_->RelayBufferedResponse();
    return;
  }
  CallFailure failure;
  failure.end = end;
  failure.execution_status = execution_status_;
  if (execution_status_ == ExecutionStatus::kNotRun &&
      now < request_.caller_deadline) {
    failure.status = 503;
    failure.retry_after = delegate_->RetryAfter(request_, end);
  } else {
    failure.status = end == CallEndReason::kDeadline ? 504 : 502;
  }
  delegate_->Fail(failure);
}

}  // namespace bbv
