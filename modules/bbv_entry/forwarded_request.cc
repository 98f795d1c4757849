#include "bbv_entry/forwarded_request.h"

#include <algorithm>
#include <utility>

#include "platform/call_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kConnectTimeout{250};

}  // namespace

ExchangeRequest MakeForwardedRequest(const CallRequest& request,
                                     const CallDispatch& dispatch,
                                     const HttpHead& head,
                                     std::shared_ptr<const std::string> body,
                                     Instant now) {
  platform::ForwardFields fields;
  if (request.account != nullptr)
    fields.account = request.account->name;
  fields.remaining_ms = RemainingMilliseconds(request.deadline, now);
  if (request.has_several_priorities)
    fields.priority = request.priority;
  fields.target_id = dispatch.target_id;
  if (!dispatch.layers.empty()) {
    fields.hop_addresses = dispatch.hop_addresses;
    fields.hop_layers = dispatch.layers;
  }
  if (dispatch.last_event >= 0)
    fields.last_event = dispatch.last_event;
  fields.body_bytes = body->size();
  ExchangeRequest exchange;
  exchange.address = ParseSocketAddress(dispatch.target_address).value();
  exchange.bytes = platform::EncodeForwardedHead(head, fields);
  exchange.body = std::move(body);
  exchange.id_field = platform::kAttemptIdField;
  exchange.attempt_id = request.attempt_id;
  // The peer may have closed an idle connection without notice, and an unsafe
  // call that was sent on it cannot be repeated.
  exchange.may_reuse = request.route->kind != CallKind::kUnsafe;
  exchange.connect_deadline = std::min(now + kConnectTimeout, request.deadline);
  return exchange;
}

}  // namespace bbv
