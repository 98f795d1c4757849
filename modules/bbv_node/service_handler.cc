#include "bbv_node/service_handler.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "bbv_core/event.h"
#include "bbv_core/hashing.h"
#include "bbv_node/caller_request_scope.h"
#include "bbv_node/entry_node.h"
#include "bbv_node/http_responses.h"

namespace bbv {
namespace {

constexpr char kServicePattern[] = R"(/services/([A-Za-z0-9_.-]+)(/.*))";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kMaximumKeyLength = 255;

// Request headers that describe the caller's connection or carry its
// credentials and are therefore not forwarded to the service.
constexpr std::array<std::string_view, 10> kUnforwardedHeaders = {
    "authorization",    "host",        "connection",
    "content-length",   "keep-alive",  "local_addr",
    "local_port",       "remote_addr", "remote_port",
    "transfer-encoding"};

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

bool IsUnforwardedHeader(const std::string& name) {
  return std::find(kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
                   ToLower(name)) != kUnforwardedHeaders.end();
}

RequestId MakeKeyedRequestId(const std::string& account,
                             const std::string& service,
                             const std::string& key) {
  const Hash128 hash = HashBytes128(account + '\0' + service + '\0' + key);
  return {hash.high, hash.low};
}

wire::ServiceCallT MakeCall(EntryNode* node,
                            const httplib::Request& http,
                            const Account& account,
                            const Service& service) {
  wire::ServiceCallT call;
  call.account = account.name;
  call.service = service.name;
  call.method = http.method;
  call.path = http.target.substr(kServicePrefix.size() + service.name.size());
  call.body.assign(http.body.begin(), http.body.end());
  for (const auto& [name, value] : http.headers) {
    if (IsUnforwardedHeader(name))
      continue;
    wire::HeaderT header;
    header.name = name;
    header.value = value;
    call.headers.push_back(std::move(header));
  }
  call.idempotent = service.IsIdempotent(call.method, call.path);
  const std::string key = http.get_header_value("Idempotency-Key");
  call.keyed = !call.idempotent && !key.empty();
  call.request = call.keyed
                     ? MakeKeyedRequestId(account.name, service.name, key)
                     : node->MakeRequestId();
  call.fingerprint =
      HashBytes(call.method + '\0' + call.path + '\0' + http.body);
  return call;
}

void SetServiceResponse(const wire::ServiceAnswerT& answer,
                        httplib::Response* response) {
  response->status = answer.status;
  response->set_header(kOutcomeHeader, "ran");
  std::string content_type = "application/octet-stream";
  for (const wire::HeaderT& header : answer.headers) {
    if (ToLower(header.name) == "content-type")
      content_type = header.value;
    else
      response->set_header(header.name, header.value);
  }
  response->set_content(std::string(answer.body.begin(), answer.body.end()),
                        content_type);
}

void RejectCall(EntryNode* node,
                int status,
                const std::string& code,
                const std::string& message,
                httplib::Response* response) {
  node->metrics().CountClientFault(code);
  LogEvent(Event::kClientRequestRejected, {{"fault", code}});
  SetErrorResponse(response, status, Outcome::kNotRun, code, message);
}

void RunCallAndRespond(EntryNode* node,
                       wire::ServiceCallT call,
                       const std::string& traceparent,
                       httplib::Response* response) {
  const Instant started = std::chrono::steady_clock::now();
  const uint64_t start_unix_nanoseconds = UnixNanoseconds();
  const TraceContext trace = node->MakeTrace(traceparent);
  call.traceparent = trace.ToTraceparent();
  const std::string id = ToString(call.request);
  const std::string account = call.account;
  const CallResult result = node->RunCall(
      std::move(call),
      started + Milliseconds(node->settings().request_timeout_ms));
  response->set_header(kRequestIdHeader, id);
  std::string outcome = "ran";
  if (const auto* answer = std::get_if<wire::ServiceAnswerT>(&result)) {
    SetServiceResponse(*answer, response);
  } else {
    const Refusal& refusal = std::get<Refusal>(result);
    SetRefusalResponse(response, refusal);
    outcome = kOutcomeNames.Name(refusal.outcome);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - started;
  node->metrics().ObserveCall(elapsed.count());
  node->metrics().CountRequest("service", outcome);
  node->spans().Write(
      {trace,
       "entry.call",
       start_unix_nanoseconds,
       UnixNanoseconds(),
       {{"request", id}, {"account", account}, {"outcome", outcome}}});
}

void HandleCall(EntryNode* node,
                const httplib::Request& http,
                httplib::Response& response) {
  const auto account = node->view().Authenticate(http);
  if (!account) {
    RejectCall(node, 401, "unknown-key", "bearer key is not known", &response);
    return;
  }
  const CallerRequestScope scope(node, &response);
  if (!scope.admitted())
    return;
  const auto view = node->view().Get();
  const auto service = view->configuration.services.find(http.matches[1].str());
  if (service == view->configuration.services.end()) {
    RejectCall(node, 404, "unknown-service", "service not found", &response);
    return;
  }
  if (http.get_header_value("Idempotency-Key").size() > kMaximumKeyLength) {
    RejectCall(node, 400, "bad-idempotency-key",
               "Idempotency-Key must have at most 255 characters", &response);
    return;
  }
  RunCallAndRespond(node, MakeCall(node, http, *account, service->second),
                    http.get_header_value("traceparent"), &response);
}

}  // namespace

void AddServiceRoutes(httplib::Server* server, EntryNode* node) {
  const auto handler = [node](const httplib::Request& http,
                              httplib::Response& response) {
    HandleCall(node, http, response);
  };
  server->Get(kServicePattern, handler);
  server->Post(kServicePattern, handler);
  server->Put(kServicePattern, handler);
  server->Patch(kServicePattern, handler);
  server->Delete(kServicePattern, handler);
  server->Options(kServicePattern, handler);
}

}  // namespace bbv
