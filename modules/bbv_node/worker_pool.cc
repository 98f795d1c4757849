#include "bbv_node/worker_pool.h"

#include <cassert>
#include <utility>

namespace bbv {

WorkerPool::WorkerPool(int threads) {
  assert(threads > 0);
  for (int i = 0; i < threads; ++i)
    threads_.emplace_back([this] { Run(); });
}

WorkerPool::~WorkerPool() {
  Stop();
}

void WorkerPool::Post(std::function<void()> work) {
  {
    const std::scoped_lock lock(mutex_);
    if (stopping_)
      return;
    queue_.push_back(std::move(work));
  }
  wake_.notify_one();
}

void WorkerPool::Stop() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

void WorkerPool::Run() {
  while (true) {
    std::function<void()> work;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_)
        return;
      work = std::move(queue_.front());
      queue_.pop_front();
    }
    work();
  }
}

}  // namespace bbv
