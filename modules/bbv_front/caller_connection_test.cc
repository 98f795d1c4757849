#include "bbv_front/caller_connection.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bbv_front/caller_eviction.h"
#include "free_port.h"
#include "raw_caller.h"

using bbv::CallerConnection;
using bbv::CountOf;
using bbv::EventLoop;
using bbv::HttpHead;
using bbv::Instant;
using bbv::Milliseconds;
using bbv::RawCaller;

namespace {

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr char kSmallRequest[] =
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::size_t kInstanceBytes = 4'000'000;

}  // namespace

// One connection on the loopback interface between a plain caller and a
// CallerConnection whose requests are answered at once.
TEST_GROUP(CallerConnection) {
  class Handler final : public bbv::CallerRequestHandler {
   public:
    void OnRequest(CallerConnection* connection,
                   HttpHead,
                   std::string) override {
      ++requests;
      if (first_chunk.empty())
        connection->SendResponse(200, {}, {}, answer);
      else
        connection->BeginStream(200, {}, {}, first_chunk);
    }
    void OnCallerGone(CallerConnection*) override {}
    bbv::CallerLimits limits() const override { return caller_limits; }
    int OnBadRequest(CallerConnection*, int status) override { return status; }
    bbv::MemoryLedger* memory_ledger() override { return &ledger; }

    bbv::MemoryLedger ledger{kInstanceBytes};
    int requests = 0;
    bbv::CallerLimits caller_limits;
    std::string answer = "answer";
    // If not empty, requests are answered with a stream that does not end.
    std::string first_chunk;
  };

  EventLoop loop;
  bbv::TcpListener listener;
  Handler handler;
  std::unique_ptr<CallerConnection> connection;
  std::unique_ptr<RawCaller> caller;
  int receive_bytes = 8192;

  void setup() override {
    const int port = bbv::FreePort();
    listener.Listen(&loop, {"127.0.0.1", static_cast<uint16_t>(port)},
                    [this](std::unique_ptr<bbv::TcpStream> stream) {
                      connection = std::make_unique<CallerConnection>(
                          1, std::move(stream), &handler);
                    });
    caller = std::make_unique<RawCaller>(port, receive_bytes);
    while (connection == nullptr)
      uv_run(loop.raw(), UV_RUN_ONCE);
  }
  void teardown() override {
    connection.reset();
    caller.reset();
  }

  // Uses the memory up for requests.
  bbv::MemoryLedger::Hold FillMemory() {
    bbv::MemoryLedger::Hold rest(&handler.ledger,
                                 bbv::MemoryLedger::Use::kRequest);
    rest.Set(kInstanceBytes);
    return rest;
  }
  // Runs the loop and the connection's timeouts.
  void RunFor(int milliseconds) {
    for (int it = 0; it < milliseconds / 5; ++it) {
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      connection->OnTick(EventLoop::Now());
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }
  // A time at which every timeout has passed.
  static Instant Late() {
    return EventLoop::Now() + std::chrono::minutes(1);
  }
};

TEST(CallerConnection, IdleTimeoutSparesARequestThatIsNotReadYet) {
  CHECK(caller->Send(kRequest));
  std::this_thread::sleep_for(Milliseconds(20));
  connection->OnTick(Late());
  RunFor(50);
  CHECK_EQUAL(1, handler.requests);
  CHECK_EQUAL(1, CountOf(caller->Receive(100, "answer"), "HTTP/1.1 200"));
}

TEST(CallerConnection, AnIdleConnectionGetsTheLongerIdleTimeOfLaterLimits) {
  CHECK(caller->Send(kRequest));
  RunFor(50);
  handler.caller_limits.idle_timeout_ms = 600'000;
  connection->OnTick(Late());
  CHECK_FALSE(connection->closed());
  CHECK(caller->Send(kRequest));
  RunFor(50);
  CHECK_EQUAL(2, CountOf(caller->Receive(100), "HTTP/1.1 200"));
  connection->OnTick(Late() + std::chrono::minutes(10));
  CHECK(connection->closed());
}

TEST(CallerConnection, HeadTimeoutSparesARequestWhoseRestIsNotReadYet) {
  CHECK(caller->Send("GET /a HTTP/1.1\r\n"));
  RunFor(30);
  CHECK(caller->Send("Host: x\r\n\r\n"));
  std::this_thread::sleep_for(Milliseconds(20));
  connection->OnTick(Late());
  RunFor(50);
  CHECK_EQUAL(1, handler.requests);
}

TEST(CallerConnection, TimeoutsAreEnforcedDespiteSlowlyTricklingBytes) {
  CHECK(caller->Send("GET /a HTTP/1.1\r\n"));
  RunFor(30);
  CHECK(caller->Send("H"));
  std::this_thread::sleep_for(Milliseconds(20));
  connection->OnTick(Late());
  CHECK(caller->Send("o"));
  std::this_thread::sleep_for(Milliseconds(20));
  connection->OnTick(Late());
  RunFor(50);
  CHECK_EQUAL(1, CountOf(caller->Receive(100), "HTTP/1.1 408"));
}

TEST(CallerConnection, AnIdleConnectionStaysOpenForARequestThatIsNotReadYet) {
  CHECK(caller->Send(kRequest));
  RunFor(50);
  CHECK(caller->Send(kRequest));
  std::this_thread::sleep_for(Milliseconds(20));
  connection->DisableKeepAlive();
  connection->CloseIfIdle(EventLoop::Now());
  RunFor(50);
  const std::string answers = caller->Receive(100);
  CHECK_EQUAL(2, CountOf(answers, "HTTP/1.1 200"));
  CHECK_EQUAL(1, CountOf(answers, "Connection: close"));
}

TEST(CallerConnection, ANewConnectionStaysOpenForItsFirstRequest) {
  connection->DisableKeepAlive();
  connection->CloseIfIdle(EventLoop::Now());
  CHECK_FALSE(connection->closed());
  connection->CloseIfIdle(Late());
  CHECK(connection->closed());
}

TEST(CallerConnection, AStalledRequestIsRefusedWhenItsConnectionMustClose) {
  CHECK(caller->Send("GET /a HTTP/1.1\r\n"));
  RunFor(30);
  connection->DisableKeepAlive();
  connection->CloseIfIdle(EventLoop::Now());
  CHECK(caller->Send("Host: x\r\n"));
  RunFor(30);
  // Bytes came, so that the time begins again.
  connection->CloseIfIdle(EventLoop::Now() + Milliseconds(600));
  CHECK_EQUAL(0, CountOf(caller->Receive(50), "HTTP/1.1 408"));
  connection->CloseIfIdle(EventLoop::Now() + Milliseconds(1300));
  RunFor(30);
  CHECK_EQUAL(1, CountOf(caller->Receive(50), "HTTP/1.1 408"));
  CHECK_EQUAL(0, handler.requests);
}

TEST(CallerConnection, AnEarlyRefusalReachesACallerThatStillSends) {
  bool sent = false;
  std::thread body([this, &sent] {
    const std::string piece(2'000'000, 'x');
    sent = caller->Send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30000000\r\n\r\n");
    for (int it = 0; it < 10; ++it)
      sent = sent && caller->Send(piece);
    caller->Receive(1000);
  });
  RunFor(1500);
  body.join();
  // A reset would end the sending, and may overtake the answer.
  CHECK(sent);
  CHECK_EQUAL(1, CountOf(caller->Receive(0), "HTTP/1.1 413"));
  CHECK(caller->ended());
  CHECK_FALSE(caller->was_reset());
}

TEST(CallerConnection, AnAnswerIsNotResetByBytesThatFollowTheRequest) {
  handler.answer = std::string(3'000'000, 'a');
  std::thread receiver([this] {
    caller->Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
                 std::string(200'000, 'x'));
    std::this_thread::sleep_for(Milliseconds(200));
    caller->Receive(2000);
  });
  RunFor(1500);
  receiver.join();
  CHECK_EQUAL(static_cast<int>(handler.answer.size() / 2),
              CountOf(caller->Receive(0), "aa"));
  CHECK_FALSE(caller->was_reset());
}

TEST(CallerConnection, AClosedConnectionEndsThoughTheCallerKeepsItsSideOpen) {
  CHECK(
      caller->Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
  RunFor(100);
  CHECK_FALSE(connection->closed());
  RunFor(1300);
  CHECK(connection->closed());
}

TEST(CallerConnection, ThousandsOfPipelinedRequestsDoNotExhaustTheStack) {
  constexpr int kRequests = 20'000;
  std::thread sender([this] {
    std::string all;
    for (int it = 0; it < kRequests; ++it)
      all += kRequest;
    caller->Send(all);
  });
  std::thread receiver([this] { caller->Receive(5000); });
  while (handler.requests < kRequests)
    RunFor(5);
  sender.join();
  connection->DisableKeepAlive();
  connection->CloseIfIdle(Late());
  RunFor(50);
  receiver.join();
  CHECK_EQUAL(kRequests, CountOf(caller->Receive(0), "HTTP/1.1 200"));
}

TEST(CallerConnection, AnAbortedStreamHasNoLastChunk) {
  handler.first_chunk = "id: 1\ndata: 0\n\n";
  CHECK(caller->Send(kRequest));
  RunFor(30);
  connection->Abort();
  RunFor(30);
  const std::string& received = caller->Receive(1000);
  CHECK(caller->ended());
  CHECK_EQUAL(1, CountOf(received, "Transfer-Encoding: chunked\r\n"));
  CHECK_EQUAL(1, CountOf(received, handler.first_chunk + "\r\n"));
  CHECK(!received.ends_with("0\r\n\r\n"));
}

TEST(CallerConnection, AnAbortedAnswerIsShorterThanItsLength) {
  handler.answer = std::string(8'000'000, 'a');
  CHECK(caller->Send(kRequest));
  RunFor(30);
  CHECK(connection->queued_bytes() > 0);
  connection->Abort();
  std::thread receiver([this] { caller->Receive(2000); });
  RunFor(100);
  receiver.join();
  const std::string& received = caller->Receive(0);
  CHECK(caller->ended());
  CHECK_EQUAL(1, CountOf(received, "Content-Length: 8000000\r\n"));
  CHECK(received.size() < handler.answer.size());
}

// For such a caller, the end of the connection ends a stream.
TEST(CallerConnection, AnAbortedStreamOfAnHttp10CallerIsReset) {
  handler.first_chunk = "id: 1\ndata: 0\n\n";
  CHECK(caller->Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
  RunFor(30);
  caller->Receive(100);
  connection->Abort();
  RunFor(30);
  caller->Receive(1000);
  CHECK(caller->ended() && caller->was_reset());
}

TEST(CallerConnection, AStreamOfAnHttp10CallerIsNotChunked) {
  handler.first_chunk = "id: 1\ndata: 0\n\n";
  CHECK(caller->Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
  RunFor(30);
  connection->WriteChunk("id: 2\ndata: 1\n\n");
  connection->EndStream();
  RunFor(30);
  STRCMP_EQUAL(
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
      "id: 1\ndata: 0\n\nid: 2\ndata: 1\n\n",
      caller->Receive(1000).c_str());
  CHECK(caller->ended() && !caller->was_reset());
}

TEST(CallerConnection, ABodyWithoutRoomIsReceivedBeforeItIsRefused) {
  CHECK(
      caller->Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n"
                   "Expect: 100-continue\r\n\r\n"));
  RunFor(50);
  CHECK(caller->Receive(200, "503").starts_with("HTTP/1.1 503"));
  CHECK_EQUAL(0, handler.requests);
  CHECK_EQUAL(0, handler.ledger.held_bytes());
}

TEST(CallerConnection, AChunkedBodyGrowsBeyondTheMemory) {
  CHECK(caller->Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"));
  std::thread sender([this] {
    for (int it = 0; it < 40; ++it)
      caller->Send("10000\r\n" + std::string(65536, 'x') + "\r\n");
  });
  RunFor(400);
  sender.join();
  CHECK_EQUAL(1, CountOf(caller->Receive(200, "503"), "HTTP/1.1 503"));
  CHECK_EQUAL(0, handler.requests);
  CHECK_EQUAL(0, handler.ledger.held_bytes());
}

TEST(CallerConnection, ARefusedWholeRequestEndsItsConnection) {
  bbv::MemoryLedger::Hold rest = FillMemory();
  CHECK(caller->Send(kSmallRequest));
  RunFor(50);
  CHECK_EQUAL(1, CountOf(caller->Receive(200, "503"), "HTTP/1.1 503"));
  rest.Release();
  CHECK(caller->Send(kSmallRequest));
  RunFor(50);
  CHECK_EQUAL(1, CountOf(caller->Receive(200, "200"), "HTTP/1.1 200"));
  CHECK_EQUAL(1, handler.requests);
}

TEST(CallerConnection, AnAnsweredOrLostBodyStaysCounted) {
  CHECK(caller->Send(kSmallRequest));
  RunFor(50);
  CHECK_EQUAL(1, handler.requests);
  CHECK_EQUAL(0, handler.ledger.held_bytes());
  CHECK(caller->Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nbody"));
  RunFor(50);
  CHECK_EQUAL(1000, handler.ledger.held_bytes());
  connection.reset();
  CHECK_EQUAL(0, handler.ledger.held_bytes());
}

TEST(CallerConnection, PipelinedInputGrowsAlthoughTheMemoryIsUsedUp) {
  constexpr int kRequests = 4000;
  handler.first_chunk = "id: 1\ndata: 0\n\n";
  CHECK(caller->Send(kRequest));
  RunFor(30);
  bbv::MemoryLedger::Hold rest = FillMemory();
  std::string requests;
  for (int it = 0; it < kRequests; ++it)
    requests += kSmallRequest;
  CHECK(requests.size() > 200'000);
  std::thread sender([&] { caller->Send(requests); });
  RunFor(200);
  const std::size_t held = handler.ledger.held_bytes();
  rest.Release();
  handler.first_chunk.clear();
  connection->EndStream();
  // No request is handled before the answers to those before it are taken.
  std::thread receiver([this] { caller->Receive(2000); });
  for (int it = 0; handler.requests <= kRequests && it < 100; ++it)
    RunFor(20);
  sender.join();
  receiver.join();
  // One read at most.
  CHECK_COMPARE(held, >, kInstanceBytes);
  CHECK_COMPARE(held, <=, kInstanceBytes + 65536);
  CHECK_EQUAL(kRequests + 1, handler.requests);
  CHECK_EQUAL(0, handler.ledger.held_bytes());
}

TEST(CallerConnection, ALateAnswerIsNotCutOffWhileItsCallerBeginsToTakeIt) {
  handler.caller_limits.idle_timeout_ms = 100;
  handler.first_chunk = "first";
  CHECK(caller->Send(kRequest));
  RunFor(200);
  connection->WriteChunk(std::string(16U << 20U, 'x'));
  connection->EndStream();
  RunFor(40);
  CHECK_FALSE(connection->closed());
}

TEST(CallerConnection, AnEndedConnectionMakesRoomForAnother) {
  handler.first_chunk = "first";
  CHECK(caller->Send(std::string(kRequest) + kRequest));
  RunFor(50);
  CHECK(connection->buffered_bytes() > 0);
  caller.reset();
  for (int it = 0; it < 100 && !connection->closed(); ++it) {
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    std::this_thread::sleep_for(Milliseconds(5));
  }
  CHECK(connection->closed());
  bbv::CallerConnections connections;
  connections.emplace(1, std::move(connection));
  CHECK(bbv::EvictCaller(&connections, EventLoop::Now()) ==
        bbv::RoomForCaller::kFree);
  CHECK(connections.empty());
}
