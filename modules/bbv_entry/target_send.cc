#include "bbv_entry/target_send.h"

#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr int kFirstServerErrorStatus = 500;

}  // namespace

TargetSend::TargetSend(TargetSendOwner* owner,
                       int number,
                       CallDispatch path,
                       bool resumes_stream,
                       Instant now)
    : number(number),
      sent_at(now),
      dispatch(std::move(path)),
      resuming(resumes_stream),
      owner_(owner) {
  assert(owner != nullptr);
}

std::optional<AnswerFault> TargetSend::FindAnswerFault() const {
  const std::string status = std::to_string(head.status);
  if (fields.not_run) {
    return AnswerFault{
        {CallEndReason::kNoRoom, true, false, fields.fault_address},
        "not run, status " + status};
  }
  if (is_success() && (!fields.has_signature || fields.encoded)) {
    return AnswerFault{{CallEndReason::kBadAnswer, false, false, {}},
                       "not the target's body"};
  }
  if (head.status >= kFirstServerErrorStatus || resuming) {
    return AnswerFault{{CallEndReason::kBadAnswer, false, !resuming, {}},
                       "status " + status};
  }
  return std::nullopt;
}

bool TargetSend::IsMisdirected() const {
  const std::string& fault = fields.fault_address;
  return platform::IsFromOtherTarget(head) &&
         (fault.empty() || fault == dispatch.target_address);
}

bool TargetSend::ReserveBody(std::size_t bytes) {
  if (bytes <= body.capacity())
    return body_hold.GrowTo(bytes);
  // The body grows by half, so that few bytes are moved and little room stays
  // unused.
  for (const std::size_t capacity : {bytes + bytes / 2, bytes}) {
    if (!body_hold.GrowTo(capacity))
      continue;
    body.reserve(capacity);
    return true;
  }
  return false;
}

std::shared_ptr<const std::string> TargetSend::TakeBody() {
  return ShareHeldText(std::exchange(body, {}), std::move(body_hold));
}

void TargetSend::OnResponseHead(HttpHead response_head) {
  owner_->OnResponseHead(this, std::move(response_head));
}

void TargetSend::OnResponseBody(std::string_view data) {
  owner_->OnResponseBody(this, data);
}

void TargetSend::OnResponseEnd() {
  owner_->OnResponseEnd(this);
}

void TargetSend::OnExchangeFailed(ExchangeFailure failure, MessageFault fault) {
  owner_->OnExchangeFailed(this, failure, fault);
}

}  // namespace bbv
