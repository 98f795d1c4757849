#ifndef TESTS_FLEET_FLOOR_H_
#define TESTS_FLEET_FLOOR_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/fleet_standin.h"

namespace bbv {

// The response that a caller received to a streamed call.
struct StreamAnswer {
  int status = 0;
  std::string signature;
  std::string text;
  // Ids of the events in order of arrival.
  std::vector<int> events;
  // Whether the response was received completely, with status 200.
  bool whole = false;
};

// The headers of a call with a deadline of `wait_ms`.
httplib::Headers MakeCallHeaders(const std::string& id, int wait_ms);

// Returns the ids of the events in the text of a stream, in order.
std::vector<int> ParseEventIds(const std::string& text);

// Test environment that runs entries as real processes against stand-ins for
// the store and the targets, on the loopback interface. The destructor kills
// all processes.
//
// Thread safety: Stream() and Call() may be called from any thread, the other
// methods from the owning thread only.
class FleetFloor {
 public:
  // Retry budgets in the settings of the entries.
  static constexpr const char* kUsualRetries = "share = 0.2\nextra = 100\n";
  static constexpr const char* kNoRetries = "share = 0.0\nextra = 0\n";

  FleetFloor(int entries,
             const standins::FleetTargets::Options& options,
             int stop_timeout_s = 8,
             const std::string& retries = kUsualRetries);
  ~FleetFloor();

  // Starts all processes and stand-ins and waits until the layers are placed
  // and the entries are ready; false on a timeout.
  bool Start();

  standins::FleetStore& store() { return store_; }
  standins::FleetTargets& targets() { return targets_; }

  // The proxy between an entry and the store; only if `Options::proxied` is
  // set.
  standins::FaultProxy& store_proxy(int entry);

  void StartEntry(int entry);
  // Changes the stop timeout in the settings file of `entry`, without a signal.
  void SetStopTimeout(int entry, int stop_timeout_s);
  void Signal(int entry, int signal);
  // Whether the process exists, suspended or not. An exit counts once it was
  // seen by HasExited() or WaitForExit().
  bool IsRunning(int entry) const;
  // Whether the process has exited; if so, sets `code` as WaitForExit() does.
  bool HasExited(int entry, int* code);
  // Waits for the process to exit and returns its exit code, or -1 if it was
  // terminated by a signal.
  int WaitForExit(int entry);
  bool IsReady(int entry);
  // Waits up to `limit_ms` until `entry` is ready.
  bool WaitReady(int entry, int limit_ms);

  // Sets the memory and the descriptors that the settings allow the entries;
  // call before Start().
  void SetInstance(int memory_mb, int maximum_connections);
  // Sets how long callers of Stream() wait; call before Start().
  void SetStreamWait(int wait_ms) { stream_wait_ms_ = wait_ms; }
  // `parts` names the parts of the prompt, for example "a:40,b:60"; empty for
  // none.
  StreamAnswer Stream(int entry,
                      const std::string& id,
                      const std::string& parts = {},
                      const std::string& path = "/stream/x");
  // Calls a plain service; `path` is, for example, "/safe/x".
  httplib::Result Call(int entry,
                       const std::string& path,
                       const std::string& id,
                       const std::string& key = "key");
  int callers_port(int entry) const;
  int readiness_port(int entry) const;
  int peers_port(int entry) const;
  int metrics_port(int entry) const;
  // What the entry has written to its standard output and standard error.
  std::string Output(int entry) const;
  std::string Metrics(int entry);
  // The most memory that the process has used, in bytes. Precondition: it runs.
  std::size_t PeakMemory(int entry) const;
  // The processor time that the process has used. Precondition: it runs.
  double ProcessorSeconds(int entry) const;
  // The descriptors that the process has open.
  std::size_t OpenDescriptors(int entry) const;

 private:
  struct Entry;

  standins::FleetStore store_;
  standins::FleetTargets targets_;
  const bool proxied_;
  const int stop_timeout_s_;
  const std::string retries_;
  // Lines of the settings' sections "front" and "instance".
  std::string front_lines_;
  std::string instance_lines_;
  int stream_wait_ms_ = 5000;
  std::string folder_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace bbv

#endif  // TESTS_FLEET_FLOOR_H_
