#ifndef MODULES_BBV_WIRE_REQUEST_ID_H_
#define MODULES_BBV_WIRE_REQUEST_ID_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_wire/wire_generated.h"

namespace bbv {

using RequestId = wire::RequestId;

// Returns `id` as 32 lowercase hexadecimal digits. Thread safe.
std::string ToString(const RequestId& id);

// Parses 32 lowercase hexadecimal digits. Returns std::nullopt for any other
// text. Thread safe.
std::optional<RequestId> ParseRequestId(std::string_view text);

// Hashes a RequestId. The bits of request ids are already evenly distributed,
// so a cheap combination of both halves suffices.
struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const {
    return id.low() ^ (id.high() * 0x9e3779b97f4a7c15ULL);
  }
};

}  // namespace bbv

#endif  // MODULES_BBV_WIRE_REQUEST_ID_H_
