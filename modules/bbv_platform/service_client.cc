#include "bbv_platform/service_client.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "bbv_wire/request_id.h"

namespace bbv {
namespace {

// Response headers that apply to a single connection or were added by httplib;
// they are not forwarded.
constexpr std::array<std::string_view, 6> kConnectionSpecificHeaders = {
    "Connection",        "Content-Length", "Keep-Alive",
    "Transfer-Encoding", "LOCAL_ADDR",     "REMOTE_ADDR"};

bool IsConnectionSpecificHeader(std::string_view name) {
  return std::find(kConnectionSpecificHeaders.begin(),
                   kConnectionSpecificHeaders.end(),
                   name) != kConnectionSpecificHeaders.end();
}

}  // namespace

Result<wire::ServiceAnswerT> CallService(const SocketAddress& address,
                                         Milliseconds timeout,
                                         const wire::ServiceCallT& call) {
  HttpConnection connection(address, Operation::kServiceCall, timeout);
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body.assign(call.body.begin(), call.body.end());
  for (const wire::HeaderT& header : call.headers)
    request.headers.emplace(header.name, header.value);
  request.headers.emplace("Bluebellvalve-Request-Id", ToString(call.request));
  auto response = connection.Send(std::move(request));
  if (!response)
    return tl::make_unexpected(response.error());
  wire::ServiceAnswerT answer;
  answer.status = response->status;
  answer.body.assign(response->body.begin(), response->body.end());
  for (const auto& [name, value] : response->headers) {
    if (IsConnectionSpecificHeader(name))
      continue;
    wire::HeaderT header;
    header.name = name;
    header.value = value;
    answer.headers.push_back(std::move(header));
  }
  return answer;
}

}  // namespace bbv
