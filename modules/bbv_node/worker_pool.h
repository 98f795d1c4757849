#ifndef MODULES_BBV_NODE_WORKER_POOL_H_
#define MODULES_BBV_NODE_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bbv {

// Threads that run blocking work (calls of services, engines and the log) away
// from the control thread; with one thread, in order.
//
// Thread safety: Post() from any thread; Stop() from the owner.
class WorkerPool {
 public:
  explicit WorkerPool(int threads);
  ~WorkerPool();

  // Runs `work` when a thread is free. Dropped after Stop().
  void Post(std::function<void()> work);

  // Finishes the work in progress, drops the rest and ends the threads.
  void Stop();

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_WORKER_POOL_H_
