#include "bbv_front/tcp_stream.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

using bbv::EventLoop;
using bbv::StreamEnd;
using bbv::TcpStream;

namespace {

// A loopback server on a blocking socket, driven by the test.
class LoopbackServer {
 public:
  LoopbackServer() {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(
        0, bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof(own)));
    CHECK_EQUAL(0, listen(listener_, 4));
    socklen_t length = sizeof(own);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &length);
    port_ = ntohs(own.sin_port);
  }
  ~LoopbackServer() { close(listener_); }

  bbv::SocketAddress address() const { return {"127.0.0.1", port_}; }

  // Accepts a connection, sends `data` and closes it, with a reset if `reset`.
  void SendAndEnd(const std::string& data, bool reset) const {
    const int peer = accept(listener_, nullptr, nullptr);
    send(peer, data.data(), data.size(), 0);
    if (reset) {
      const linger reset_on_close{1, 0};
      setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
    }
    close(peer);
  }

 private:
  int listener_ = -1;
  uint16_t port_ = 0;
};

class StreamRecorder final : public bbv::TcpStreamDelegate {
 public:
  StreamRecorder(EventLoop* loop, const LoopbackServer& server, bool reset)
      : loop_(loop), server_(server), reset_(reset) {}

  // Sends the data and the end together, before the loop polls again.
  void OnConnected() override { server_.SendAndEnd("abc", reset_); }
  void OnData(std::string_view received) override { data.append(received); }
  void OnStreamEnd(StreamEnd stream_end) override {
    end = stream_end;
    loop_->Stop();
  }

  std::string data;
  std::optional<StreamEnd> end;

 private:
  EventLoop* loop_;
  const LoopbackServer& server_;
  bool reset_;
};

StreamEnd StreamEndAfter(bool reset) {
  const LoopbackServer server;
  EventLoop loop;
  StreamRecorder recorder(&loop, server, reset);
  const auto stream = TcpStream::Connect(&loop, server.address(), &recorder);
  loop.Run();
  return recorder.end.value_or(StreamEnd::kConnectFailed);
}

}  // namespace

TEST_GROUP(TcpStream){};

TEST(TcpStream, ReportsCleanCloseAfterData) {
  CHECK(StreamEndAfter(false) == StreamEnd::kClosed);
}

TEST(TcpStream, DoesNotReportResetAfterDataAsCleanClose) {
  // A response without a length ends with the connection. After a reset it
  // must not be taken for complete.
  CHECK(StreamEndAfter(true) == StreamEnd::kBroken);
}
