#ifndef TESTS_BACKGROUND_CALLERS_H_
#define TESTS_BACKGROUND_CALLERS_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace bbv {

// Makes a call every `interval`, each on a thread of its own, until it is
// destroyed.
//
// Thread safety: the counts may be read from any thread.
class BackgroundCallers {
 public:
  // `call` makes call number `n` and returns whether it was served. It is
  // called on several threads at once.
  BackgroundCallers(std::chrono::milliseconds interval,
                    std::function<bool(int n)> call)
      : sender_([this, interval, call = std::move(call)] {
          for (int n = 0; !stopping_; ++n) {
            calls_.emplace_back([this, n, &call] {
              const bool served = call(n);
              served_ += served ? 1 : 0;
              ++ended_;
            });
            std::this_thread::sleep_for(interval);
          }
          for (std::thread& it : calls_)
            it.join();
        }) {}
  ~BackgroundCallers() {
    stopping_ = true;
    sender_.join();
  }
  BackgroundCallers(const BackgroundCallers&) = delete;
  BackgroundCallers& operator=(const BackgroundCallers&) = delete;

  // Calls that have ended, and those of them that were served.
  int ended() const { return ended_; }
  int served() const { return served_; }

 private:
  std::atomic<bool> stopping_{false};
  std::atomic<int> ended_{0};
  std::atomic<int> served_{0};
  std::vector<std::thread> calls_;
  std::thread sender_;
};

}  // namespace bbv

#endif  // TESTS_BACKGROUND_CALLERS_H_
