#ifndef MODULES_BBV_CORE_ERROR_H_
#define MODULES_BBV_CORE_ERROR_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "bbv_core/name_table.h"

namespace bbv {

// The operation that failed with an Error.
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

// Describes a failed operation.
//
// `peer` names the remote end of the operation or, for local operations, the
// input that was rejected. `not_performed` is true only if the peer provably
// did not execute the operation, for example because no connection could be
// opened.
struct Error {
  Operation operation = Operation::kSettings;
  std::string peer;
  std::string message;
  bool not_performed = false;

  // Returns "operation: peer: message". Thread safe.
  std::string ToString() const {
    return std::string(kOperationNames.Name(operation)) + ": " + peer + ": " +
           message;
  }
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns the error value from which a Result<T> can be constructed. Thread
// safe.
inline tl::unexpected<Error> Fail(Operation operation,
                                  std::string peer,
                                  std::string message,
                                  bool not_performed = false) {
  return tl::make_unexpected(
      Error{operation, std::move(peer), std::move(message), not_performed});
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_ERROR_H_
