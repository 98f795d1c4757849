#include "bbv_node/http_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bbv_core/event.h"
#include "bbv_core/instant.h"
#include "bbv_node/http_answers.h"

namespace bbv {
namespace {

constexpr int kKeepAliveMaximumRequests = 10'000;
constexpr int kKeepAliveSeconds = 5;
constexpr int kFirstErrorStatus = 400;

}  // namespace

HttpServer::HttpServer(const NodeSettings& settings,
                       Metrics* metrics,
                       Probes probes)
    : address_(settings.http_address) {
  const int threads = settings.http_threads;
  server_.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server_.set_keep_alive_max_count(kKeepAliveMaximumRequests);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_tcp_nodelay(true);
  server_.set_payload_max_length(settings.http_maximum_body_bytes);
  server_.set_read_timeout(Milliseconds(settings.http_read_timeout_ms));
  server_.set_write_timeout(Milliseconds(settings.http_read_timeout_ms));
  AddProbes(std::move(probes));
  AddFaultHandlers(metrics);
}

HttpServer::~HttpServer() {
  Stop();
}

Result<void> HttpServer::Start() {
  if (!server_.bind_to_port(address_.ip, address_.port))
    return Fail(Operation::kConnect, address_.ToString(), "cannot listen");
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return {};
}

void HttpServer::Stop() {
  server_.stop();
  if (thread_.joinable())
    thread_.join();
}

void HttpServer::AddProbes(Probes probes) {
  server_.Get("/livez",
              [](const httplib::Request&, httplib::Response& response) {
                response.set_content("live\n", "text/plain");
              });
  server_.Get("/readyz", [ready = std::move(probes.ready)](
                             const httplib::Request&,
                             httplib::Response& response) {
    const bool is_ready = ready();
    response.status = is_ready ? 200 : 503;
    response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server_.Get("/metrics",
              [metrics = std::move(probes.metrics)](
                  const httplib::Request&, httplib::Response& response) {
                response.set_content(metrics(), "text/plain; version=0.0.4");
              });
}

void HttpServer::AddFaultHandlers(Metrics* metrics) {
  // Called for every error status; those without a body come from the library
  // itself: malformed, oversize or slow requests and unknown paths.
  server_.set_error_handler(httplib::Server::HandlerWithResponse(
      [metrics](const httplib::Request&, httplib::Response& response) {
        if (response.status < kFirstErrorStatus || !response.body.empty())
          return httplib::Server::HandlerResponse::Unhandled;
        const std::string fault = "http-" + std::to_string(response.status);
        metrics->CountClientFault(fault);
        LogEvent(Event::kClientRequestRejected, {{"fault", fault}});
        SetErrorAnswer(&response, response.status, Outcome::kNotRun, fault,
                       "the request could not be read or has no route");
        return httplib::Server::HandlerResponse::Handled;
      }));
}

}  // namespace bbv
