#include <CppUTest/TestHarness.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "bbv_node/http_server.h"
#include "bbv_observe/metrics.h"
#include "bbv_settings/node_settings.h"
#include "free_port.h"
#include "raw_caller.h"

namespace bbv {
namespace {

constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr char kEvent[] = "id: 1\ndata: 0\n\n";

}  // namespace

// The HTTP server of a node whose handlers don't finish their responses.
TEST_GROUP(NodeResponseEnd) {
  Metrics metrics;
  std::unique_ptr<HttpServer> server;
  int port = 0;

  void setup() override {
    port = FreePort();
    NodeSettings settings;
    settings.http_address = {"127.0.0.1", static_cast<uint16_t>(port)};
    settings.http_threads = 2;
    settings.http_maximum_body_bytes = 1000;
    settings.http_read_timeout_ms = 500;
    server =
        std::make_unique<HttpServer>(settings, &metrics, HttpServer::Probes{});
  }
  void teardown() override {
    server.reset();
  }
  // Answers /x with a stream whose first event `go_on` follows.
  void StartStream(std::function<bool()> go_on) {
    server->routes().Get("/x", [go_on = std::move(go_on)](
                                   const httplib::Request&,
                                   httplib::Response& response) {
      response.set_chunked_content_provider(
          "text/event-stream",
          [go_on, begun = false](std::size_t, httplib::DataSink& sink) mutable {
            if (std::exchange(begun, true))
              return go_on();
            return sink.write(kEvent, sizeof(kEvent) - 1);
          });
    });
    CHECK(server->Start().has_value());
  }
  // Checks that the stream was begun and ends early.
  static void CheckCut(RawCaller * caller) {
    const std::string& received = caller->Receive(2000);
    CHECK(caller->ended());
    CHECK_EQUAL(1, CountOf(received, "Transfer-Encoding: chunked\r\n"));
    CHECK_EQUAL(1, CountOf(received, std::string(kEvent) + "\r\n"));
    CHECK(!received.ends_with("0\r\n\r\n"));
  }
};

TEST(NodeResponseEnd, AStreamThatFailsHasNoLastChunk) {
  StartStream([] { return false; });
  RawCaller caller(port);
  CHECK(caller.Send(kRequest));
  CheckCut(&caller);
}

TEST(NodeResponseEnd, AStreamThatAStopEndsHasNoLastChunk) {
  std::atomic<bool> waiting{false};
  StartStream([&waiting] {
    waiting = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return true;
  });
  RawCaller caller(port);
  CHECK(caller.Send(kRequest));
  while (!waiting)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  server->Stop();
  CheckCut(&caller);
}

TEST(NodeResponseEnd, AnAnswerThatIsNotReadIsShorterThanItsLength) {
  const std::string answer(8'000'000, 'a');
  server->routes().Get(
      "/x", [&answer](const httplib::Request&, httplib::Response& response) {
        response.set_content(answer, "text/plain");
      });
  CHECK(server->Start().has_value());
  RawCaller caller(port, 8192);
  CHECK(caller.Send(kRequest));
  // The server gives up after its write timeout.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::string& received = caller.Receive(5000);
  CHECK(caller.ended());
  CHECK_EQUAL(1, CountOf(received, "Content-Length: 8000000\r\n"));
  CHECK(received.size() < answer.size());
}

}  // namespace bbv
