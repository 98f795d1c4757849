#ifndef REVIEW_HARNESS_ENGINE_FLEET_H_
#define REVIEW_HARNESS_ENGINE_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "harness.h"

namespace review {

// One line that an engine wrote: when, which engine, and what.
struct EngineEvent {
  int64_t at_ms = 0;
  std::string engine;
  std::string what;
};

// Model servers, each a process of its own. One that crashes is started again
// after `restart_ms`, at its address and under a new id. Thread safety: all
// methods may be called from any thread.
class EngineFleet {
 public:
  struct Options {
    // Path of the engine's program.
    std::string program;
    std::string folder;
    int engines = 12;
    int store_port = 0;
    int64_t restart_ms = 3000;
    // Further arguments of the program, as name and value.
    std::vector<std::string> arguments;
  };
  explicit EngineFleet(Options options);
  ~EngineFleet();
  void Start();
  // Returns what the engines have written so far, in the order of time.
  std::vector<EngineEvent> Events() const;

 private:
  struct Row {
    int port = 0;
    pid_t pid = -1;
    int64_t restart_at_ms = 0;
  };
  void StartEngine(Row* row);
  void Watch();

  Options options_;
  std::vector<Row> rows_;
  int next_id_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread watcher_;
};

// The operator's manifest for engines that hold the whole model in one layer
// each: a route of resumable streams.
Json MakeEngineManifest(int max_attempts);

// Sends one stream and returns its response; status 0 if it is not complete.
Message SendStream(int port,
                   const std::string& id,
                   const std::string& parts,
                   int64_t time_limit_ms);

// Sends streams at a fixed rate, each on a channel and a thread of its own.
class StreamSender {
 public:
  struct Options {
    // Begins the ids of the streams.
    std::string name;
    int64_t interval_ms = 0;
    // Callers' ports of the entries, used in turn.
    std::vector<int> ports;
    // Returns the prompt's parts of stream `n`.
    std::function<std::string(int n)> parts;
    Recorder* recorder = nullptr;
  };
  explicit StreamSender(Options options);
  ~StreamSender();
  int sent() const { return state_->sent; }
  int served() const { return state_->served; }

 private:
  // Shared with streams that outlive the sender.
  struct State {
    Options options;
    std::atomic<bool> stopping{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> open{0};
  };
  static void SendOne(State* state, int n);

  std::shared_ptr<State> state_;
  std::thread thread_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_ENGINE_FLEET_H_
