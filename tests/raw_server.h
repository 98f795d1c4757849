#ifndef TESTS_RAW_SERVER_H_
#define TESTS_RAW_SERVER_H_

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bbv_settings/socket_address.h"

namespace bbv {

// Accepts one connection on the loopback interface, answers each request on it
// with fixed bytes and ends it after the last of them.
class RawServer {
 public:
  // `reset` ends the connection with a reset in place of a clean end.
  RawServer(std::string response, bool reset);
  RawServer(std::vector<std::string> responses, bool reset);
  ~RawServer();

  SocketAddress address() const { return address_; }

 private:
  void Serve(const std::vector<std::string>& responses, bool reset) const;

  int listener_ = -1;
  SocketAddress address_;
  std::thread thread_;
};

// Accepts connections on a port of the loopback interface and answers the first
// request on each with fixed bytes, after which it closes the connection.
//
// Thread safety: all methods may be called from any thread.
class RawResponder {
 public:
  // Aborts the process if it cannot listen.
  explicit RawResponder(int port);
  ~RawResponder();
  RawResponder(const RawResponder&) = delete;
  RawResponder& operator=(const RawResponder&) = delete;

  // Sets the bytes with which requests are answered from now on.
  void SetResponse(std::string response);
  // Requests answered so far.
  int answered() const { return answered_; }

 private:
  void Serve();
  void Respond(int connection);

  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::string response_;
  std::thread thread_;
};

}  // namespace bbv

#endif  // TESTS_RAW_SERVER_H_
