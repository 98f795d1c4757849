#ifndef MODULES_BBV_CORE_ERROR_H_
#define MODULES_BBV_CORE_ERROR_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "bbv_core/name_table.h"

namespace bbv {

// The step of the work at which an error arose.
enum class Operation : uint8_t {
  kSettings,
  kConfiguration,
  kLogAppend,
  kLogRead,
  kInstanceList,
  kConnect,
  kHandshake,
  kFrame,
  kEngineStep,
  kEngineOrder,
  kServiceCall,
  kOperator,
};

inline constexpr NameTable<Operation, 12> kOperationNames({
    "settings",
    "configuration",
    "log-append",
    "log-read",
    "instance-list",
    "connect",
    "handshake",
    "frame",
    "engine-step",
    "engine-order",
    "service-call",
    "operator",
});

// An error with the step and the peer at which it arose.
//
// `not_performed` is true only when it is proved that the peer did not act on
// what it was asked, for instance because no connection could be opened.
struct Error {
  Operation step = Operation::kSettings;
  std::string peer;
  std::string message;
  bool not_performed = false;

  // Returns "step: peer: message". Thread safe.
  std::string ToString() const {
    return std::string(kOperationNames.Name(step)) + ": " + peer + ": " +
           message;
  }
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns the unexpected value for a Result. Thread safe.
inline tl::unexpected<Error> Fail(Operation step,
                                  std::string peer,
                                  std::string message,
                                  bool not_performed = false) {
  return tl::make_unexpected(
      Error{step, std::move(peer), std::move(message), not_performed});
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_ERROR_H_
