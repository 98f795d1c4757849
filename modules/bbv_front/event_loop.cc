#include "bbv_front/event_loop.h"

#include <glog/logging.h>

#include <utility>

namespace bbv {

struct EventLoop::Timer {
  uv_timer_t handle{};
  std::function<void()> action;
};

struct EventLoop::Signal {
  uv_signal_t handle{};
  std::function<void()> action;
};

EventLoop::EventLoop() {
  CHECK_EQ(uv_loop_init(&loop_), 0);
}

EventLoop::~EventLoop() {
  uv_walk(
      &loop_,
      [](uv_handle_t* handle, void*) {
        if (!uv_is_closing(handle))
          uv_close(handle, nullptr);
      },
      nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
}

void EventLoop::Run() {
  uv_run(&loop_, UV_RUN_DEFAULT);
}

void EventLoop::Stop() {
  uv_stop(&loop_);
}

Instant EventLoop::Now() {
  return std::chrono::steady_clock::now();
}

void EventLoop::StartPeriodicTimer(Milliseconds interval,
                                   std::function<void()> action) {
  // Never freed: the timer runs as long as the loop.
  auto* timer = new Timer;
  timer->action = std::move(action);
  timer->handle.data = timer;
  uv_timer_init(&loop_, &timer->handle);
  uv_timer_start(
      &timer->handle,
      [](uv_timer_t* handle) { static_cast<Timer*>(handle->data)->action(); },
      interval.count(), interval.count());
}

void EventLoop::OnSignal(int signal, std::function<void()> action) {
  auto* watcher = new Signal;
  watcher->action = std::move(action);
  watcher->handle.data = watcher;
  uv_signal_init(&loop_, &watcher->handle);
  uv_signal_start(
      &watcher->handle,
      [](uv_signal_t* handle, int) {
        static_cast<Signal*>(handle->data)->action();
      },
      signal);
}

}  // namespace bbv
