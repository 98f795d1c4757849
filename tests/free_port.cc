#include "free_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <random>

namespace bbv {

int FreePort() {
  // Outside of the range from which connections are given theirs, so that none
  // takes the port while its owner is between two runs.
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  constexpr int kTries = 200;
  static std::mt19937 random(std::random_device{}());
  for (int it = 0; it < kTries; ++it) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(kFirst + random() % kCount));
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free)
      return ntohs(address.sin_port);
  }
  std::perror("bind");
  return 0;
}

}  // namespace bbv
