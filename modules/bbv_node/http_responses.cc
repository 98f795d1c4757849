#include "bbv_node/http_responses.h"

#include <array>
#include <nlohmann/json.hpp>

namespace bbv {
namespace {

using nlohmann::json;

constexpr uint32_t kMillisecondsPerSecond = 1000;

// HTTP status of a refusal, indexed by Reason.
constexpr std::array<int, kReasonNames.size()> kReasonHttpStatuses = {
    500,  // none
    503,  // overloaded
    503,  // leaving
    503,  // not-ready
    503,  // no-target
    504,  // deadline
    502,  // target-fault
    502,  // peer-lost
    502,  // gap
    502,  // stale-attempt
    503,  // wrong-version
    503,  // log-unavailable
    503,  // claimed-elsewhere
    409,  // claim-lost
    422,  // key-reused
    409,  // bad-request
    404,  // unknown-request
    499,  // cancelled
};

json MakeErrorBody(Outcome outcome,
                   const std::string& code,
                   const std::string& message) {
  return {{"error",
           {{"message", message},
            {"type", "bluebellvalve_error"},
            {"code", code},
            {"outcome", kOutcomeNames.Name(outcome)}}}};
}

std::string MakeRefusalMessage(const Refusal& refusal) {
  const std::string reason(kReasonNames.Name(refusal.reason));
  switch (refusal.outcome) {
    case Outcome::kNotRun:
      return "request was not run: " + reason;
    case Outcome::kRan:
      return "request ran but its answer is incomplete: " + reason;
    case Outcome::kUnknown:
      break;
  }
  return "it is not known whether the request ran: " + reason;
}

}  // namespace

void SetErrorResponse(httplib::Response* response,
                      int status,
                      Outcome outcome,
                      const std::string& code,
                      const std::string& message) {
  response->status = status;
  response->set_header(kOutcomeHeader,
                       std::string(kOutcomeNames.Name(outcome)));
  response->set_content(MakeErrorBody(outcome, code, message).dump(),
                        "application/json");
}

void SetRefusalResponse(httplib::Response* response, const Refusal& refusal) {
  const std::string reason(kReasonNames.Name(refusal.reason));
  SetErrorResponse(
      response, kReasonHttpStatuses[static_cast<std::size_t>(refusal.reason)],
      refusal.outcome, reason, MakeRefusalMessage(refusal));
  response->set_header(kReasonHeader, reason);
  if (refusal.retry_after_milliseconds == 0)
    return;
  const uint32_t seconds =
      (refusal.retry_after_milliseconds + kMillisecondsPerSecond - 1) /
      kMillisecondsPerSecond;
  response->set_header("Retry-After", std::to_string(seconds));
}

json MakeRefusalBody(const Refusal& refusal) {
  return MakeErrorBody(refusal.outcome,
                       std::string(kReasonNames.Name(refusal.reason)),
                       MakeRefusalMessage(refusal));
}

}  // namespace bbv
