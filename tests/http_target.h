#ifndef TESTS_HTTP_TARGET_H_
#define TESTS_HTTP_TARGET_H_

#include <httplib.h>

#include <chrono>
#include <string>
#include <thread>

#include "free_port.h"

namespace bbv {

// The HTTP server of a target that a test writes itself: set the handlers, then
// call Start(). It ends with the object.
//
// Thread safety: handlers run on other threads; all methods belong to the
// owner's.
class HttpTarget {
 public:
  HttpTarget() : port_(FreePort()) {}
  ~HttpTarget() {
    server_.stop();
    if (thread_.joinable())
      thread_.join();
  }
  HttpTarget(const HttpTarget&) = delete;
  HttpTarget& operator=(const HttpTarget&) = delete;

  httplib::Server& server() { return server_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Returns once the server listens. Call once.
  void Start() {
    server_.bind_to_port("127.0.0.1", port_);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  int port_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace bbv

#endif  // TESTS_HTTP_TARGET_H_
