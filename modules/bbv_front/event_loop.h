#ifndef MODULES_BBV_FRONT_EVENT_LOOP_H_
#define MODULES_BBV_FRONT_EVENT_LOOP_H_

#include <uv.h>

#include <functional>
#include <memory>

#include "bbv_core/instant.h"

namespace bbv {

// The loop on which an entry's traffic runs.
//
// Thread safety: none, everything runs on the thread that calls Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop().
  void Run();
  void Stop();

  // Reads the monotonic clock.
  static Instant Now();

  // Calls `action` again and again. At most once for each loop.
  void StartPeriodicTimer(Milliseconds interval, std::function<void()> action);

  // Calls `action` for each of this signal from now on.
  void OnSignal(int signal, std::function<void()> action);

  uv_loop_t* raw() { return &loop_; }

 private:
  struct Timer;
  struct Signal;

  uv_loop_t loop_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_EVENT_LOOP_H_
