#ifndef TESTS_STANDINS_HTTP_STANDINS_H_
#define TESTS_STANDINS_HTTP_STANDINS_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "standins/fake_engine.h"
#include "standins/fake_log.h"

namespace bbv::standins {

// A stand-in process's HTTP listener; subclasses add routes. POST /control
// takes a JSON object of faults to bring about.
class HttpStandin {
 public:
  HttpStandin();
  virtual ~HttpStandin();

  // Listens on 127.0.0.1:port; false when that is taken.
  bool Start(int port);

  // Must be called by the destructor of each subclass with routes.
  void Stop();

 protected:
  httplib::Server server_;

 private:
  std::thread thread_;
};

// The log service. Faults: "outage", "slow_ms", "lose_answers" (appends that
// take effect and answer 500), "trim": {"stream", "offset"}.
class LogService : public HttpStandin {
 public:
  LogService();
  ~LogService() override;
  FakeLog& log() { return log_; }

 private:
  bool Interrupt(httplib::Response* response);

  std::mutex mutex_;
  std::condition_variable appended_;
  FakeLog log_;
  std::atomic<bool> outage_{false};
  std::atomic<int> slow_ms_{0};
  std::atomic<int> lose_answers_{0};
};

// The instance list. Control: {"leaving": [names]}.
class InstanceList : public HttpStandin {
 public:
  InstanceList();
  ~InstanceList() override;

 private:
  std::mutex mutex_;
  std::set<std::string> leaving_;
};

// The weight store: at most one load in `interval_ms`.
class WeightStore : public HttpStandin {
 public:
  explicit WeightStore(int interval_ms);
  ~WeightStore() override;

 private:
  std::mutex mutex_;
  const std::chrono::milliseconds interval_;
  std::chrono::steady_clock::time_point next_load_{};
};

// A model engine. Steps take step_us + token_us for each value. Control:
// {"fail_steps": n, "stall_ms": n}. Trace rows go to `trace_path`.
class EngineService : public HttpStandin {
 public:
  struct Timing {
    int step_us = 0;
    int token_us = 0;
  };

  EngineService(FakeEngine::Options options,
                Timing timing,
                int weight_store_port,
                const std::string& trace_path);
  ~EngineService() override;

 private:
  void HandleStep(const httplib::Request& request, httplib::Response& response);
  void HandleLoad(const httplib::Request& request, httplib::Response& response);

  std::mutex mutex_;
  FakeEngine engine_;
  const Timing timing_;
  const int weight_store_port_;
  FILE* trace_ = nullptr;
  std::atomic<int> fail_steps_{0};
  std::atomic<int> stall_ms_{0};
};

// A booking or ledger service: counts the runs of each request id. GET /counts
// gives them. Control: {"delay_ms": n}. Counts also go to `trace_path`.
class PlainService : public HttpStandin {
 public:
  explicit PlainService(const std::string& trace_path);
  ~PlainService() override;

 private:
  void HandleCall(const httplib::Request& request, httplib::Response& response);

  std::mutex mutex_;
  std::map<std::string, int> counts_;
  FILE* trace_ = nullptr;
  std::atomic<int> delay_ms_{0};
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_HTTP_STANDINS_H_
