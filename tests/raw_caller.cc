#include "raw_caller.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace bbv {

int ConnectToLoopback(int port, int receive_bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

RawCaller::RawCaller(int port, int receive_bytes)
    : fd_(ConnectToLoopback(port, receive_bytes)) {
  if (fd_ < 0)
    std::abort();
}

RawCaller::RawCaller(RawCaller&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      received_(std::move(other.received_)),
      ended_(other.ended_),
      reset_(other.reset_) {}

RawCaller::~RawCaller() {
  if (fd_ >= 0)
    close(fd_);
}

bool RawCaller::Send(const std::string& data) const {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

const std::string& RawCaller::Receive(int limit_ms, const std::string& text) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (!ended_ &&
         (text.empty() || received_.find(text) == std::string::npos)) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd polled{fd_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&polled, 1, static_cast<int>(left.count())) <= 0)
      return received_;
    std::array<char, 16384> buf;
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0) {
      received_.append(buf.data(), static_cast<std::size_t>(n));
      continue;
    }
    ended_ = true;
    reset_ = n < 0 && errno == ECONNRESET;
  }
  return received_;
}

std::string RequestText(const std::string& path,
                        const std::string& id,
                        const std::string& lines,
                        const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Key: key\r\nX-Deadline-Ms: 6000\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int CountOf(const std::string& whole, const std::string& text) {
  int count = 0;
  for (std::size_t at = whole.find(text); at != std::string::npos;
       at = whole.find(text, at + text.size()))
    ++count;
  return count;
}

}  // namespace bbv
