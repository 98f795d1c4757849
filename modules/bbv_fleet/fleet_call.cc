#include "bbv_fleet/fleet_call.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Sends of one call that targets turned away without running it.
constexpr int kMaxSends = 5;
// Remaining time below which another send cannot bring an answer.
constexpr Milliseconds kLeastRemaining{30};
// Silence, as a multiple of the expected pause between events, after which a
// stream counts as stalled, and its bounds.
constexpr double kStallFactor = 5;
constexpr Milliseconds kShortestStall{250};
constexpr Milliseconds kLongestStall{1000};
// The same before the first event, which waits for the prompt to be read.
constexpr Milliseconds kFirstEventStall{400};
// How long a stream under way waits for a path; callers leave silent ones soon
// after.
constexpr Milliseconds kPathWait{1700};
constexpr Milliseconds kLookPause{60};
// Part of the objective, and the longest time, that a call waits for room.
constexpr int kRoomWaitPercent = 60;
constexpr Milliseconds kLongestRoomWait{400};

}  // namespace

FleetCall::FleetCall(CallRequest request, CallPorts* ports)
    : request_(std::move(request)), ports_(ports) {
  assert(ports != nullptr && request_.route != nullptr);
  last_event_ = request_.last_event;
}

void FleetCall::Start(Instant now) {
  assert(sends_ == 0 && !done_);
  SendAgain({CallEnd::kNoTarget, true, false, {}}, now);
}

void FleetCall::SendAgain(const SendFailure& failure, Instant now) {
  CallEnd end = failure.end;
  auto dispatch = ports_->Choose(request_, excluded_, now, &end);
  if (!dispatch && WaitsForPath(now)) {
    waiting_ = true;
    last_failure_ = failure;
    return;
  }
  waiting_ = false;
  if (!dispatch && sends_ == 0 && end == CallEnd::kNoRoom &&
      now < RoomDeadline() && ports_->WaitForRoom(request_, RoomDeadline()))
    return;
  if (!dispatch) {
    GiveUp(sends_ == 0 ? end : failure.end, failure.answer_at_hand, now);
    return;
  }
  if (sends_ > 0 && !ports_->TakeRetry(now)) {
    if (WaitsForPath(now)) {
      waiting_ = true;
      last_failure_ = failure;
      return;
    }
    GiveUp(CallEnd::kRetryBudgetSpent, failure.answer_at_hand, now);
    return;
  }
  SendTo(std::move(*dispatch), now);
}

void FleetCall::SendTo(CallDispatch dispatch, Instant now) {
  dispatch_ = std::move(dispatch);
  dispatch_.last_event = last_event_;
  ++sends_;
  ++runs_;
  sending_ = true;
  if (!relaying_)
    last_progress_ = now;
  sent_at_ = now;
  ports_->Send(dispatch_, now);
}

Instant FleetCall::RoomDeadline() const {
  const auto wait = std::min<Milliseconds>(
      kLongestRoomWait,
      Milliseconds(request_.route->objective_ms * kRoomWaitPercent / 100));
  return std::min(request_.arrived + wait, request_.deadline);
}

bool FleetCall::TrySendWaiting(Instant now) {
  if (done_ || sends_ > 0)
    return true;
  CallEnd end = CallEnd::kNoRoom;
  auto dispatch = ports_->Choose(request_, excluded_, now, &end);
  if (dispatch)
    SendTo(std::move(*dispatch), now);
  else if (end == CallEnd::kNoRoom)
    return false;
  else
    GiveUp(end, false, now);
  return true;
}

void FleetCall::OnWaitedInVain(Instant now) {
  if (!done_ && sends_ == 0)
    GiveUp(CallEnd::kNoRoom, false, now);
}

bool FleetCall::WaitsForPath(Instant now) const {
  return relaying_ && now < last_progress_ + kPathWait &&
         now + kLeastRemaining < request_.deadline;
}

bool FleetCall::MayRepeat(const SendFailure& failure) const {
  if (sends_ >= kMaxSends)
    return false;
  const ServiceRoute& route = *request_.route;
  const bool idempotent = route.kind == CallKind::kSafe ||
                          (route.kind == CallKind::kStream && route.resumable);
  if (relaying_ && !(route.kind == CallKind::kStream && route.resumable))
    return false;
  if (knowledge_ != RunKnowledge::kNotRun && !idempotent)
    return false;
  return failure.not_run || runs_ < std::max(1, route.max_attempts);
}

void FleetCall::Exclude(const SendFailure& failure) {
  const auto& addresses = dispatch_.hop_addresses;
  const auto it =
      std::find(addresses.begin(), addresses.end(), failure.fault_address);
  const std::string& id = it != addresses.end()
                              ? dispatch_.hop_ids[it - addresses.begin()]
                              : dispatch_.target_id;
  if (std::find(excluded_.begin(), excluded_.end(), id) == excluded_.end())
    excluded_.push_back(id);
}

void FleetCall::OnSendFailed(const SendFailure& failure, Instant now) {
  if (done_ || !sending_)
    return;
  sending_ = false;
  if (failure.not_run)
    --runs_;
  else if (failure.answer_at_hand)
    knowledge_ = RunKnowledge::kRan;
  else if (knowledge_ == RunKnowledge::kNotRun)
    knowledge_ = RunKnowledge::kUnknown;
  Exclude(failure);
  if (now + kLeastRemaining >= request_.deadline) {
    GiveUp(CallEnd::kDeadline, failure.answer_at_hand, now);
    return;
  }
  if (!MayRepeat(failure)) {
    GiveUp(failure.end, failure.answer_at_hand, now);
    return;
  }
  SendAgain(failure, now);
}

void FleetCall::OnAnswerBegun(Instant now) {
  relaying_ = true;
  knowledge_ = RunKnowledge::kRan;
  last_progress_ = now;
}

void FleetCall::OnEventRelayed(int64_t event_id, Instant now) {
  last_event_ = event_id;
  last_progress_ = now;
}

void FleetCall::OnAnswerComplete() {
  sending_ = false;
  done_ = true;
}

void FleetCall::OnCallerLeft() {
  if (done_)
    return;
  done_ = true;
  if (sending_)
    ports_->CancelSend();
  sending_ = false;
}

void FleetCall::OnTime(Instant now) {
  if (done_)
    return;
  if (waiting_) {
    if (now < next_look_)
      return;
    next_look_ = now + kLookPause;
    // Targets that failed this call may have been mended since.
    excluded_.clear();
    SendAgain(last_failure_, now);
    return;
  }
  if (now < request_.deadline)
    return;
  if (sending_) {
    ports_->CancelSend();
    sending_ = false;
    if (knowledge_ == RunKnowledge::kNotRun)
      knowledge_ = RunKnowledge::kUnknown;
  }
  GiveUp(CallEnd::kDeadline, false, now);
}

void FleetCall::OnPathFault(const std::string& target_id, Instant now) {
  if (done_ || !sending_)
    return;
  const auto& ids = dispatch_.hop_ids;
  const auto hop = std::find(ids.begin(), ids.end(), target_id);
  if (hop == ids.end())
    return;
  SendFailure failure;
  failure.fault_address = dispatch_.hop_addresses[hop - ids.begin()];
  // Left alone while it cannot go on elsewhere: the target may come back.
  if (!MayRepeat(failure))
    return;
  ports_->CancelSend();
  OnSendFailed(failure, now);
}

bool FleetCall::IsStalled(Instant now) const {
  if (done_ || !sending_ || request_.route->kind != CallKind::kStream)
    return false;
  if (!relaying_ || last_event_ == dispatch_.last_event)
    return now - sent_at_ >= kFirstEventStall;
  const auto usual =
      Milliseconds(static_cast<int64_t>(kStallFactor * dispatch_.event_ms) + 1);
  const auto bound = std::clamp(usual, kShortestStall, kLongestStall);
  return now - last_progress_ >= bound;
}

void FleetCall::GiveUp(CallEnd end, bool answer_at_hand, Instant now) {
  done_ = true;
  if (relaying_) {
    ports_->BreakOff(end);
    return;
  }
  if (answer_at_hand) {
    ports_->RelayAnswerAtHand();
    return;
  }
  CallFailure failure;
  failure.end = end;
  failure.knowledge = knowledge_;
  if (knowledge_ == RunKnowledge::kNotRun && now < request_.caller_deadline) {
    failure.status = 503;
    failure.retry_after = ports_->RetryAfter(request_, end);
  } else {
    failure.status = end == CallEnd::kDeadline ? 504 : 502;
  }
  ports_->Fail(failure);
}

}  // namespace bbv
