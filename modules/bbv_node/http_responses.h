#ifndef MODULES_BBV_NODE_HTTP_RESPONSES_H_
#define MODULES_BBV_NODE_HTTP_RESPONSES_H_

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>

#include "bbv_routing/refusal.h"

namespace bbv {

// Headers of the public HTTP API; see docs/CALLERS.md.
inline constexpr char kOutcomeHeader[] = "Bluebellvalve-Outcome";
inline constexpr char kRequestIdHeader[] = "Bluebellvalve-Request-Id";
inline constexpr char kReasonHeader[] = "Bluebellvalve-Reason";

// Sets an error response with its outcome. `code` is machine readable,
// `message` is for people. Thread safe.
void SetErrorResponse(httplib::Response* response,
                      int status,
                      Outcome outcome,
                      const std::string& code,
                      const std::string& message);

// Sets the response to a refused request: status, outcome, reason and, if the
// refusal has a retry delay, Retry-After. Thread safe.
void SetRefusalResponse(httplib::Response* response, const Refusal& refusal);

// Returns the error body of a refusal, also sent as the last event of a stream
// that is interrupted. Thread safe.
nlohmann::json MakeRefusalBody(const Refusal& refusal);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_HTTP_RESPONSES_H_
