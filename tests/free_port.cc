#include "free_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <random>

namespace bbv {
namespace {

// Binds a socket of `type` to `port` of loopback; -1 when it is taken.
int BindLoopback(int type, uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

// Whether `port` was free of both protocols. The UDP socket stays open: it
// keeps the number from other calls while the TCP port is free for its user.
bool Reserve(uint16_t port) {
  const int reservation = BindLoopback(SOCK_DGRAM, port);
  if (reservation < 0)
    return false;
  const int fd = BindLoopback(SOCK_STREAM, port);
  if (fd < 0) {
    close(reservation);
    return false;
  }
  close(fd);
  return true;
}

}  // namespace

int FreePort() {
  // Outside of the range from which connections are given theirs, so that none
  // takes the port while its owner is between two runs.
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  constexpr int kTries = 200;
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  const std::scoped_lock lock(mutex);
  for (int it = 0; it < kTries; ++it) {
    const auto port = static_cast<uint16_t>(kFirst + random() % kCount);
    if (Reserve(port))
      return port;
  }
  std::perror("bind");
  return 0;
}

}  // namespace bbv
