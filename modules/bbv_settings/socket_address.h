#ifndef MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_
#define MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bbv {

// An IPv4 number and a TCP port. Names are never looked up.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  // Returns "ip:port". Thread safe.
  std::string ToString() const { return ip + ":" + std::to_string(port); }
  bool operator==(const SocketAddress&) const = default;
};

// Reads "a.b.c.d:port"; nothing for any other text. Thread safe.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_
