#ifndef MODULES_BBV_ENTRY_LISTEN_CHECKER_H_
#define MODULES_BBV_ENTRY_LISTEN_CHECKER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_fleet/crash_detector.h"
#include "bbv_front/event_loop.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// Finds out whether a process listens at an address by connecting to it and
// closing the connection at once.
//
// Thread safety: none, the loop's thread.
class ListenChecker {
 public:
  using Done = std::function<void(ListenCheckResult result)>;

  // `loop` must outlive the checker.
  explicit ListenChecker(EventLoop* loop);
  ~ListenChecker();

  // Checks `address`; `done` is called once, on a tick after the result or the
  // timeout.
  void Check(const SocketAddress& address, Instant now, Done done);

  // Reports the checks that have ended.
  void OnTick(Instant now);

 private:
  class Attempt;

  EventLoop* loop_;
  std::list<std::unique_ptr<Attempt>> attempts_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_LISTEN_CHECKER_H_
