#ifndef MODULES_BBV_PLATFORM_BLOCKING_SOCKET_H_
#define MODULES_BBV_PLATFORM_BLOCKING_SOCKET_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// A TCP connection whose operations block their thread.
//
// Thread safety: one thread at a time, except Shutdown().
class BlockingSocket {
 public:
  BlockingSocket() = default;
  ~BlockingSocket();
  BlockingSocket(const BlockingSocket&) = delete;
  BlockingSocket& operator=(const BlockingSocket&) = delete;

  // Connects to `address`. `timeout` applies to this, and later to each read
  // and each write. Returns what went wrong; empty on success. Precondition:
  // it is not open.
  std::string Connect(const SocketAddress& address, Milliseconds timeout);

  bool is_open() const { return socket_ >= 0; }

  // Whether the connection is usable and no data waits to be read.
  // Precondition: it is open.
  bool IsQuiet() const;

  // Writes all of `data`. Returns what went wrong; empty on success.
  // Precondition: it is open.
  std::string Write(std::string_view data);

  // Reads what there is, at least one byte, into `data`, which is empty at the
  // end of the peer's data. The text is valid until the next call. Returns what
  // went wrong; empty on success. Precondition: it is open.
  std::string Read(std::string_view* data);

  void Close();

  // Ends the connection in both directions, so that operations in progress and
  // later ones fail. For use from any thread.
  void Shutdown();

 private:
  static constexpr std::size_t kReadBytes = 16384;

  // Written by the owning thread alone, with `mutex_` held.
  int socket_ = -1;
  // Held while the socket is opened, closed or shut down.
  std::mutex mutex_;
  std::string buffer_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_BLOCKING_SOCKET_H_
