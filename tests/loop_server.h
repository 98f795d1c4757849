#ifndef TESTS_LOOP_SERVER_H_
#define TESTS_LOOP_SERVER_H_

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bbv_front/tcp_stream.h"
#include "free_port.h"

namespace bbv {

// A TCP server on the event loop of the code under test. What its connections
// receive is collected and handed to a function.
//
// Thread safety: none, used on the loop's thread.
class LoopServer {
 public:
  class Connection final : public TcpStreamDelegate {
   public:
    Connection(LoopServer* server, std::unique_ptr<TcpStream> accepted)
        : stream(std::move(accepted)), server_(server) {
      stream->SetDelegate(this);
      stream->StartReading();
    }
    void OnData(std::string_view data) override {
      if (is_silent)
        return;
      received.append(data);
      server_->on_received_(this);
    }
    void OnStreamEnd(StreamEnd) override {}

    std::unique_ptr<TcpStream> stream;
    // Bytes received; the function removes those that it has handled.
    std::string received;
    // Whether bytes are ignored.
    bool is_silent = false;

   private:
    LoopServer* server_;
  };
  using Connections = std::vector<std::unique_ptr<Connection>>;
  using OnReceived = std::function<void(Connection*)>;

  // Listens on a free port of the loopback interface. `loop` must outlive the
  // server.
  LoopServer(EventLoop* loop, OnReceived on_received)
      : address_{"127.0.0.1", static_cast<uint16_t>(FreePort())},
        on_received_(std::move(on_received)) {
    const std::string fault = listener_.Listen(
        loop, address_, [this](std::unique_ptr<TcpStream> stream) {
          connections_.push_back(
              std::make_unique<Connection>(this, std::move(stream)));
        });
    STRCMP_EQUAL("", fault.c_str());
  }

  const SocketAddress& address() const { return address_; }
  // All connections accepted so far, in order.
  const Connections& connections() const { return connections_; }

 private:
  SocketAddress address_;
  OnReceived on_received_;
  TcpListener listener_;
  Connections connections_;
};

}  // namespace bbv

#endif  // TESTS_LOOP_SERVER_H_
