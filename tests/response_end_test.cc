#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "bbv_front/http_client.h"
#include "bbv_http/event_splitter.h"
#include "bbv_platform/http_connection.h"
#include "raw_server.h"

namespace bbv {
namespace {

constexpr char kCloseDelimitedHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n";
constexpr char kEvent[] = "id: 1\ndata: x\n\n";
constexpr Milliseconds kTimeout{2000};

// Records how a response of the event loop's client ends.
class EndRecorder final : public ExchangeSink {
 public:
  explicit EndRecorder(EventLoop* loop) : loop_(loop) {}

  void OnResponseHead(HttpHead) override {}
  void OnResponseBody(std::string_view data) override { splitter_.Split(data); }
  void OnResponseEnd() override {
    whole = !splitter_.has_partial_event();
    loop_->Stop();
  }
  void OnExchangeFailed(ExchangeFailure, MessageFault) override {
    whole = false;
    loop_->Stop();
  }

  std::optional<bool> whole;

 private:
  EventLoop* loop_;
  EventSplitter splitter_;
};

// Whether an entry before targets that forward takes the stream for whole.
bool IsWholeForFleetEntry(const std::string& response, bool reset) {
  const RawServer server(response, reset);
  EventLoop loop;
  HttpClient client(&loop);
  EndRecorder recorder(&loop);
  ExchangeRequest request;
  request.address = server.address();
  request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  request.connect_deadline = EventLoop::Now() + kTimeout;
  request.deadline = EventLoop::Now() + kTimeout;
  client.Send(std::move(request), &recorder);
  loop.StartPeriodicTimer(Milliseconds(20),
                          [&] { client.OnTick(EventLoop::Now()); });
  loop.Run();
  return *recorder.whole;
}

// Whether a side takes the response of its service for whole.
bool IsWholeForSide(const std::string& response, bool reset) {
  const RawServer server(response, reset);
  HttpConnection connection(server.address(), Operation::kServiceCall,
                            kTimeout);
  return connection.Get("/").has_value();
}

}  // namespace

TEST_GROUP(ResponseEnd){};

TEST(ResponseEnd, AResponseThatEndsWithItsConnectionIsWhole) {
  const std::string response = std::string(kCloseDelimitedHead) + kEvent;
  CHECK(IsWholeForFleetEntry(response, false));
  CHECK(IsWholeForSide(response, false));
}

TEST(ResponseEnd, AStreamThatEndsInsideAnEventIsNotWhole) {
  for (const char* cut : {"id: 2", "id: 2\ndata: \xe2\x82", "id: 2\ndata: y\n"})
    CHECK(!IsWholeForFleetEntry(std::string(kCloseDelimitedHead) + kEvent + cut,
                                false));
}

TEST(ResponseEnd, AResponseThatEndsInsideItsHeadIsNotWhole) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: te";
  CHECK(!IsWholeForFleetEntry(response, false));
  CHECK(!IsWholeForSide(response, false));
}

TEST(ResponseEnd, AResponseThatIsResetIsNotWhole) {
  const std::string response = std::string(kCloseDelimitedHead) + kEvent;
  CHECK(!IsWholeForFleetEntry(response, true));
  CHECK(!IsWholeForSide(response, true));
}

TEST(ResponseEnd, AResponseShorterThanItsLengthIsNotWhole) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + std::string(kEvent);
  CHECK(!IsWholeForFleetEntry(response, false));
  CHECK(!IsWholeForSide(response, false));
}

}  // namespace bbv
