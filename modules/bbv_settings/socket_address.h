#ifndef MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_
#define MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bbv {

// A numeric IPv4 address and a TCP port. Host names are not resolved.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  // Returns "ip:port". Thread safe.
  std::string ToString() const { return ip + ":" + std::to_string(port); }
  bool operator==(const SocketAddress&) const = default;
};

// Parses "a.b.c.d:port". Returns std::nullopt for any other text, including
// port 0. Thread safe.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace bbv

#endif  // MODULES_BBV_SETTINGS_SOCKET_ADDRESS_H_
