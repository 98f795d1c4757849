#include <CppUTest/TestHarness.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "bbv_platform/engine_client.h"
#include "bbv_platform/http_connection.h"
#include "bbv_platform/log_client.h"
#include "bbv_wire/bbv_wire.h"

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

wire::EngineBatchT MakeBatch(uint32_t position) {
  wire::EngineBatchT batch;
  wire::StepT step;
  step.request = {1, 2};
  step.attempt_number = 3;
  step.position = position;
  step.values = {9};
  batch.steps.push_back(std::move(step));
  return batch;
}

std::string EncodeResults(uint32_t position) {
  wire::EngineResultsT results;
  wire::EngineResultT result;
  result.request = {1, 2};
  result.attempt_number = 3;
  result.position = position;
  result.status = wire::EngineStatus::kDone;
  result.values = {position + 100};
  results.results.push_back(std::move(result));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::EngineResults::Pack(builder, &results));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
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

TEST(SideStaleResponse, RepeatedEngineResultsBelongToNoOtherStep) {
  std::atomic<uint32_t> next_result{0};
  server.http().Post("/v1/step",
                     [&](const httplib::Request&, httplib::Response& response) {
                       response.set_content(EncodeResults(next_result), "x/y");
                     });
  server.Start();
  EngineClient engine(server.address(), kTimeout);
  CHECK(engine.RunStep(MakeBatch(0)).has_value());
  CHECK(!engine.RunStep(MakeBatch(1)).has_value());
  // The results of the step before may still arrive on its connection.
  next_result = 2;
  CHECK(engine.RunStep(MakeBatch(2)).has_value());
  CHECK_EQUAL(2, server.connections());
}

TEST(SideStaleResponse, EngineResultsForOnlySomeStepsAreInDoubt) {
  server.http().Post("/v1/step",
                     [&](const httplib::Request&, httplib::Response& response) {
                       response.set_content(EncodeResults(0), "x/y");
                     });
  server.Start();
  EngineClient engine(server.address(), kTimeout);
  wire::EngineBatchT batch = MakeBatch(0);
  batch.steps.push_back(MakeBatch(0).steps.front());
  batch.steps.back().request = {7, 7};
  CHECK(!engine.RunStep(batch).has_value());
}

}  // namespace bbv
