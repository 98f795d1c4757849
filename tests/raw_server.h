#ifndef TESTS_RAW_SERVER_H_
#define TESTS_RAW_SERVER_H_

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

}  // namespace bbv

#endif  // TESTS_RAW_SERVER_H_
