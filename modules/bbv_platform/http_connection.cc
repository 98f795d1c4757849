#include "bbv_platform/http_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bbv {
namespace {

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
  CloseUnlessQuiet();
  return ToResult(client_->Get(path));
}

Result<httplib::Response> HttpConnection::Post(const std::string& path,
                                               const std::string& body,
                                               const char* content_type) {
  CloseUnlessQuiet();
  return ToResult(client_->Post(path, body, content_type));
}

Result<httplib::Response> HttpConnection::Send(
    const httplib::Request& request) {
  CloseUnlessQuiet();
  return ToResult(client_->send(request));
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
