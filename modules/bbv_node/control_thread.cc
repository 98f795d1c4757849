#include "bbv_node/control_thread.h"

#include <cassert>

namespace bbv {

ControlThread::ControlThread(Milliseconds tick_interval, Task tick)
    : tick_interval_(tick_interval), tick_(std::move(tick)) {
  assert(tick_);
}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start() {
  assert(!thread_.joinable());
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

void ControlThread::Post(Task task) {
  {
    const std::scoped_lock lock(mutex_);
    if (stopping_)
      return;
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
}

void ControlThread::Run() {
  Instant next_tick = std::chrono::steady_clock::now();
  std::vector<Task> tasks;
  while (true) {
    bool stopping = false;
    {
      std::unique_lock lock(mutex_);
      wake_.wait_until(lock, next_tick,
                       [this] { return stopping_ || !tasks_.empty(); });
      tasks.swap(tasks_);
      stopping = stopping_;
    }
    for (Task& task : tasks)
      task(std::chrono::steady_clock::now());
    tasks.clear();
    if (stopping)
      return;
    const Instant now = std::chrono::steady_clock::now();
    if (now >= next_tick) {
      tick_(now);
      next_tick = now + tick_interval_;
    }
  }
}

}  // namespace bbv
