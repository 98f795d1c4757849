#ifndef MODULES_BBV_NODE_CONTROL_THREAD_H_
#define MODULES_BBV_NODE_CONTROL_THREAD_H_

#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// The one thread that owns a node's decision state: it runs posted tasks in
// order and a tick at least every interval.
//
// Thread safety: Post() and Call() from any thread but, for Call(), the control
// thread itself; Start() and Stop() from the owner.
class ControlThread {
 public:
  using Task = std::function<void(Instant now)>;

  ControlThread(Milliseconds tick_interval, Task tick);
  ~ControlThread();

  // Precondition: not started before.
  void Start();

  // Runs what was posted so far, then ends the thread. Idempotent.
  void Stop();

  // Runs `task` on the control thread, soon. Dropped after Stop().
  void Post(Task task);

  // Runs `function(now)` on the control thread and returns its result.
  // Precondition: the thread is running.
  template <typename Function>
  auto Call(Function function) {
    using Value = std::invoke_result_t<Function, Instant>;
    auto promise = std::make_shared<std::promise<Value>>();
    auto future = promise->get_future();
    Post([promise, function = std::move(function)](Instant now) mutable {
      promise->set_value(function(now));
    });
    return future.get();
  }

 private:
  void Run();

  const Milliseconds tick_interval_;
  const Task tick_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Task> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_CONTROL_THREAD_H_
