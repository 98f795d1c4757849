#include "raw_server.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace bbv {
namespace {

constexpr std::size_t kRequestBytes = 4096;
constexpr int kPollMs = 10;

// Returns a socket that listens on `port` of the loopback interface, on a free
// one if it is 0.
int Listen(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, SOMAXCONN) != 0)
    std::abort();
  return listener;
}

}  // namespace

RawServer::RawServer(std::string response, bool reset)
    : RawServer(std::vector{std::move(response)}, reset) {}

RawServer::RawServer(std::vector<std::string> responses, bool reset)
    : listener_(Listen(0)) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) !=
      0)
    std::abort();
  address_ = {"127.0.0.1", ntohs(address.sin_port)};
  thread_ = std::thread([this, responses = std::move(responses), reset] {
    Serve(responses, reset);
  });
}

RawServer::~RawServer() {
  thread_.join();
  close(listener_);
}

void RawServer::Serve(const std::vector<std::string>& responses,
                      bool reset) const {
  const int connection = accept(listener_, nullptr, nullptr);
  std::array<char, kRequestBytes> request{};
  for (const std::string& it : responses) {
    if (recv(connection, request.data(), request.size(), 0) <= 0) {
      close(connection);
      return;
    }
    send(connection, it.data(), it.size(), MSG_NOSIGNAL);
  }
  if (reset) {
    // Lets the peer read the data before the reset discards it.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const linger abort{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  close(connection);
}

RawResponder::RawResponder(int port)
    : listener_(Listen(port)), thread_([this] { Serve(); }) {}

RawResponder::~RawResponder() {
  stopping_ = true;
  thread_.join();
  close(listener_);
}

void RawResponder::SetResponse(std::string response) {
  const std::lock_guard lock(mutex_);
  response_ = std::move(response);
}

void RawResponder::Serve() {
  while (!stopping_) {
    pollfd waits{listener_, POLLIN, 0};
    if (poll(&waits, 1, kPollMs) > 0)
      Respond(accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC));
  }
}

void RawResponder::Respond(int connection) {
  // A connection may bring no request.
  const timeval limit{1, 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::array<char, kRequestBytes> request{};
  if (recv(connection, request.data(), request.size(), 0) > 0) {
    const std::lock_guard lock(mutex_);
    send(connection, response_.data(), response_.size(), MSG_NOSIGNAL);
    ++answered_;
  }
  close(connection);
}

}  // namespace bbv
