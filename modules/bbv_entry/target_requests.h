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

// Returns a request that this entry itself makes to a target, such as for its
// report or an order. Precondition: `address` has the form ip:port. Thread
// safe.
ExchangeRequest MakeTargetRequest(const std::string& address,
                                  std::string_view method,
                                  std::string_view path,
                                  const std::string& json_body,
                                  Instant deadline);

// Typical age of a report's values on arrival.
inline constexpr Milliseconds kTypicalReportAge{200};

// Result of a report request.
struct ReportAnswer {
  // Whether a complete HTTP response arrived in time.
  bool answered = false;
  // Set if the response was a valid report.
  std::optional<platform::TargetReport> report;
};

// A request for a target's report.
struct ReportRequest {
  // In the form ip:port.
  std::string address;
  Instant deadline;
  // Whether an idle connection may be reused. A connection to an instance that
  // is gone gives no error, so a liveness check needs a new one.
  bool may_reuse = true;
};

// Requests a target's report. `done` is called exactly once and never
// synchronously. Thread safety: none, the loop's thread.
void FetchReport(HttpClient* client,
                 const ReportRequest& report_request,
                 std::function<void(const ReportAnswer&)> done);

// Result of an order sent to a target.
struct OrderAnswer {
  // 0 if no response arrived in time.
  int status = 0;
  // Address of the hop that a refusal names as the cause; may be empty.
  std::string fault_address;

  // Whether the target has started the order, and whether it has either started
  // the order or already satisfied it.
  bool is_started() const;
  bool is_accepted() const;
  // Whether the order did not match the target's state.
  bool is_conflict() const;
};

// Sends the order in `json_body` to the target at `address`. `done` is called
// exactly once and never synchronously. Precondition: `address` has the form
// ip:port. Thread safety: none, the loop's thread.
void PostOrder(HttpClient* client,
               const std::string& address,
               const std::string& json_body,
               Instant deadline,
               std::function<void(const OrderAnswer&)> done);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_REQUESTS_H_
