#include "bbv_platform/blocking_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace bbv {
namespace {

// Returns the error that errno names. A passed timeout has the code of a call
// that would block.
std::string LastError(const char* operation) {
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS)
    return std::string(operation) + " timed out";
  return std::string(operation) +
         " failed: " + std::generic_category().message(errno);
}

timeval ToTimeval(Milliseconds duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  const std::chrono::microseconds rest = duration - seconds;
  return {static_cast<time_t>(seconds.count()),
          static_cast<suseconds_t>(rest.count())};
}

void SetOptions(int socket, Milliseconds timeout) {
  const timeval limit = ToTimeval(timeout);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  // Also limits connect().
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

BlockingSocket::~BlockingSocket() {
  Close();
}

std::string BlockingSocket::Connect(const SocketAddress& address,
                                    Milliseconds timeout) {
  assert(!is_open());
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr) != 1)
    return "not an IPv4 address";
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (opened < 0)
    return LastError("socket");
  SetOptions(opened, timeout);
  {
    const std::lock_guard lock(mutex_);
    socket_ = opened;
  }
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&peer),
              sizeof(peer)) == 0)
    return {};
  std::string fault = LastError("connect");
  Close();
  return fault;
}

bool BlockingSocket::IsQuiet() const {
  assert(is_open());
  char byte = 0;
  return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string BlockingSocket::Write(std::string_view data) {
  assert(is_open());
  while (!data.empty()) {
    const ssize_t n = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return LastError("write");
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return {};
}

std::string BlockingSocket::Read(std::string_view* data) {
  assert(is_open());
  buffer_.resize(kReadBytes);
  ssize_t n = 0;
  do {
    n = recv(socket_, buffer_.data(), buffer_.size(), 0);
  } while (n < 0 && errno == EINTR);
  if (n < 0)
    return LastError("read");
  *data = std::string_view(buffer_).substr(0, static_cast<std::size_t>(n));
  return {};
}

void BlockingSocket::Close() {
  const std::lock_guard lock(mutex_);
  if (socket_ >= 0)
    close(socket_);
  socket_ = -1;
}

void BlockingSocket::Shutdown() {
  const std::lock_guard lock(mutex_);
  if (socket_ >= 0)
    shutdown(socket_, SHUT_RDWR);
}

}  // namespace bbv
