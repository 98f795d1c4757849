#ifndef MODULES_BBV_FRONT_TCP_STREAM_H_
#define MODULES_BBV_FRONT_TCP_STREAM_H_

#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bbv_front/event_loop.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// How a connection attempt or a connection ended.
enum class StreamEnd : uint8_t {
  // No connection was opened; nothing was sent.
  kConnectFailed,
  // The peer sent its end.
  kClosed,
  // The connection was reset or failed.
  kBroken,
};

// Receives what happens on a stream. Any method may destroy the stream.
class TcpStreamDelegate {
 public:
  virtual ~TcpStreamDelegate() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  // Nothing follows; the stream is closed.
  virtual void OnStreamEnd(StreamEnd end) = 0;
  // The send queue has become empty.
  virtual void OnWriteQueueEmpty() {}
};

// One TCP connection on an event loop.
//
// Thread safety: none, the loop's thread.
class TcpStream {
 public:
  // Opens a connection; OnConnected() or OnStreamEnd(kConnectFailed) follows.
  static std::unique_ptr<TcpStream> Connect(EventLoop* loop,
                                            const SocketAddress& address,
                                            TcpStreamDelegate* delegate);

  // Takes a waiting connection of `listener`, nullptr when there is none.
  static std::unique_ptr<TcpStream> Accept(EventLoop* loop,
                                           uv_stream_t* listener);

  // Closes at once, without waiting for queued data.
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void SetDelegate(TcpStreamDelegate* delegate) { delegate_ = delegate; }

  // Starts or pauses OnData().
  void StartReading();
  void StopReading();

  // Sends or queues `data`. Nothing is sent once the stream has ended.
  void Write(std::string_view data);

  // Sends what is queued, then the end. The stream lives on by itself and
  // calls its delegate no more.
  static void FlushAndClose(std::unique_ptr<TcpStream> stream);

  std::size_t queued_bytes() const;
  bool connected() const { return connected_; }

 private:
  struct WriteRequest;

  TcpStream() = default;
  void Initialise(EventLoop* loop);
  void End(StreamEnd end);

  uv_tcp_t* handle_ = nullptr;
  TcpStreamDelegate* delegate_ = nullptr;
  bool connected_ = false;
  bool ended_ = false;
};

// A listening socket.
class TcpListener {
 public:
  using OnAccept = std::function<void(std::unique_ptr<TcpStream>)>;

  TcpListener() = default;
  // Stops listening.
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns an empty text, or why it cannot listen.
  std::string Listen(EventLoop* loop,
                     const SocketAddress& address,
                     OnAccept on_accept);

 private:
  EventLoop* loop_ = nullptr;
  uv_tcp_t* handle_ = nullptr;
  OnAccept on_accept_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_TCP_STREAM_H_
