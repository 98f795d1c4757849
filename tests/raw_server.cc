#include "raw_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace bbv {

RawServer::RawServer(std::string response, bool reset)
    : RawServer(std::vector{std::move(response)}, reset) {}

RawServer::RawServer(std::vector<std::string> responses, bool reset) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* const raw_address = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener_, raw_address, length) != 0 || listen(listener_, 1) != 0 ||
      getsockname(listener_, raw_address, &length) != 0)
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
  std::array<char, 4096> request{};
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

}  // namespace bbv
