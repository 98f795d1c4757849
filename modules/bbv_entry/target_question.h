#ifndef MODULES_BBV_ENTRY_TARGET_QUESTION_H_
#define MODULES_BBV_ENTRY_TARGET_QUESTION_H_

#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Returns a request of this system's own to a target, such as for its report
// or with an order. Precondition: `address` is of the form ip:port. Thread
// safe.
ExchangeRequest MakeTargetRequest(const std::string& address,
                                  std::string_view method,
                                  std::string_view path,
                                  const std::string& json_body,
                                  Instant deadline);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_QUESTION_H_
