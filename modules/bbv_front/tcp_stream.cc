#include "bbv_front/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr int kBacklog = 1024;
// A connection fails if sent data stays unacknowledged for this long, so that
// data queued on an unresponsive link is discarded.
constexpr unsigned kUserTimeoutMs = 4000;
constexpr std::size_t kMaxCountedUnreadBytes = 4096;

void DeleteHandle(uv_handle_t* handle) {
  delete reinterpret_cast<uv_tcp_t*>(handle);
}

void SetSocketOptions(uv_tcp_t* handle) {
  uv_tcp_nodelay(handle, 1);
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(handle), &fd) == 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
  }
}

// Returns whether the peer closed the connection cleanly. libuv also reports
// UV_EOF, without reading it from the socket, if data and a reset arrive
// together.
bool IsCleanEnd(uv_tcp_t* handle) {
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(handle), &fd) != 0)
    return false;
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// The buffers of a write of two parts, without those that are empty.
class WriteBuffers {
 public:
  WriteBuffers(std::string_view first, std::string_view second) {
    Add(first);
    Add(second);
  }

  const uv_buf_t* data() const { return buffers_.data(); }
  unsigned size() const { return size_; }

 private:
  void Add(std::string_view part) {
    if (part.empty())
      return;
    buffers_[size_++] = uv_buf_init(const_cast<char*>(part.data()),
                                    static_cast<unsigned>(part.size()));
  }

  std::array<uv_buf_t, 2> buffers_{};
  unsigned size_ = 0;
};

}  // namespace

// A libuv write request and the data it sends: `data` and the end of `shared`.
struct TcpStream::WriteRequest {
  uv_write_t request{};
  std::string data;
  std::shared_ptr<const std::string> shared;
};

void TcpStream::Initialise(EventLoop* loop) {
  handle_ = new uv_tcp_t;
  uv_tcp_init(loop->raw(), handle_);
  handle_->data = this;
}

std::unique_ptr<TcpStream> TcpStream::Connect(EventLoop* loop,
                                              const SocketAddress& address,
                                              TcpStreamDelegate* delegate) {
  std::unique_ptr<TcpStream> stream(new TcpStream);
  stream->Initialise(loop);
  stream->delegate_ = delegate;
  sockaddr_in target{};
  uv_ip4_addr(address.ip.c_str(), address.port, &target);
  auto* request = new uv_connect_t;
  const int result = uv_tcp_connect(
      request, stream->handle_, reinterpret_cast<const sockaddr*>(&target),
      [](uv_connect_t* connect, int status) {
        auto* self = static_cast<TcpStream*>(connect->handle->data);
        delete connect;
        if (self == nullptr)
          return;
        if (status != 0) {
          self->End(status == UV_ECONNREFUSED ? StreamEnd::kRefused
                                              : StreamEnd::kConnectFailed);
          return;
        }
        self->connected_ = true;
        SetSocketOptions(self->handle_);
        self->StartReading();
        if (self->delegate_ != nullptr)
          self->delegate_->OnConnected();
      });
  if (result != 0) {
    delete request;
    return nullptr;
  }
  return stream;
}

std::unique_ptr<TcpStream> TcpStream::Accept(EventLoop* loop,
                                             uv_stream_t* listener) {
  std::unique_ptr<TcpStream> stream(new TcpStream);
  stream->Initialise(loop);
  if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(stream->handle_)) != 0)
    return nullptr;
  stream->connected_ = true;
  SetSocketOptions(stream->handle_);
  return stream;
}

std::unique_ptr<TcpStream> TcpStream::Adopt(EventLoop* loop, int fd) {
  std::unique_ptr<TcpStream> stream(new TcpStream);
  stream->Initialise(loop);
  if (uv_tcp_open(stream->handle_, fd) != 0) {
    close(fd);
    return nullptr;
  }
  stream->connected_ = true;
  SetSocketOptions(stream->handle_);
  return stream;
}

TcpStream::~TcpStream() {
  if (handle_ == nullptr)
    return;
  handle_->data = nullptr;
  if (!uv_is_closing(reinterpret_cast<uv_handle_t*>(handle_)))
    uv_close(reinterpret_cast<uv_handle_t*>(handle_), DeleteHandle);
}

void TcpStream::ProvideReadBuffer(uv_handle_t* handle,
                                  std::size_t,
                                  uv_buf_t* buf) {
  static std::array<char, kReadBytes> buffer;
  const auto* self = static_cast<const TcpStream*>(handle->data);
  buf->base = buffer.data();
  buf->len = self == nullptr ? buffer.size()
                             : std::min(buffer.size(), self->read_size_);
}

void TcpStream::StartReading() {
  if (ended_)
    return;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(handle_), ProvideReadBuffer,
      [](uv_stream_t* handle, ssize_t n, const uv_buf_t* buf) {
        auto* self = static_cast<TcpStream*>(handle->data);
        if (self == nullptr || n == 0)
          return;
        if (n < 0) {
          const bool clean = n == UV_EOF && IsCleanEnd(self->handle_);
          self->End(clean ? StreamEnd::kClosed : StreamEnd::kBroken);
          return;
        }
        if (self->delegate_ != nullptr)
          self->delegate_->OnData({buf->base, static_cast<std::size_t>(n)});
      });
}

void TcpStream::StopReading() {
  if (!ended_)
    uv_read_stop(reinterpret_cast<uv_stream_t*>(handle_));
}

void TcpStream::Write(std::string_view data,
                      std::shared_ptr<const std::string> shared) {
  std::string_view rest = shared == nullptr ? std::string_view() : *shared;
  if (ended_ || (data.empty() && rest.empty()))
    return;
  auto* stream = reinterpret_cast<uv_stream_t*>(handle_);
  if (uv_stream_get_write_queue_size(stream) == 0) {
    const WriteBuffers buffers(data, rest);
    // An error is reported by the next read or queued write.
    const auto n = static_cast<std::size_t>(
        std::max(0, uv_try_write(stream, buffers.data(), buffers.size())));
    const std::size_t n_of_data = std::min(n, data.size());
    data.remove_prefix(n_of_data);
    rest.remove_prefix(n - n_of_data);
    if (data.empty() && rest.empty())
      return;
  }
  auto* request = new WriteRequest;
  request->data = data;
  request->shared = std::move(shared);
  request->request.data = request;
  const WriteBuffers buffers(request->data, rest);
  const int result =
      uv_write(&request->request, stream, buffers.data(), buffers.size(),
               [](uv_write_t* write, int status) {
                 auto* self = static_cast<TcpStream*>(write->handle->data);
                 delete static_cast<WriteRequest*>(write->data);
                 if (self == nullptr)
                   return;
                 if (status != 0) {
                   self->End(StreamEnd::kBroken);
                   return;
                 }
                 if (self->queued_bytes() == 0 && self->delegate_ != nullptr)
                   self->delegate_->OnWriteQueueEmpty();
               });
  if (result != 0)
    delete request;
}

void TcpStream::ShutDown() {
  if (ended_)
    return;
  auto* request = new uv_shutdown_t;
  // A failure is reported by the next read.
  const int result =
      uv_shutdown(request, reinterpret_cast<uv_stream_t*>(handle_),
                  [](uv_shutdown_t* shutdown, int) { delete shutdown; });
  if (result != 0)
    delete request;
}

void TcpStream::FlushAndClose(std::unique_ptr<TcpStream> stream) {
  assert(stream != nullptr);
  stream->delegate_ = nullptr;
  if (stream->ended_)
    return;
  auto* handle = stream->handle_;
  auto* request = new uv_shutdown_t;
  // libuv shuts the connection down after the queued writes.
  const int result = uv_shutdown(
      request, reinterpret_cast<uv_stream_t*>(handle),
      [](uv_shutdown_t* shutdown, int) {
        auto* closing = reinterpret_cast<uv_handle_t*>(shutdown->handle);
        delete shutdown;
        if (!uv_is_closing(closing))
          uv_close(closing, DeleteHandle);
      });
  if (result != 0) {
    delete request;
    return;
  }
  uv_read_stop(reinterpret_cast<uv_stream_t*>(handle));
  // Detach the handle; the shutdown callback closes it.
  handle->data = nullptr;
  stream->handle_ = nullptr;
}

void TcpStream::Reset(std::unique_ptr<TcpStream> stream) {
  assert(stream != nullptr);
  auto* handle = stream->handle_;
  handle->data = nullptr;
  // Fails only if the connection is being shut down; the destructor closes it.
  if (uv_tcp_close_reset(handle, DeleteHandle) == 0)
    stream->handle_ = nullptr;
}

std::size_t TcpStream::queued_bytes() const {
  return uv_stream_get_write_queue_size(
      reinterpret_cast<const uv_stream_t*>(handle_));
}

std::size_t TcpStream::PeekUnread(std::span<char> buf) const {
  uv_os_fd_t fd = -1;
  if (ended_ ||
      uv_fileno(reinterpret_cast<const uv_handle_t*>(handle_), &fd) != 0)
    return 0;
  const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool TcpStream::HasUnreadData() const {
  assert(connected_);
  std::array<char, 1> buf;
  return PeekUnread(buf) > 0;
}

std::size_t TcpStream::unread_bytes() const {
  std::array<char, kMaxCountedUnreadBytes> buf;
  return PeekUnread(buf);
}

void TcpStream::End(StreamEnd end) {
  if (ended_)
    return;
  ended_ = true;
  uv_read_stop(reinterpret_cast<uv_stream_t*>(handle_));
  if (delegate_ != nullptr)
    delegate_->OnStreamEnd(end);
}

TcpListener::~TcpListener() {
  if (handle_ != nullptr)
    uv_close(reinterpret_cast<uv_handle_t*>(handle_), DeleteHandle);
}

void TcpListener::Close() {
  if (handle_ == nullptr)
    return;
  auto* handle =
      reinterpret_cast<uv_handle_t*>(std::exchange(handle_, nullptr));
  uv_os_fd_t fd = -1;
  int peer = -1;
  while (uv_fileno(handle, &fd) == 0 &&
         (peer = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
             0) {
    if (auto stream = TcpStream::Adopt(loop_, peer))
      on_accept_(std::move(stream));
  }
  uv_close(handle, DeleteHandle);
}

std::string TcpListener::Listen(EventLoop* loop,
                                const SocketAddress& address,
                                OnAccept on_accept) {
  assert(handle_ == nullptr);
  loop_ = loop;
  on_accept_ = std::move(on_accept);
  handle_ = new uv_tcp_t;
  uv_tcp_init(loop->raw(), handle_);
  handle_->data = this;
  sockaddr_in own{};
  uv_ip4_addr(address.ip.c_str(), address.port, &own);
  int result = uv_tcp_bind(handle_, reinterpret_cast<const sockaddr*>(&own), 0);
  if (result == 0) {
    result = uv_listen(reinterpret_cast<uv_stream_t*>(handle_), kBacklog,
                       [](uv_stream_t* listener, int status) {
                         auto* self = static_cast<TcpListener*>(listener->data);
                         if (status != 0)
                           return;
                         auto stream = TcpStream::Accept(self->loop_, listener);
                         if (stream != nullptr)
                           self->on_accept_(std::move(stream));
                       });
  }
  return result == 0 ? std::string()
                     : address.ToString() + ": " + uv_strerror(result);
}

}  // namespace bbv
