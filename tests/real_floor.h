#ifndef TESTS_REAL_FLOOR_H_
#define TESTS_REAL_FLOOR_H_

#include <httplib.h>
#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bbv {

// What a caller got from a model request.
struct CompletionAnswer {
  int status = 0;
  std::string outcome;
  std::string retry_after;
  std::string request_id;
  std::string text;
  // Of the last event received, -1 for none.
  int last_event_id = -1;
  bool whole = false;
};

// Real processes on loopback: stand-ins, sides and entries, with settings and
// traces in a folder of their own. For tests and benches; all processes end
// with the object.
//
// Thread safety: callers' methods from any thread, the others from the owner.
class RealFloor {
 public:
  struct Shape {
    int entries = 2;
    int stages = 3;
    int replicas = 2;
    int services = 2;
    int accounts = 10;
    int layers = 12;
    int step_us = 500;
    int token_us = 0;
    int request_timeout_ms = 20'000;
    int stop_timeout_ms = 120'000;
    int maximum_running = 64;
  };

  // Starts everything and confirms the configuration. Check `started`.
  explicit RealFloor(const Shape& shape);
  ~RealFloor();

  bool started() const { return started_; }

  // Processes by name: "log", "instances", "weights", "e0", "side-t0-0",
  // "engine-t0-0", "side-s0", "service-s0".
  void Signal(const std::string& process, int signal);
  // Waits for the end; the exit code, or -1 when a signal ended it.
  int WaitForExit(const std::string& process);
  void Start(const std::string& process);
  pid_t PidOf(const std::string& process) const;
  std::vector<std::string> ProcessNames() const;

  // Sends a stand-in a control message.
  bool Control(const std::string& process, const std::string& json);

  // Callers. `stop_after` ends the stream after that many events, 0 for never.
  CompletionAnswer Complete(int entry,
                            int account,
                            const std::string& prompt,
                            int tokens,
                            bool stream,
                            const httplib::Headers& headers = {},
                            int stop_after = 0);
  httplib::Result Call(int entry,
                       int account,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body,
                       const std::string& key = "");
  // Runs an operator's request; the status and body.
  httplib::Result Operate(int entry,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body);

  // Waits until `entry` answers a completion, for at most 20 s.
  bool WaitServing(int entry);
  // Waits until `entry` has keyed calls served by every service, whose sides
  // must have reached the log.
  bool WaitCalling(int entry);
  bool WaitReady(const std::string& process);

  // Runs by request id over all services, also of processes that died.
  std::map<std::string, int> ServiceRuns() const;
  // Everything wrong with what the engines ran; empty when all is well.
  std::vector<std::string> EngineTraceFaults() const;

  int PortOf(const std::string& what) const { return ports_.at(what); }
  std::string Metrics(const std::string& process);
  const std::string& folder() const { return folder_; }
  std::string ExpectedText(const std::string& prompt, int tokens) const;

 private:
  struct Process {
    std::vector<std::string> arguments;
    pid_t pid = -1;
  };

  int TakePort(const std::string& what);
  void AddStandin(const std::string& name, std::vector<std::string> arguments);
  void AddNode(const std::string& name,
               const std::string& role,
               const std::string& zone,
               const std::string& target);
  void AddEngine(int stage, int replica);
  void AddService(int number);
  bool Configure();
  httplib::Headers AccountHeaders(int account) const;

  const Shape shape_;
  std::string folder_;
  std::map<std::string, Process> processes_;
  std::map<std::string, int> ports_;
  std::string configuration_;
  bool started_ = false;
};

}  // namespace bbv

#endif  // TESTS_REAL_FLOOR_H_
