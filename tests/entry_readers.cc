#include "entry_readers.h"

#include <string_view>
#include <utility>

#include "bbv_entry/store_client.h"
#include "bbv_observe/decision_log.h"
#include "platform/call_codec.h"

namespace bbv {
namespace {

// Records what reaches the owner of an exchange.
class Recorder final : public ExchangeSink {
 public:
  explicit Recorder(EventLoop* loop) : loop_(loop) {}

  void OnResponseHead(HttpHead) override { output_ += "head "; }
  void OnResponseBody(std::string_view data) override { output_ += data; }
  void OnResponseEnd() override { Stop(" whole"); }
  void OnExchangeFailed(ExchangeFailure failure, MessageFault) override {
    Stop(failure == ExchangeFailure::kBroken ? "broken" : "other failure");
  }

  const std::string& output() const { return output_; }

 private:
  void Stop(const char* end) {
    output_ += end;
    loop_->Stop();
  }

  EventLoop* loop_;
  std::string output_;
};

}  // namespace

ClientLoop::ClientLoop() {
  loop.StartPeriodicTimer(Milliseconds(20),
                          [this] { client.OnTick(EventLoop::Now()); });
}

std::string ReadAsCall(ClientLoop* entry,
                       const SocketAddress& address,
                       const std::string& id) {
  Recorder recorder(&entry->loop);
  ExchangeRequest request;
  request.address = address;
  request.bytes = "GET /x HTTP/1.1\r\nX-Attempt-Id: " + id + "\r\n\r\n";
  request.id_field = platform::kAttemptIdField;
  request.attempt_id = id;
  request.connect_deadline = EventLoop::Now() + kReaderTimeout;
  request.deadline = EventLoop::Now() + kReaderTimeout;
  entry->client.Send(std::move(request), &recorder);
  entry->loop.Run();
  return recorder.output();
}

OrderAnswer ReadAsOrder(const SocketAddress& address) {
  ClientLoop entry;
  OrderAnswer order;
  PostOrder(&entry.client,
            {"t", address.ToString(), "{}", EventLoop::Now() + kReaderTimeout},
            [&](const OrderAnswer& answer) {
              order = answer;
              entry.loop.Stop();
            });
  entry.loop.Run();
  return order;
}

ReportAnswer ReadAsReport(const SocketAddress& address) {
  ClientLoop entry;
  ReportAnswer report;
  FetchReport(&entry.client,
              {address.ToString(), /*started_unix_ms=*/0,
               EventLoop::Now() + kReaderTimeout},
              [&](const ReportAnswer& answer) {
                report = answer;
                entry.loop.Stop();
              });
  entry.loop.Run();
  return report;
}

bool IsStoreCallAnswered(const SocketAddress& address) {
  ClientLoop entry;
  DecisionLog log("test");
  StoreClient store(&entry.client, address, &log);
  bool answered = true;
  store.Call({"GET", "/x", {}, {}}, kReaderTimeout,
             [&](const Result<StoreAnswer>& answer) {
               answered = answer.has_value();
               entry.loop.Stop();
             });
  entry.loop.Run();
  return answered || store.reachable();
}

}  // namespace bbv
