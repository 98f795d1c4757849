#include "bbv_entry/target_requests.h"

#include <utility>

#include "platform/call_codec.h"

namespace bbv {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
// A report names each of the target's stalled calls.
constexpr std::size_t kMaxAnswerBytes = 256U << 10U;

}  // namespace

ExchangeRequest MakeTargetRequest(const std::string& address,
                                  std::string_view method,
                                  std::string_view path,
                                  const std::string& json_body,
                                  Instant deadline,
                                  std::string_view target_id) {
  ExchangeRequest request;
  request.address = ParseSocketAddress(address).value();
  request.bytes.append(method).append(" ").append(path).append(" HTTP/1.1\r\n");
  AppendField("Host", address, &request.bytes);
  if (!target_id.empty())
    AppendField(platform::kExpectedTargetField, target_id, &request.bytes);
  if (!json_body.empty()) {
    AppendField("Content-Type", "application/json", &request.bytes);
    AppendField("Content-Length", std::to_string(json_body.size()),
                &request.bytes);
  }
  request.bytes += "\r\n" + json_body;
  // Only responses to calls carry ids.
  request.id_field = platform::kAttemptIdField;
  request.connect_deadline = deadline;
  request.deadline = deadline;
  return request;
}

bool OrderAnswer::is_started() const {
  return status == kAccepted;
}

bool OrderAnswer::is_accepted() const {
  return status == kOk || status == kAccepted;
}

bool OrderAnswer::is_conflict() const {
  return status == kConflict;
}

void PostOrder(HttpClient* client,
               const OrderRequest& order,
               std::function<void(const OrderAnswer&)> done) {
  ResponseCollector::Fetch(
      client,
      MakeTargetRequest(order.address, "POST", platform::kOrderPath,
                        order.json_body, order.deadline, order.target_id),
      [done = std::move(done)](const HttpResponse* answer) {
        OrderAnswer result;
        if (answer != nullptr)
          result.status = answer->head.status;
        if (answer != nullptr && !result.is_accepted()) {
          result.fault_address =
              platform::DecodeOrderRefusal(answer->body).fault_address;
        }
        done(result);
      },
      kMaxAnswerBytes);
}

void FetchReport(HttpClient* client,
                 const ReportRequest& report_request,
                 std::function<void(const ReportAnswer&)> done) {
  ExchangeRequest request =
      MakeTargetRequest(report_request.address, "GET", platform::kReportPath,
                        {}, report_request.deadline, report_request.target_id);
  request.may_reuse = report_request.may_reuse;
  ResponseCollector::Fetch(
      client, std::move(request),
      [done = std::move(done),
       started_unix_ms =
           report_request.started_unix_ms](const HttpResponse* answer) {
        ReportAnswer result;
        result.answered = answer != nullptr;
        result.is_from_other =
            result.answered && platform::IsFromOtherTarget(answer->head);
        if (result.answered && answer->head.status == kOk)
          result.report = platform::DecodeTargetReport(answer->body);
        if (result.report &&
            result.report->load.started_unix_ms != started_unix_ms) {
          result.is_from_other = true;
          result.is_from_successor =
              result.report->load.started_unix_ms > started_unix_ms;
          result.report.reset();
        }
        done(result);
      },
      kMaxAnswerBytes);
}

}  // namespace bbv
