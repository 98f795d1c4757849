#include <CppUTest/TestHarness.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "bbv_platform/http_connection.h"
#include "bbv_platform/log_client.h"

namespace bbv {
namespace {

constexpr Milliseconds kTimeout{1000};
constexpr std::chrono::milliseconds kCopyDelay{20};

// A server of a side that counts its connections. Register its handlers before
// Start().
class SideServer {
 public:
  SideServer() : port_(server_.bind_to_any_port("127.0.0.1")) {
    server_.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response&) {
          const std::lock_guard lock(mutex_);
          peers_.insert(request.remote_port);
          return httplib::Server::HandlerResponse::Unhandled;
        });
  }
  ~SideServer() {
    server_.stop();
    thread_.join();
  }

  void Start() {
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  httplib::Server& http() { return server_; }
  SocketAddress address() const {
    return {"127.0.0.1", static_cast<uint16_t>(port_)};
  }
  int connections() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(peers_.size());
  }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> peers_;
  std::thread thread_;
};

// Answers with status 200 and, a little later, with `copy`.
void AnswerTwice(const std::string& copy, httplib::Response* response) {
  response->set_content_provider(
      1, "text/plain",
      [copy](std::size_t, std::size_t, httplib::DataSink& sink) {
        sink.write("-", 1);
        std::this_thread::sleep_for(kCopyDelay);
        sink.write(copy.data(), copy.size());
        return true;
      });
}

}  // namespace

TEST_GROUP(SideStaleResponse) {
  SideServer server;
};

TEST(SideStaleResponse, BytesThatWaitOnAKeptConnectionBelongToNoRequest) {
  std::atomic<int> calls{0};
  server.http().Post("/v1/streams/s/records", [&](const httplib::Request&,
                                                  httplib::Response& response) {
    if (++calls == 1)
      AnswerTwice("HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n", &response);
  });
  server.Start();
  LogClient log(server.address(), kTimeout);
  CHECK(log.Append("s", "one").has_value());
  std::this_thread::sleep_for(3 * kCopyDelay);
  CHECK(log.Append("s", "two").has_value());
  CHECK_EQUAL(2, calls.load());
  CHECK_EQUAL(2, server.connections());
}

TEST(SideStaleResponse, QuietConnectionIsKept) {
  server.http().Get("/", [](const httplib::Request&, httplib::Response&) {});
  server.Start();
  HttpConnection connection(server.address(), Operation::kLogRead, kTimeout);
  CHECK(connection.Get("/").has_value());
  CHECK(connection.Get("/").has_value());
  CHECK_EQUAL(1, server.connections());
}

}  // namespace bbv
