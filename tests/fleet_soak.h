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

// Plays faults drawn from a seed on real entries while callers call, and checks
// what callers got against what targets ran.
//
// Entries are killed, stopped, paused and told to reload; connections to the
// store and to targets are delayed, cut one way, silenced and reset; the store
// goes away and forgets its history; an engine is lost; configurations change.
// Faults overlap. Callers keep their connections until these end.
class FleetSoak {
 public:
  explicit FleetSoak(uint64_t seed);

  // Plays once; returns what went against a promise, empty when nothing did.
  std::vector<std::string> Run();

  // How many calls ended how in the last play.
  const std::string& summary() const { return summary_; }

 private:
  using Clock = std::chrono::steady_clock;

  enum class CallKind : uint8_t { kStream, kSafe, kUnsafe };

  // One call and what its caller got.
  struct Outcome {
    std::string id;
    CallKind kind = CallKind::kSafe;
    // 0 when no whole answer came.
    int status = 0;
    std::string body;
    StreamAnswer stream;
  };

  // Something that is done once its time has come.
  struct Step {
    Clock::time_point at;
    std::function<void()> act;
  };

  void DrawFaults();
  void DrawFault(int at_ms);
  void AddStep(int at_ms, std::function<void()> act);
  void PlayFaults();
  void StopEntry(int entry, int signal);
  // Starts entries again that have ended.
  void ReviveEntries();
  void CallInTurn(int caller);
  Outcome CallOnce(httplib::Client* client, int caller, int number);
  void CheckRecovery();
  void CheckOutcomes();
  void CheckStream(const Outcome& outcome);
  void Report(const std::string& fault);

  std::mt19937_64 random_;
  standins::FleetTargets::Shape shape_;
  FleetFloor floor_;
  Clock::time_point began_;
  std::vector<Step> steps_;
  int version_ = 1;
  bool crashed_ = false;
  // When entries were asked to stop, and when they start again.
  std::map<int, Clock::time_point> stopped_at_;
  std::map<int, Clock::time_point> starts_at_;
  // Entries that were paused or killed while stopping.
  std::map<int, bool> stop_disturbed_;
  std::atomic<bool> calling_{true};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::string> faults_;
  std::string summary_;
};

}  // namespace bbv

#endif  // TESTS_FLEET_SOAK_H_
