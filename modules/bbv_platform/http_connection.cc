#include "bbv_platform/http_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bbv {
namespace {

constexpr int kFirstFinalStatus = 200;

bool IsQuiet(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpConnection::HttpConnection(const SocketAddress& address,
                               Operation step,
                               Milliseconds timeout)
    : peer_(address.ToString()),
      step_(step),
      client_(std::make_unique<httplib::Client>(address.ip, address.port)) {
  client_->set_keep_alive(true);
  client_->set_tcp_nodelay(true);
  client_->set_connection_timeout(timeout);
  client_->set_read_timeout(timeout);
  client_->set_write_timeout(timeout);
}

Result<httplib::Response> HttpConnection::Get(const std::string& path) {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  return Send(std::move(request));
}

Result<httplib::Response> HttpConnection::Post(const std::string& path,
                                               const std::string& body,
                                               const char* content_type) {
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  request.set_header("Content-Type", content_type);
  return Send(std::move(request));
}

Result<httplib::Response> HttpConnection::Send(httplib::Request request) {
  CloseUnlessQuiet();
  // httplib skips 100 (Continue) but takes any other interim response for the
  // final one, and the bytes after it for its body.
  int status = kFirstFinalStatus;
  request.response_handler = [&status](const httplib::Response& response) {
    status = response.status;
    return status >= kFirstFinalStatus;
  };
  auto result = client_->send(request);
  // The handler is not called for responses that have no body.
  if (result)
    status = result->status;
  if (status >= kFirstFinalStatus)
    return ToResult(std::move(result));
  // The final response may still arrive on the connection.
  Abort();
  return Fail(step_, peer_, "interim response " + std::to_string(status));
}

void HttpConnection::Abort() {
  const std::lock_guard lock(mutex_);
  client_->stop();
}

void HttpConnection::CloseUnlessQuiet() {
  const std::lock_guard lock(mutex_);
  const auto socket = client_->socket();
  if (socket != INVALID_SOCKET && !IsQuiet(socket))
    client_->stop();
}

Result<httplib::Response> HttpConnection::ToResult(
    httplib::Result result) const {
  if (result)
    return std::move(result.value());
  // If no connection was established, the peer cannot have received the
  // request.
  const bool not_performed =
      result.error() == httplib::Error::Connection ||
      result.error() == httplib::Error::ConnectionTimeout;
  return Fail(step_, peer_, httplib::to_string(result.error()), not_performed);
}

}  // namespace bbv
