#ifndef MODULES_BBV_NODE_WORKER_POOL_H_
#define MODULES_BBV_NODE_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bbv {

// Thread pool for blocking work (requests to services, engines and the log)
// that must not run on the control thread. With one thread, work runs in order.
//
// Thread safety: Post() may be called from any thread; Stop() by the owner.
class WorkerPool {
 public:
  explicit WorkerPool(int threads);
  ~WorkerPool();

  // Queues `work` for the next free thread. Ignored after Stop().
  void Post(std::function<void()> work);

  // Finishes work in progress, discards queued work and joins the threads.
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
