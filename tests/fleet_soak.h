#ifndef TESTS_FLEET_SOAK_H_
#define TESTS_FLEET_SOAK_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "fleet_floor.h"

namespace bbv {

// Soak test that injects random faults into real entry processes under load and
// checks the responses that callers received against the calls that targets
// executed.
//
// Entries are killed, stopped, suspended and told to reload their settings.
// Connections to the store and to targets are delayed, cut in one direction,
// silenced and reset. The store fails and compacts its history, an engine
// crashes, and the configuration changes. Faults overlap. Callers reuse a
// connection until it is closed.
class FleetSoak {
 public:
  explicit FleetSoak(uint64_t seed);

  // Runs the test once and returns the violated guarantees; empty on success.
  std::vector<std::string> Run();

  // Number of calls by outcome in the last run.
  const std::string& summary() const { return summary_; }

 private:
  using Clock = std::chrono::steady_clock;

  enum class CallKind : uint8_t { kStream, kSafe, kUnsafe };

  // A call and the response that its caller received.
  struct Outcome {
    std::string id;
    CallKind kind = CallKind::kSafe;
    // 0 if no complete response was received.
    int status = 0;
    std::string body;
    StreamAnswer stream;
  };

  // An action that is scheduled for a point in time.
  struct Step {
    Clock::time_point at;
    std::function<void()> action;
  };

  void ScheduleFaults();
  void ScheduleRandomFault(int at_ms);
  // Schedules `action` for `at_ms` after the start of the run.
  void AddAction(int at_ms, std::function<void()> action);
  void InjectFaults();
  void StopEntry(int entry, int signal);
  // Checks the exit of entries that have ended and restarts them after a random
  // delay.
  void RestartExitedEntries();
  void RunCaller(int caller);
  Outcome CallOnce(httplib::Client* client, int caller, int number);
  void CheckRecovery();
  void CheckOutcomes();
  void CheckStream(const Outcome& outcome);
  void ReportViolation(const std::string& fault);

  std::mt19937_64 random_;
  standins::FleetTargets::Options options_;
  FleetFloor floor_;
  Clock::time_point start_time_;
  std::vector<Step> actions_;
  int version_ = 1;
  bool crashed_ = false;
  // When entries were told to stop, and when they are to be restarted.
  std::map<int, Clock::time_point> stopped_at_;
  std::map<int, Clock::time_point> starts_at_;
  // Entries that were suspended or killed, whose exit code and stop time are
  // therefore not checked.
  std::map<int, bool> stop_disturbed_;
  std::atomic<bool> calling_{true};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::string> violations_;
  std::string summary_;
};

}  // namespace bbv

#endif  // TESTS_FLEET_SOAK_H_
