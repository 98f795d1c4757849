#ifndef MODULES_BBV_ENTRY_TARGET_REQUESTS_H_
#define MODULES_BBV_ENTRY_TARGET_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_front/http_client.h"
#include "platform/target_codec.h"

namespace bbv {

// Returns a request that this entry itself makes to a target, such as for its
// report or an order. If `target_id` is not empty, only the target with this id
// carries the request out. Precondition: `address` has the form ip:port. Thread
// safe.
ExchangeRequest MakeTargetRequest(const std::string& address,
                                  std::string_view method,
                                  std::string_view path,
                                  const std::string& json_body,
                                  Instant deadline,
                                  std::string_view target_id = {});

// Typical age of a report's values on arrival.
inline constexpr Milliseconds kTypicalReportAge{200};

// Result of a report request.
struct ReportAnswer {
  // Whether a complete HTTP response arrived in time.
  bool answered = false;
  // Whether the response was the report of another process, which has taken
  // over the address: the target has ended.
  bool is_from_successor = false;
  // Whether the response shows that the process at the address is not the
  // target.
  bool is_from_other = false;
  // Set if the response was a valid report of the target.
  std::optional<platform::TargetReport> report;
};

// A request for a target's report.
struct ReportRequest {
  // In the form ip:port.
  std::string address;
  // Start of the target's process, by which its report is told from one of a
  // later process at the same address.
  int64_t started_unix_ms = 0;
  Instant deadline;
  // Whether an idle connection may be reused. A connection to an instance that
  // is gone gives no error, so a liveness check needs a new one.
  bool may_reuse = true;
  // If not empty, only the target with this id reports; any other one that
  // listens at the address rejects the request.
  std::string target_id;
};

// Requests a target's report. `done` is called exactly once and never
// synchronously. Thread safety: none, the loop's thread.
void FetchReport(HttpClient* client,
                 const ReportRequest& report_request,
                 std::function<void(const ReportAnswer&)> done);

// Result of an order sent to a target.
struct OrderAnswer {
  // Nothing if no response arrived in time.
  std::optional<int> status;
  // Address of the hop that a refusal names as the cause; may be empty.
  std::string fault_address;

  // Value for logs, where 0 stands for no response.
  int64_t logged_status() const { return status.value_or(0); }
  // Whether the target has started the order, and whether it has either started
  // the order or already satisfied it.
  bool is_started() const;
  bool is_accepted() const;
  // Whether the order did not match the target's state.
  bool is_conflict() const;
};

// An order for a target.
struct OrderRequest {
  // The only target that may carry out the order; any other one that listens at
  // the address rejects it.
  std::string target_id;
  // In the form ip:port.
  std::string address;
  std::string json_body;
  Instant deadline;
};

// Sends an order. `done` is called exactly once and never synchronously. Thread
// safety: none, the loop's thread.
void PostOrder(HttpClient* client,
               const OrderRequest& order,
               std::function<void(const OrderAnswer&)> done);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_REQUESTS_H_
