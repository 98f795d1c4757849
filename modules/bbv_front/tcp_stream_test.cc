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

// A plain listening socket on loopback whose peer the test plays by hand.
class ManualServer {
 public:
  ManualServer() {
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
  ~ManualServer() { close(listener_); }

  bbv::SocketAddress address() const { return {"127.0.0.1", port_}; }

  // Takes the connection, sends `data` and ends with or without a reset.
  void SendAndEnd(const std::string& data, bool reset) const {
    const int peer = accept(listener_, nullptr, nullptr);
    send(peer, data.data(), data.size(), 0);
    if (reset) {
      const linger now{1, 0};
      setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    close(peer);
  }

 private:
  int listener_ = -1;
  uint16_t port_ = 0;
};

class Recorder final : public bbv::TcpStreamDelegate {
 public:
  Recorder(EventLoop* loop, const ManualServer& server, bool reset)
      : loop_(loop), server_(server), reset_(reset) {}

  // The peer's data and end are both there before the loop polls again.
  void OnConnected() override { server_.SendAndEnd("abc", reset_); }
  void OnData(std::string_view it) override { data.append(it); }
  void OnStreamEnd(StreamEnd it) override {
    end = it;
    loop_->Stop();
  }

  std::string data;
  std::optional<StreamEnd> end;

 private:
  EventLoop* loop_;
  const ManualServer& server_;
  bool reset_;
};

StreamEnd EndAfter(bool reset) {
  const ManualServer server;
  EventLoop loop;
  Recorder recorder(&loop, server, reset);
  const auto stream = TcpStream::Connect(&loop, server.address(), &recorder);
  loop.Run();
  return recorder.end.value_or(StreamEnd::kConnectFailed);
}

}  // namespace

TEST_GROUP(TcpStream){};

TEST(TcpStream, AnEndBehindDataIsClean) {
  CHECK(EndAfter(false) == StreamEnd::kClosed);
}

TEST(TcpStream, AResetBehindDataIsNoCleanEnd) {
  // An answer without a length that was reset must not look complete.
  CHECK(EndAfter(true) == StreamEnd::kBroken);
}
