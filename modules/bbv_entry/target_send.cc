#include "bbv_entry/target_send.h"

#include <cassert>
#include <utility>

namespace bbv {

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

void TargetSend::OnResponseHead(HttpHead response_head) {
  owner_->OnResponseHead(this, std::move(response_head));
}

void TargetSend::OnResponseBody(std::string_view data) {
  owner_->OnResponseBody(this, data);
}

void TargetSend::OnResponseEnd() {
  owner_->OnResponseEnd(this);
}

void TargetSend::OnExchangeFailed(ExchangeFailure failure) {
  owner_->OnExchangeFailed(this, failure);
}

}  // namespace bbv
