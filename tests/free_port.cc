#include "free_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

namespace bbv {

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), n) != 0)
    std::perror("bind");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace bbv
