// Case 11: a deadly part of a prompt of many parts.

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

#include "../harness-3/clock.h"
#include "../harness-3/floor.h"

namespace {

// stable_window_ms of the first two sites, and the figures of the rule.
constexpr int64_t kStableWindowMs = 3000;
constexpr int kCrashes = 5;
constexpr int kAllowed = 3;

constexpr std::size_t kEntries = 4;
// Parts before the deadly one: the turns of a long conversation, say.
constexpr int kManyParts = 70;
constexpr int kFewParts = 10;
constexpr char kDeadlyPart[] = "dead";
constexpr double kSoundPerSecond = 10;
constexpr double kDeadlyPerSecond = 0.5;
constexpr int kLengthMs = 40'000;
constexpr int kClientWaitMs = 4000;
constexpr int kPollMs = 20;
constexpr int kRestartMs = 2000;

// Parts that all requests of the caller share, 10 tokens each.
std::string SharedParts(int n) {
  std::string parts;
  for (int it = 0; it < n; ++it)
    parts += "a" + std::to_string(1000 + it) + ":10,";
  return parts;
}

// Sends a stream; returns whether it was served completely.
bool SendStream(review3::Floor* floor,
                review3::Record* record,
                std::size_t entry,
                const std::string& id,
                const std::string& parts) {
  httplib::Client client("127.0.0.1", floor->front_port(entry));
  client.set_connection_timeout(1);
  client.set_read_timeout(std::chrono::milliseconds(kClientWaitMs));
  std::size_t bytes = 0;
  const auto answer =
      client.Get("/stream/x",
                 {{"Host", "fleet.example"},
                  {"X-Attempt-Id", id},
                  {"X-Key", "key"},
                  {"X-Deadline-Ms", std::to_string(kClientWaitMs)},
                  {"X-Token-Counts", "800,50"},
                  {"X-Prefix-Hash", parts}},
                 [&](const char*, std::size_t n) {
                   bytes += n;
                   return true;
                 });
  record->Write("stream " + id + " at entry " + std::to_string(entry) + ": " +
                std::to_string(answer ? answer->status : 0) + ", " +
                std::to_string(bytes) + " bytes");
  return answer && answer->status == 200;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review3::kNotRun;
  review3::Record record(std::string(argv[1]) + "/record.txt");
  review3::Floor floor(&record,
                       {{"zone-a"}, {"zone-a"}, {"zone-a"}, {"zone-a"}});
  const int n_parts =
      std::getenv("FEW_PARTS") != nullptr ? kFewParts : kManyParts;
  const std::string shared = SharedParts(n_parts);
  if (!floor.StartStore())
    return review3::kNotRun;
  review3::ModelServers targets(
      &floor, review3::HasTrouble() ? kDeadlyPart : "", kRestartMs);
  if (!targets.Start() || !floor.Start(targets.MakeManifest())) {
    record.Say("the deployment did not start");
    return review3::kNotRun;
  }
  const int64_t start = review3::NowMs();
  while (!targets.HoldsAllLayers() && review3::NowMs() < start + 10'000)
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  std::atomic<int> served{0};
  const int64_t end = review3::NowMs() + kLengthMs;
  std::thread sound([&] {
    review3::SendEvenly(kSoundPerSecond, end, [&](int n) {
      const std::string id = "sound-" + std::to_string(n);
      served += SendStream(&floor, &record, n % kEntries, id,
                           shared + "b" + std::to_string(10'000 + n) + ":60")
                    ? 1
                    : 0;
    });
  });
  std::atomic<int> calls_before{-1};
  std::thread watch([&] {
    int crashes = 0;
    int64_t count_from = 0;
    int calls = 0;
    while (review3::NowMs() < end + kClientWaitMs) {
      const int64_t now = review3::NowMs();
      if (const int n = targets.DeadlyCrashCount(); n != crashes) {
        crashes = n;
        record.Write("crashes so far: " + std::to_string(n));
      }
      if (const int n = targets.DeadlyCallCount(); n != calls) {
        calls = n;
        record.Write("requests with the part at servers so far: " +
                     std::to_string(n));
      }
      if (crashes >= kCrashes && count_from == 0)
        count_from = now + kStableWindowMs;
      if (count_from > 0 && now >= count_from && calls_before < 0)
        calls_before = calls;
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    }
  });
  review3::SendEvenly(kDeadlyPerSecond, end, [&](int n) {
    const std::string id = "deadly-" + std::to_string(n);
    SendStream(
        &floor, &record, n % kEntries, id,
        shared + kDeadlyPart + ":10,c" + std::to_string(10'000 + n) + ":60");
  });
  sound.join();
  watch.join();
  if (served == 0) {
    record.Say("no sound stream was served");
    return review3::kNotRun;
  }
  if (!floor.AllReady()) {
    record.Say("not all entries run at the end");
    return review3::kNotRun;
  }
  if (review3::HasTrouble() && targets.DeadlyCrashCount() == 0) {
    record.Say("no request with the part reached a server");
    return review3::kNotRun;
  }
  const int late =
      calls_before < 0 ? 0 : targets.DeadlyCallCount() - calls_before;
  record.Say(std::to_string(targets.DeadlyCrashCount()) + " crashes in all; " +
             std::to_string(served) +
             " sound streams served; later than 3 s "
             "after the fifth crash " +
             std::to_string(late) +
             " requests with the part reached servers, allowed " +
             std::to_string(kAllowed));
  record.Say(late > kAllowed ? "BUDGET broken" : "BUDGET held");
  return late > kAllowed ? review3::kBroken : review3::kHeld;
}
