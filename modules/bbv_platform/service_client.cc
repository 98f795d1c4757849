#include "bbv_platform/service_client.h"

#include <utility>

#include "bbv_wire/request_id.h"

namespace bbv {
namespace {

constexpr char kRequestIdField[] = "Bluebellvalve-Request-Id";

HttpHead MakeHead(const wire::ServiceCallT& call) {
  HttpHead head;
  head.method = call.method;
  head.target = call.path;
  for (const wire::HeaderT& it : call.headers)
    head.fields.push_back({it.name, it.value});
  head.fields.push_back({kRequestIdField, ToString(call.request)});
  return head;
}

}  // namespace

Result<wire::ServiceAnswerT> CallService(const SocketAddress& address,
                                         Milliseconds timeout,
                                         const wire::ServiceCallT& call) {
  HttpConnection connection(address, Operation::kServiceCall, timeout);
  const std::string body(call.body.begin(), call.body.end());
  const auto response = connection.Send(MakeHead(call), body);
  if (!response)
    return tl::make_unexpected(response.error());
  wire::ServiceAnswerT answer;
  answer.status = static_cast<uint16_t>(response->head.status);
  answer.body.assign(response->body.begin(), response->body.end());
  for (const HttpField& it : response->head.fields) {
    if (!IsEndToEndField(response->head, it))
      continue;
    wire::HeaderT header;
    header.name = it.name;
    header.value = it.value;
    answer.headers.push_back(std::move(header));
  }
  return answer;
}

}  // namespace bbv
