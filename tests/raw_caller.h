#ifndef TESTS_RAW_CALLER_H_
#define TESTS_RAW_CALLER_H_

#include <string>

namespace bbv {

// Connects to `port` on the loopback interface. Returns the socket, which the
// caller closes, or -1. A `receive_bytes` above 0 limits the window that the
// peer can fill.
int ConnectToLoopback(int port, int receive_bytes);

// A caller on a plain TCP connection over the loopback interface, which sends
// any bytes at any time.
//
// Thread safety: none.
class RawCaller {
 public:
  RawCaller() = default;
  // Connects to `port`; aborts the process if that fails. A small
  // `receive_bytes` limits the window that the peer can fill.
  explicit RawCaller(int port, int receive_bytes = 0);
  RawCaller(RawCaller&& other) noexcept;
  RawCaller& operator=(RawCaller&&) = delete;
  // Closes the connection.
  ~RawCaller();

  // Sends all of `data`; false if the connection is broken.
  bool Send(const std::string& data) const;

  // Receives until the peer ends the connection, `text` is contained in what
  // came, or `limit_ms` have passed. Returns all that came since the start.
  const std::string& Receive(int limit_ms, const std::string& text = {});

  // Whether the peer has closed the connection, and whether by a reset.
  bool ended() const { return ended_; }
  bool was_reset() const { return reset_; }

 private:
  int fd_ = -1;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

// A request of a caller of the fleet stand-in, with further header lines.
std::string RequestText(const std::string& path,
                        const std::string& id,
                        const std::string& lines = {},
                        const std::string& body = {});

// How often `text` is contained in `whole`.
int CountOf(const std::string& whole, const std::string& text);

}  // namespace bbv

#endif  // TESTS_RAW_CALLER_H_
