#include "bbv_platform/service_client.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "bbv_wire/request_id.h"

namespace bbv {
namespace {

// Headers that belong to one connection and are not passed on.
constexpr std::array<std::string_view, 6> kConnectionHeaders = {
    "Connection",        "Content-Length", "Keep-Alive",
    "Transfer-Encoding", "LOCAL_ADDR",     "REMOTE_ADDR"};

bool IsConnectionHeader(std::string_view name) {
  return std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                   name) != kConnectionHeaders.end();
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
  auto response = connection.Send(request);
  if (!response)
    return tl::make_unexpected(response.error());
  wire::ServiceAnswerT answer;
  answer.status = response->status;
  answer.body.assign(response->body.begin(), response->body.end());
  for (const auto& [name, value] : response->headers) {
    if (IsConnectionHeader(name))
      continue;
    wire::HeaderT header;
    header.name = name;
    header.value = value;
    answer.headers.push_back(std::move(header));
  }
  return answer;
}

}  // namespace bbv
