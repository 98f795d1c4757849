#ifndef TESTS_FLEET_FLOOR_H_
#define TESTS_FLEET_FLOOR_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/fleet_standin.h"

namespace bbv {

// What a caller got from a streamed call.
struct StreamAnswer {
  int status = 0;
  std::string signature;
  // Ids of the events, in the order of their arrival.
  std::vector<int> events;
  // Whether the answer ended as complete.
  bool whole = false;
};

// The fields of a call whose caller waits for `wait_ms`.
httplib::Headers MakeCallHeaders(const std::string& id, int wait_ms);

// The ids of a stream's events in the order of its text.
std::vector<int> ReadEventIds(const std::string& text);

// Entries as real processes before stand-ins of the store and of targets, on
// loopback. All processes end with the object.
//
// Thread safety: callers' methods from any thread, the others from the owner.
class FleetFloor {
 public:
  FleetFloor(int entries, const standins::FleetTargets::Shape& shape);
  ~FleetFloor();

  // Starts everything and waits until the layers are placed and entries are
  // ready; false when that takes too long.
  bool Start();

  standins::FleetStore& store() { return store_; }
  standins::FleetTargets& targets() { return targets_; }

  // The proxy between an entry and the store; only when targets are proxied.
  standins::FaultProxy& store_proxy(int entry);

  void StartEntry(int entry);
  void Signal(int entry, int signal);
  // Whether the process runs, paused or not.
  bool IsRunning(int entry) const;
  // Whether it has ended; then `code` is as below.
  bool HasExited(int entry, int* code);
  // Waits for the end; the exit code, or -1 when a signal ended it.
  int WaitForExit(int entry);
  bool IsReady(int entry);
  // Waits up to `limit_ms` for `entry` to be ready.
  bool WaitReady(int entry, int limit_ms);

  StreamAnswer Stream(int entry, const std::string& id);
  // A call of a plain service; `path` such as "/safe/x".
  httplib::Result Call(int entry,
                       const std::string& path,
                       const std::string& id,
                       const std::string& key = "key");
  int callers_port(int entry) const;
  // What the entry has written to its standard output.
  std::string Output(int entry) const;
  std::string Metrics(int entry);

 private:
  struct Entry;

  standins::FleetStore store_;
  standins::FleetTargets targets_;
  const bool proxied_;
  std::string folder_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace bbv

#endif  // TESTS_FLEET_FLOOR_H_
