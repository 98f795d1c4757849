#include "deadly.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

#include "clock.h"

namespace review3 {
namespace {

// stable_window_ms of the first two sites.
constexpr int64_t kStableWindowMs = 3000;
constexpr std::size_t kCrashes = 3;
constexpr int kAllowedRetries = 3;

constexpr std::size_t kEntries = 4;
constexpr int kCalmMs = 3000;
constexpr int kClientWaitMs = 1500;
constexpr char kDeadlyPath[] = "/book/deadly";

}  // namespace

int PlayDeadlyTraffic(const DeadlyTraffic& traffic, Record* record) {
  Floor floor(record, {{"a"}, {"b"}, {"c"}, {"a"}});
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& service : traffic.services) {
    for (int it = 0; it < traffic.servers_each; ++it) {
      ServerOptions options{service, zones[it % 3]};
      if (HasTrouble() || !traffic.kills_at_ms.empty())
        options.deadly = kDeadlyPath;
      floor.AddServer(options);
    }
  }
  floor.SetPageSize(traffic.page_size);
  if (!floor.RunFormerEntries(traffic.former_entries,
                              traffic.former_core_share) ||
      !floor.Start(
          MakeManifest(1, {{"/book/", traffic.type, traffic.services}}))) {
    record->Say("the deployment did not start");
    return kNotRun;
  }
  const int64_t start = NowMs();
  const int64_t end = start + kCalmMs + traffic.length_ms;
  std::thread sound([&] {
    SendEvenly(traffic.sound_per_s, end, [&](int n) {
      floor.Send(n % kEntries, "/book/sound", "sound-" + std::to_string(n),
                 kClientWaitMs);
    });
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(kCalmMs));
  // When killed entries have started again.
  std::vector<int64_t> starts;
  std::thread killer([&] {
    if (!HasTrouble())
      return;
    const int64_t first = NowMs();
    for (const int at_ms : traffic.kills_at_ms) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(first + at_ms - NowMs()));
      for (std::size_t it = 0; it < kEntries; ++it)
        floor.Signal(it, SIGKILL);
      for (std::size_t it = 0; it < kEntries; ++it)
        floor.WaitForEnd(it);
      std::this_thread::sleep_for(std::chrono::milliseconds(traffic.down_ms));
      for (std::size_t it = 0; it < kEntries; ++it)
        floor.StartEntry(it);
      starts.push_back(NowMs());
    }
  });
  SendEvenly(1000.0 / traffic.deadly_every_ms, end, [&](int n) {
    floor.Send(n % kEntries, traffic.target(n), "deadly", kClientWaitMs);
  });
  sound.join();
  killer.join();
  if (!floor.AllReady()) {
    record->Say("not all entries run at the end");
    return kNotRun;
  }
  std::vector<int64_t> crashes;
  int ran = 0;
  int late = 0;
  int late_crashes = 0;
  for (const Arrival& it : floor.Arrivals()) {
    record->Write("arrival at " +
                  std::to_string(it.at_ms - record->start_ms()) + ' ' +
                  it.server + ' ' + it.what + ' ' + it.id + ' ' + it.target);
    ran += it.what == "ran" ? 1 : 0;
    if (!it.target.starts_with(kDeadlyPath))
      continue;
    // An entry that has just started is not in touch.
    const bool is_excused =
        std::any_of(starts.begin(), starts.end(), [&](int64_t start_ms) {
          return it.at_ms > start_ms && it.at_ms <= start_ms + kStableWindowMs;
        });
    const bool is_late = !is_excused && crashes.size() >= kCrashes &&
                         it.at_ms > crashes[kCrashes - 1] + kStableWindowMs;
    late += is_late ? 1 : 0;
    if (it.what == "crashed") {
      crashes.push_back(it.at_ms);
      late_crashes += is_late ? 1 : 0;
    }
  }
  if (ran == 0) {
    record->Say("nothing was served");
    return kNotRun;
  }
  if ((HasTrouble() || !traffic.kills_at_ms.empty()) && crashes.empty()) {
    record->Say("the deadly request reached no server");
    return kNotRun;
  }
  record->Say(std::to_string(crashes.size()) +
              " crashes in all; later than 3 s "
              "after the third the request reached servers " +
              std::to_string(late) + " times and crashed " +
              std::to_string(late_crashes) + ", allowed " +
              std::to_string(kAllowedRetries));
  record->Say(late > kAllowedRetries ? "BUDGET broken" : "BUDGET held");
  return late > kAllowedRetries ? kBroken : kHeld;
}

}  // namespace review3
