#ifndef MODULES_BBV_ENTRY_TARGET_REQUESTS_H_
#define MODULES_BBV_ENTRY_TARGET_REQUESTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_front/http_client.h"
#include "platform/target_codec.h"

namespace bbv {

// Returns a request of this system's own to a target, such as for its report
// or with an order. Precondition: `address` is of the form ip:port. Thread
// safe.
ExchangeRequest MakeTargetRequest(const std::string& address,
                                  std::string_view method,
                                  std::string_view path,
                                  const std::string& json_body,
                                  Instant deadline);

// Usual age of a report's values when it comes.
inline constexpr Milliseconds kTypicalReportAge{200};

// How a question for a target's report ended.
struct ReportAnswer {
  // Whether any whole answer came in time.
  bool answered = false;
  // Set when the answer was a report that can be read.
  std::optional<platform::TargetReport> report;
};

// A question for a target's report.
struct ReportRequest {
  // Of the form ip:port.
  std::string address;
  Instant deadline;
  // Whether a kept connection may be used; one to an instance that is gone
  // stays silent.
  bool may_reuse = true;
};

// Asks a target for its report; `done` is called once, never from within this
// call. Thread safety: none, the loop's thread.
void FetchReport(HttpClient* client,
                 const ReportRequest& question,
                 std::function<void(const ReportAnswer&)> done);

// How an order to a target ended.
struct OrderAnswer {
  // 0 when no answer came in time.
  int status = 0;
  // Address of the hop that a refusal names as the cause; may be empty.
  std::string fault_address;

  // Whether it was begun, and whether it was begun or held already.
  bool is_started() const;
  bool is_accepted() const;
  // Whether it did not fit the target's state.
  bool is_conflict() const;
};

// Gives the order in `json_body` to the target at `address`; `done` is called
// once, never from within this call. Precondition: `address` is of the form
// ip:port. Thread safety: none, the loop's thread.
void PostOrder(HttpClient* client,
               const std::string& address,
               const std::string& json_body,
               Instant deadline,
               std::function<void(const OrderAnswer&)> done);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_REQUESTS_H_
