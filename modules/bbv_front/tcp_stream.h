#ifndef MODULES_BBV_FRONT_TCP_STREAM_H_
#define MODULES_BBV_FRONT_TCP_STREAM_H_

#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "bbv_front/event_loop.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// How a connection attempt or a connection ended.
enum class StreamEnd : uint8_t {
  // No connection was established; nothing was sent.
  kConnectFailed,
  // The same, because nothing listens at the address.
  kRefused,
  // The peer closed the connection cleanly (FIN).
  kClosed,
  // The connection was reset or failed.
  kBroken,
};

// Receives the events of a stream. Any method may destroy the stream.
class TcpStreamDelegate {
 public:
  virtual ~TcpStreamDelegate() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  // Called when the stream has ended. No other call follows.
  virtual void OnStreamEnd(StreamEnd end) = 0;
  // Called when all queued data has been written.
  virtual void OnWriteQueueEmpty() {}
};

// A TCP connection on an event loop.
//
// Thread safety: none, used on the event loop's thread.
class TcpStream {
 public:
  // Starts a connection attempt. OnConnected() or OnStreamEnd() with
  // kConnectFailed or kRefused follows. Returns nullptr if the attempt cannot
  // be started.
  static std::unique_ptr<TcpStream> Connect(EventLoop* loop,
                                            const SocketAddress& address,
                                            TcpStreamDelegate* delegate);

  // Accepts a pending connection of `listener`. Returns nullptr on failure.
  static std::unique_ptr<TcpStream> Accept(EventLoop* loop,
                                           uv_stream_t* listener);

  // Wraps the connected socket `fd` and owns it. Returns nullptr on failure.
  static std::unique_ptr<TcpStream> Adopt(EventLoop* loop, int fd);

  // Closes the connection immediately and discards queued data.
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void SetDelegate(TcpStreamDelegate* delegate) { delegate_ = delegate; }

  // Starts and stops reading from the socket.
  void StartReading();
  void StopReading();

  // Bounds the bytes that one call of OnData() brings, at most and by default
  // kReadBytes.
  static constexpr std::size_t kReadBytes = 64U << 10U;
  void SetReadSize(std::size_t bytes) { read_size_ = bytes; }

  // Sends or queues `data`. Has no effect after the stream has ended.
  void Write(std::string_view data) { Write(data, nullptr); }

  // The same for `data` followed by `shared`, which may be null. `shared` is
  // not copied; it is released when it has been written or discarded.
  void Write(std::string_view data, std::shared_ptr<const std::string> shared);

  // Ends this direction of the connection after the queued data; reading goes
  // on. Nothing may be written afterwards.
  void ShutDown();

  // Sends the queued data and closes the connection in the background, without
  // further calls to the delegate.
  static void FlushAndClose(std::unique_ptr<TcpStream> stream);

  // Discards the queued data and resets the connection, without further calls
  // to the delegate.
  static void Reset(std::unique_ptr<TcpStream> stream);

  // Returns whether the peer has sent bytes that have not been read.
  // Precondition: connected().
  bool HasUnreadData() const;

  std::size_t queued_bytes() const;
  // Returns the number of bytes that were received and not read yet, counted up
  // to 4096.
  std::size_t unread_bytes() const;
  bool connected() const { return connected_; }

 private:
  struct WriteRequest;

  // Provides the buffer that all streams share, because each delegate consumes
  // the data before the next read.
  static void ProvideReadBuffer(uv_handle_t* handle,
                                std::size_t suggested,
                                uv_buf_t* buf);

  TcpStream() = default;
  // Copies received bytes that were not read yet to `buf` and leaves them
  // unread. Returns their number.
  std::size_t PeekUnread(std::span<char> buf) const;
  void Initialise(EventLoop* loop);
  void End(StreamEnd end);

  uv_tcp_t* handle_ = nullptr;
  TcpStreamDelegate* delegate_ = nullptr;
  bool connected_ = false;
  bool ended_ = false;
  std::size_t read_size_ = kReadBytes;
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

  // Starts listening. Returns an empty string, or an error message on failure.
  std::string Listen(EventLoop* loop,
                     const SocketAddress& address,
                     OnAccept on_accept);

  // Accepts the connections that are pending and stops listening at once.
  void Close();
  bool is_listening() const { return handle_ != nullptr; }

 private:
  EventLoop* loop_ = nullptr;
  uv_tcp_t* handle_ = nullptr;
  OnAccept on_accept_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_TCP_STREAM_H_
