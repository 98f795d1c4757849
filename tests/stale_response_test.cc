#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bbv_entry/target_requests.h"
#include "bbv_front/http_client.h"
#include "fleet_floor.h"
#include "loop_server.h"
#include "platform/call_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kTimeout{1000};
// More than the sockets of a connection buffer.
constexpr std::size_t kLongBodyBytes = 32U << 20U;

std::string MakeResponse(int status,
                         const std::string& fields,
                         const std::string& body = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeRefusal(const std::string& fields) {
  return MakeResponse(503, fields + "X-Not-Executed: 1\r\n");
}

// A server on the client's loop that answers each empty line that it receives
// on any of its connections with the next of its scripted texts.
class ScriptedServer {
 public:
  explicit ScriptedServer(EventLoop* loop)
      : server_(loop, [this](LoopServer::Connection* connection) {
          Answer(connection);
        }) {}

  const SocketAddress& address() const { return server_.address(); }
  int connections() const {
    return static_cast<int>(server_.connections().size());
  }

  void Script(std::vector<std::string> texts) { texts_ = std::move(texts); }

  // Sends `text` unasked on the first connection and waits until the peer's
  // kernel holds it.
  void SendUnasked(const std::string& text) {
    server_.connections().front()->stream->Write(text);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

 private:
  void Answer(LoopServer::Connection* connection) {
    std::string& received = connection->received;
    if (received.find("\r\n\r\n") == std::string::npos) {
      received.erase(
          0, received.size() - std::min<std::size_t>(received.size(), 3));
      return;
    }
    received.clear();
    if (next_ < texts_.size())
      connection->stream->Write(texts_[next_++]);
    // Leaves the rest of a long body in the network.
    if (next_ == texts_.size())
      connection->stream->StopReading();
  }

  LoopServer server_;
  std::vector<std::string> texts_;
  std::size_t next_ = 0;
};

// Records the end of one exchange.
struct Outcome final : ExchangeSink {
  void OnResponseHead(HttpHead head) override {
    status = head.status;
    not_run = platform::DecodeResponse(head).not_run;
  }
  void OnResponseBody(std::string_view data) override {
    body.append(data);
    if (on_body)
      on_body();
  }
  void OnResponseEnd() override {
    whole = true;
    on_end();
  }
  void OnExchangeFailed(ExchangeFailure reason, MessageFault) override {
    failure = reason;
    on_end();
  }

  // Whether the exchange proves that the request was not run.
  bool proves_not_run() const { return whole && not_run; }

  int status = 0;
  bool not_run = false;
  bool whole = false;
  std::optional<ExchangeFailure> failure;
  std::string body;
  std::function<void()> on_end;
  std::function<void()> on_body;
};

}  // namespace

TEST_GROUP(StaleResponse) {
  EventLoop loop;
  HttpClient client{&loop};
  std::unique_ptr<ScriptedServer> server;
  Outcome first;
  Outcome second;

  void setup() override {
    server = std::make_unique<ScriptedServer>(&loop);
    loop.StartPeriodicTimer(Milliseconds(5),
                            [this] { client.OnTick(EventLoop::Now()); });
    first.on_end = [this] { loop.Stop(); };
    second.on_end = [this] { loop.Stop(); };
  }
  HttpClient::ExchangeId SendCall(const std::string& id, Outcome* outcome,
                                  const std::string& body = {}) {
    ExchangeRequest request;
    request.address = server->address();
    request.bytes = "POST /x HTTP/1.1\r\nX-Attempt-Id: " + id +
                    "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body;
    request.id_field = platform::kAttemptIdField;
    request.attempt_id = id;
    request.connect_deadline = EventLoop::Now() + kTimeout;
    request.deadline = EventLoop::Now() + kTimeout;
    return client.Send(std::move(request), outcome);
  }
  // Runs a call on a connection that is accepted and given to `act` before the
  // loop sees it.
  void RunCallAfterAccept(const std::function<void(int peer)>& act) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(own);
    CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&own), length));
    CHECK_EQUAL(0, listen(listener, 1));
    getsockname(listener, reinterpret_cast<sockaddr*>(&own), &length);
    ExchangeRequest request;
    request.address = {"127.0.0.1", ntohs(own.sin_port)};
    request.bytes = "GET /x HTTP/1.1\r\n\r\n";
    request.connect_deadline = EventLoop::Now() + kTimeout;
    request.deadline = EventLoop::Now() + kTimeout;
    client.Send(std::move(request), &first);
    const int peer = accept(listener, nullptr, nullptr);
    act(peer);
    loop.Run();
    close(peer);
    close(listener);
  }
  // Runs two calls, "a" and "b", one after the other on one connection.
  void RunTwoCalls() {
    SendCall("a", &first);
    loop.Run();
    SendCall("b", &second);
    loop.Run();
  }
};

TEST(StaleResponse, RefusalWithoutIdOnAKeptConnectionIsNoProof) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"), MakeRefusal({})});
  RunTwoCalls();
  CHECK_EQUAL(1, server->connections());
  CHECK(first.proves_not_run());
  CHECK(!second.proves_not_run());
}

TEST(StaleResponse, RefusalWithoutIdAfterInterimResponseIsNoProof) {
  server->Script(
      {MakeRefusal("X-Attempt-Id: a\r\n"),
       "HTTP/1.1 103 x\r\nX-Attempt-Id: b\r\n\r\n" + MakeRefusal({})});
  RunTwoCalls();
  CHECK(!second.proves_not_run());
}

TEST(StaleResponse, RefusalWithoutIdAfterASkippedResponseIsNoProof) {
  server->Script({MakeRefusal("X-Attempt-Id: z\r\n") + MakeRefusal({})});
  SendCall("a", &first);
  loop.Run();
  CHECK(!first.proves_not_run());
}

TEST(StaleResponse, RefusalWithTwoIdsIsNoProof) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\nX-Attempt-Id: z\r\n")});
  SendCall("a", &first);
  loop.Run();
  CHECK(!first.proves_not_run());
}

TEST(StaleResponse, RefusalWithAnotherIdIsSkipped) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"),
                  MakeRefusal("X-Attempt-Id: a\r\n") +
                      MakeResponse(200, "X-Attempt-Id: b\r\n", "done")});
  RunTwoCalls();
  CHECK_EQUAL(1, server->connections());
  CHECK(second.whole);
  STRCMP_EQUAL("done", second.body.c_str());
}

TEST(StaleResponse, BytesThatWaitOnAKeptConnectionBelongToNoCall) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"),
                  MakeResponse(200, "X-Attempt-Id: b\r\n", "done")});
  // The copy has arrived when the next call is sent, before the loop reads it.
  first.on_end = [this] {
    server->SendUnasked(MakeRefusal({}));
    SendCall("b", &second);
  };
  SendCall("a", &first);
  loop.Run();
  CHECK_EQUAL(2, server->connections());
  CHECK(second.whole);
  STRCMP_EQUAL("done", second.body.c_str());
}

TEST(StaleResponse, BytesThatWaitOnANewConnectionBelongToNoCall) {
  RunCallAfterAccept([](int peer) {
    const std::string refusal = MakeRefusal({});
    send(peer, refusal.data(), refusal.size(), MSG_NOSIGNAL);
  });
  CHECK(!first.proves_not_run());
}

// The broken connection is what tells of a target's crash.
TEST(StaleResponse, ConnectionThatEndsBeforeItsRequestIsBroken) {
  RunCallAfterAccept([](int peer) { shutdown(peer, SHUT_RDWR); });
  CHECK(first.failure == ExchangeFailure::kBroken);
}

TEST(StaleResponse, RefusalWithoutIdBeforeTheWholeRequestIsNoProof) {
  server->Script({MakeRefusal({})});
  SendCall("a", &first, std::string(kLongBodyBytes, 'x'));
  loop.Run();
  CHECK(!first.proves_not_run());
}

TEST(StaleResponse, RefusalThatBeginsBeforeTheWholeRequestIsNoProof) {
  const std::string refusal = MakeRefusal({});
  server->Script({refusal.substr(0, 20), refusal.substr(20)});
  SendCall("a", &first, std::string(kLongBodyBytes, 'x') + "\r\n\r\n");
  loop.Run();
  CHECK(!first.proves_not_run());
}

TEST(StaleResponse, RefusalWithTheIdBeforeTheWholeRequestIsProof) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n")});
  SendCall("a", &first, std::string(kLongBodyBytes, 'x'));
  loop.Run();
  CHECK(first.proves_not_run());
}

TEST(StaleResponse, OwnRefusalOnAKeptConnectionIsProof) {
  server->Script(
      {MakeRefusal("X-Attempt-Id: a\r\n"),
       "HTTP/1.1 100 x\r\n\r\n" + MakeRefusal("X-Attempt-Id: b\r\n")});
  RunTwoCalls();
  CHECK_EQUAL(1, server->connections());
  CHECK(second.proves_not_run());
}

TEST(StaleResponse, RefusalWithoutIdOnANewConnectionIsProof) {
  server->Script({MakeRefusal({})});
  SendCall("a", &first);
  loop.Run();
  CHECK(first.proves_not_run());
}

TEST(StaleResponse, ACallIsNotSentAgainOnTheConnectionThatRefusedIt) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"),
                  MakeResponse(200, "X-Attempt-Id: a\r\n", "done")});
  SendCall("a", &first);
  loop.Run();
  SendCall("a", &second);
  loop.Run();
  CHECK_EQUAL(2, server->connections());
}

TEST(StaleResponse, BytesAfterARefusalEndItsConnection) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n") + MakeRefusal({}),
                  MakeResponse(200, "X-Attempt-Id: b\r\n", "done")});
  RunTwoCalls();
  CHECK_EQUAL(2, server->connections());
  STRCMP_EQUAL("done", second.body.c_str());
}

TEST(StaleResponse, ResponseToACallDoesNotAnswerAnOrder) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"),
                  MakeRefusal("X-Attempt-Id: a\r\n") + MakeResponse(202, {})});
  SendCall("a", &first);
  loop.Run();
  OrderAnswer order;
  PostOrder(
      &client,
      {"i-1", server->address().ToString(), "{}", EventLoop::Now() + kTimeout},
      [&](const OrderAnswer& answer) {
        order = answer;
        loop.Stop();
      });
  loop.Run();
  CHECK_EQUAL(1, server->connections());
  CHECK(order.status == 202);
}

TEST(StaleResponse, ResponseToACallIsNoReport) {
  server->Script({MakeRefusal("X-Attempt-Id: a\r\n"),
                  MakeRefusal("X-Attempt-Id: a\r\n") +
                      MakeResponse(200, {}, "{\"sequence\":7}")});
  SendCall("a", &first);
  loop.Run();
  ReportAnswer report;
  FetchReport(&client,
              {server->address().ToString(), 0, EventLoop::Now() + kTimeout},
              [&](const ReportAnswer& answer) {
                report = answer;
                loop.Stop();
              });
  loop.Run();
  CHECK_EQUAL(1, server->connections());
  CHECK(report.report.has_value());
}

TEST(StaleResponse, AKeptConnectionIsReadAfterItsReaderPaused) {
  server->Script({MakeResponse(200, "X-Attempt-Id: a\r\n", "done"),
                  MakeResponse(200, "X-Attempt-Id: b\r\n", "done")});
  HttpClient::ExchangeId exchange = 0;
  first.on_body = [&] { client.SetReadingPaused(exchange, true); };
  exchange = SendCall("a", &first);
  loop.Run();
  SendCall("b", &second);
  loop.Run();
  CHECK_EQUAL(1, server->connections());
  CHECK(second.whole);
}

TEST_GROUP(StaleRefusalFleet) {
  std::unique_ptr<FleetFloor> floor;

  void StartFleet(int services) {
    standins::FleetTargets::Options options;
    options.services = services;
    options.repeat_refusal_ms = 200;
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }
  // Every target refuses a call and repeats the refusal while the next call,
  // "second", is under way. Returns the status of that call.
  int CallAfterRefusals(const std::string& path) {
    const auto refused = floor->Call(0, path, "refused");
    CHECK(refused && refused->status == 503);
    const auto second = floor->Call(0, path, "second");
    return second ? second->status : 0;
  }
  int Runs() {
    return floor->targets().ExecutionCounts()["second"];
  }
};

TEST(StaleRefusalFleet, CallThatRanIsNotReportedAsNotRun) {
  StartFleet(1);
  const int status = CallAfterRefusals("/safe/x");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(Runs() > 0);
  CHECK(status != 503);
}

TEST(StaleRefusalFleet, StreamThatMayNotBeResumedRunsOnce) {
  StartFleet(2);
  const int status = CallAfterRefusals("/feed/x");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK_EQUAL(1, Runs());
  CHECK(status != 503);
}

TEST(StaleRefusalFleet, UnsafeCallIsServed) {
  StartFleet(1);
  CHECK_EQUAL(200, CallAfterRefusals("/unsafe/x"));
  CHECK_EQUAL(1, Runs());
}

}  // namespace bbv
