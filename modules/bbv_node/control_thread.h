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

// The single thread that owns a node's decision state. Runs posted tasks in
// order and calls the tick function periodically.
//
// Thread safety: Post() may be called from any thread, Call() from any thread
// except the control thread itself; Start() and Stop() by the owner.
class ControlThread {
 public:
  using Task = std::function<void(Instant now)>;

  ControlThread(Milliseconds tick_interval, Task tick);
  ~ControlThread();

  // Precondition: Start() has not been called before.
  void Start();

  // Runs the tasks already posted, then joins the thread. Idempotent.
  void Stop();

  // Queues `task` for the control thread. Ignored after Stop().
  void Post(Task task);

  // Runs `function(now)` on the control thread and blocks until it returns its
  // result. Precondition: the thread is running.
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
