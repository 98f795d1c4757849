#ifndef MODULES_BBV_NODE_LOG_FOLLOWER_H_
#define MODULES_BBV_NODE_LOG_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "bbv_platform/log_client.h"

namespace bbv {

// Tails one stream of the log on a dedicated thread.
//
// Thread safety: Start() and Stop() are called by the owner; callbacks run on
// the follower's thread.
class LogFollower {
 public:
  struct Callbacks {
    std::function<void(LogRecords)> on_records;
    // Called after the first read and whenever the log becomes readable or
    // unreadable.
    std::function<void(bool available)> on_availability_changed;
  };

  LogFollower(const SocketAddress& address,
              Milliseconds timeout,
              std::string stream,
              Callbacks callbacks);
  ~LogFollower();

  void Start();
  void Stop();

 private:
  void Run();

  LogClient client_;
  const std::string stream_;
  const Callbacks callbacks_;
  const Milliseconds wait_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_LOG_FOLLOWER_H_
