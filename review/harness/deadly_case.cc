#include "deadly_case.h"

#include <iostream>
#include <memory>
#include <vector>

#include "engine_fleet.h"
#include "harness.h"

namespace review {
namespace {

constexpr int kEntries = 2;
constexpr int kEngines = 12;
constexpr int64_t kServerRestartMs = 3000;
// The platform starts a killed process again after a short delay.
constexpr int64_t kEntryRestartMs = 200;
constexpr int64_t kStableWindowMs = 3000;
constexpr int kCrashesToLearn = 5;
constexpr int kMaxLaterRequests = 3;
constexpr int64_t kReadyTimeoutMs = 10'000;
constexpr int64_t kWarmUpMs = 3000;

std::string Parts(const std::string& middle, const std::string& own) {
  return "f1:40," + middle + ":60," + own + ":9";
}

struct Counts {
  int requests = 0;
  int crashes = 0;
  int later_requests = 0;
};

Counts Judge(const std::vector<EngineEvent>& events,
             std::optional<int64_t> started_again_ms,
             Recorder* recorder) {
  Counts counts;
  int64_t fifth_ms = 0;
  for (const EngineEvent& it : events) {
    recorder->Write("at " + std::to_string(recorder->Since(it.at_ms)) + " " +
                    it.engine + " " + it.what);
    if (it.what.starts_with("crash ") && ++counts.crashes == kCrashesToLearn)
      fifth_ms = it.at_ms;
    if (!it.what.starts_with("deadly "))
      continue;
    ++counts.requests;
    const bool is_in_touch = !started_again_ms ||
                             it.at_ms < *started_again_ms ||
                             it.at_ms > *started_again_ms + kStableWindowMs;
    if (fifth_ms > 0 && it.at_ms > fifth_ms + kStableWindowMs && is_in_touch)
      ++counts.later_requests;
  }
  return counts;
}

}  // namespace

int PlayDeadlyCase(const DeadlyCase& options) {
  TemporaryFolder temporary;
  // Threads of their own use these until the process ends.
  Recorder& recorder = *new Recorder(options.folder + "/record.txt");
  Store& store = *new Store;
  if (!store.Start())
    return 2;
  constexpr int kMaxAttempts = 2;
  store.Put("keyed.op", "config", MakeEngineManifest(kMaxAttempts).dump());
  EngineFleet engines(
      {options.root + "/review/build/engine",
       temporary.path(),
       kEngines,
       store.port(),
       kServerRestartMs,
       {"--deadly", "dead", "--framed", options.is_framed ? "1" : "0"}});
  engines.Start();
  std::vector<std::unique_ptr<EntryProcess>> entries;
  std::vector<int> ports;
  const int seed = FreePort();
  for (int it = 0; it < kEntries; ++it) {
    entries.push_back(std::make_unique<EntryProcess>(
        EntryProcess::Options{options.root,
                              temporary.path(),
                              "edge-" + std::to_string(it),
                              store.port(),
                              it == 0 ? seed : 0,
                              {seed}}));
    entries.back()->Start();
    ports.push_back(entries.back()->callers_port());
  }
  for (const auto& it : entries) {
    if (!it->WaitReady(kReadyTimeoutMs))
      return 2;
  }
  SleepMs(kWarmUpMs);
  std::optional<int64_t> started_again_ms;
  int sound_sent = 0;
  int sound_served = 0;
  {
    const StreamSender sound({"sound", options.sound_interval_ms, ports,
                              [](int n) {
                                return Parts("5" + std::to_string(n % 7),
                                             "a" + std::to_string(n));
                              },
                              &recorder});
    SleepMs(kWarmUpMs);
    const int64_t begin_ms = NowMs();
    const std::string part = options.has_deadly_part ? "dead" : "60";
    const StreamSender odd(
        {"odd", options.deadly_interval_ms, ports,
         [part](int n) { return Parts(part, "b" + std::to_string(n)); },
         &recorder});
    if (options.kill_after_ms) {
      SleepMs(begin_ms + *options.kill_after_ms - NowMs());
      for (const auto& it : entries)
        it->Kill();
      recorder.Write("all entries killed");
      SleepMs(kEntryRestartMs);
      for (const auto& it : entries)
        it->Start();
      started_again_ms = NowMs();
      recorder.Write("all entries started again");
    }
    SleepMs(begin_ms + options.duration_ms - NowMs());
    sound_sent = sound.sent();
    sound_served = sound.served();
  }
  const Counts counts = Judge(engines.Events(), started_again_ms, &recorder);
  for (const auto& it : entries) {
    int status = 0;
    if (it->HasEnded(&status))
      recorder.Write(it->name() + " ended, status " + std::to_string(status));
  }
  const bool is_broken = counts.later_requests > kMaxLaterRequests;
  const std::string result =
      "requests with the part at servers " + std::to_string(counts.requests) +
      ", crashes " + std::to_string(counts.crashes) +
      ", requests by machines in touch later than " +
      std::to_string(kStableWindowMs) + " ms after the fifth crash " +
      std::to_string(counts.later_requests) + " (at most " +
      std::to_string(kMaxLaterRequests) + "); sound streams sent " +
      std::to_string(sound_sent) + ", served " + std::to_string(sound_served) +
      (is_broken ? "; BROKEN" : "; held");
  recorder.Write(result);
  std::cout << result << std::endl;
  if (sound_served == 0)
    return 2;
  return is_broken ? 1 : 0;
}

}  // namespace review
