#include "bbv_settings/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bbv {

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  SocketAddress address;
  address.ip = text.substr(0, colon);
  // inet_pton() would ignore all text after a null character.
  if (address.ip.find('\0') != std::string::npos)
    return std::nullopt;
  in_addr ignored{};
  if (inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1)
    return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (ec != std::errc() || end != port.data() + port.size() ||
      address.port == 0)
    return std::nullopt;
  return address;
}

}  // namespace bbv
