#include "bbv_entry/store_client.h"

#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kConnectTimeout{700};
constexpr int kOk = 200;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kTooManyRequests = 429;

std::string EncodeRequest(const platform::StoreCall& call,
                          const SocketAddress& address) {
  std::string out = call.method + ' ' + call.path + " HTTP/1.1\r\n";
  AppendField("Host", address.ToString(), &out);
  if (!call.content_type.empty())
    AppendField("Content-Type", call.content_type, &out);
  if (call.method != "GET")
    AppendField("Content-Length", std::to_string(call.body.size()), &out);
  out += "\r\n";
  out += call.body;
  return out;
}

}  // namespace

StoreClient::StoreClient(HttpClient* client,
                         SocketAddress address,
                         DecisionLog* log)
    : client_(client), address_(std::move(address)), log_(log) {
  assert(client != nullptr && log != nullptr);
}

void StoreClient::Call(const platform::StoreCall& call,
                       Milliseconds timeout,
                       Callback done) {
  const Instant now = EventLoop::Now();
  ExchangeRequest request;
  request.address = address_;
  request.bytes = EncodeRequest(call, address_);
  request.connect_deadline = now + kConnectTimeout;
  request.deadline = now + timeout;
  ++calls_;
  ResponseCollector::Fetch(
      client_, std::move(request),
      [this, done = std::move(done)](const HttpResponse* answer) {
        if (answer == nullptr) {
          SetReachable(false, "no answer");
          // A path that is broken without notice affects them too.
          CloseIdleConnections();
          done(Fail(Operation::kLogRead, address_.ToString(), "no answer"));
          return;
        }
        const int status = answer->head.status;
        const int64_t era = platform::DecodeEra(answer->head);
        UpdateEra(era);
        const bool is_available =
            status < kFirstServerErrorStatus && status != kTooManyRequests;
        SetReachable(is_available, "status " + std::to_string(status));
        if (is_available)
          done(StoreAnswer{status, era, answer->body});
        else
          done(Fail(Operation::kLogRead, address_.ToString(),
                    "status " + std::to_string(status)));
      });
}

void StoreClient::ReadNewest(
    std::string_view topic,
    std::string_view after_key,
    Milliseconds timeout,
    std::function<void(const Result<platform::NewestPage>&)> done) {
  Call(platform::EncodeNewest(topic, after_key), timeout,
       [this, done = std::move(done)](const Result<StoreAnswer>& answer) {
         if (!answer) {
           done(tl::make_unexpected(answer.error()));
           return;
         }
         if (answer->status != kOk) {
           done(Fail(Operation::kLogRead, address_.ToString(),
                     "status " + std::to_string(answer->status)));
           return;
         }
         auto page = platform::DecodeNewest(answer->body);
         if (page)
           page->era = answer->era;
         done(page);
       });
}

void StoreClient::UpdateEra(int64_t era) {
  if (era <= era_)
    return;
  // The first answer sets the initial era.
  if (era_ > 0) {
    log_->Write(Event::kStoreEraChanged, EventLoop::Now(),
                {{"store", address_.ToString()}, {"era", era}});
  }
  era_ = era;
}

void StoreClient::SetReachable(bool reachable, const std::string& cause) {
  if (reachable == reachable_)
    return;
  const Instant now = EventLoop::Now();
  reachable_ = reachable;
  reachable_since_ = now;
  log_->Write(reachable ? Event::kStoreRegained : Event::kStoreLost, now,
              {{"store", address_.ToString()}, {"cause", cause}});
}

}  // namespace bbv
