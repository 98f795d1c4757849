#ifndef MODULES_BBV_WIRE_REQUEST_ID_H_
#define MODULES_BBV_WIRE_REQUEST_ID_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_wire/wire_generated.h"

namespace bbv {

using RequestId = wire::RequestId;

// Returns the 32 hexadecimal digits of `id`. Thread safe.
std::string ToString(const RequestId& id);

// Reads 32 hexadecimal digits; nothing for any other text. Thread safe.
std::optional<RequestId> ParseRequestId(std::string_view text);

// Hash of a RequestId, whose bits are already evenly spread.
struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const {
    return id.low() ^ (id.high() * 0x9e3779b97f4a7c15ULL);
  }
};

}  // namespace bbv

#endif  // MODULES_BBV_WIRE_REQUEST_ID_H_
