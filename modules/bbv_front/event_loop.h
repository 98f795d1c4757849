#ifndef MODULES_BBV_FRONT_EVENT_LOOP_H_
#define MODULES_BBV_FRONT_EVENT_LOOP_H_

#include <uv.h>

#include <functional>
#include <memory>

#include "bbv_core/instant.h"

namespace bbv {

// A libuv event loop that runs an entry's network traffic.
//
// Thread safety: none. All callbacks run on the thread that calls Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs the loop until Stop() is called.
  void Run();
  void Stop();

  // Reads the monotonic clock.
  static Instant Now();

  // Calls `action` every `interval`. May be called once per loop.
  void StartPeriodicTimer(Milliseconds interval, std::function<void()> action);

  // Calls `action` whenever the process receives `signal`.
  void OnSignal(int signal, std::function<void()> action);

  uv_loop_t* raw() { return &loop_; }

 private:
  struct Timer;
  struct Signal;

  uv_loop_t loop_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_EVENT_LOOP_H_
