#include "bbv_wire/request_id.h"

#include <cstdio>

namespace bbv {
namespace {

constexpr std::size_t kDigitCount = 32;

std::optional<uint64_t> ParseHexadecimal(std::string_view text) {
  uint64_t value = 0;
  for (const char c : text) {
    value <<= 4;
    if (c >= '0' && c <= '9')
      value |= static_cast<uint64_t>(c - '0');
    else if (c >= 'a' && c <= 'f')
      value |= static_cast<uint64_t>(c - 'a' + 10);
    else
      return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const RequestId& id) {
  char digits[kDigitCount + 1];
  std::snprintf(digits, sizeof(digits), "%016llx%016llx",
                static_cast<unsigned long long>(id.high()),
                static_cast<unsigned long long>(id.low()));
  return digits;
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != kDigitCount)
    return std::nullopt;
  const auto high = ParseHexadecimal(text.substr(0, kDigitCount / 2));
  const auto low = ParseHexadecimal(text.substr(kDigitCount / 2));
  if (!high || !low)
    return std::nullopt;
  return RequestId(*high, *low);
}

}  // namespace bbv
