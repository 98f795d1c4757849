#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include "background_callers.h"
#include "fleet_floor.h"

namespace bbv {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;
constexpr double kLimit = 2;
// The users' bound: requests within the window, from entries that have known
// the limit for half a second.
constexpr milliseconds kWindow{4000};
constexpr int kMaxRequests = static_cast<int>(1.5 * kLimit * 4) + 5;
// Half of what entries send of a limit.
constexpr int kMinRequests = 3;
constexpr milliseconds kTimeToKnow{500};
constexpr milliseconds kCallInterval{15};

}  // namespace

TEST_GROUP(RateLimit) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void setup() override {
    options.engines = 6;
    options.services = 3;
    options.events = 20;
  }
  void teardown() override {
    floor.reset();
  }
  void StartFleet() {
    floor = std::make_unique<FleetFloor>(kEntries, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  // Streams or safe plain calls, at each entry in turn.
  std::unique_ptr<BackgroundCallers> SendStreams(int entries = kEntries) {
    return std::make_unique<BackgroundCallers>(
        kCallInterval, [this, entries](int n) {
          return floor->Stream(n % entries, "stream" + std::to_string(n)).whole;
        });
  }
  std::unique_ptr<BackgroundCallers> SendPlainCalls(int entries = kEntries) {
    return std::make_unique<BackgroundCallers>(
        kCallInterval, [this, entries](int n) {
          const auto answer =
              floor->Call(n % entries, "/safe/x", "plain" + std::to_string(n));
          return answer && answer->status == 200;
        });
  }
  // The plain target that has received most calls.
  int FindBusiestTarget() {
    int busiest = options.engines;
    for (int it = busiest; it < options.engines + options.services; ++it) {
      if (floor->targets().CallCount(it) > floor->targets().CallCount(busiest))
        busiest = it;
    }
    return busiest;
  }
  // All plain targets.
  std::vector<int> PlainTargets() const {
    std::vector<int> targets(options.services);
    std::iota(targets.begin(), targets.end(), options.engines);
    return targets;
  }
  // Lets targets name limits and checks that the requests of the next seconds
  // keep each of them and are at least `fewest`.
  void CheckLimitsAreKept(const std::vector<int>& targets, int fewest) {
    for (const int it : targets)
      floor->targets().NameRateLimit(it, std::to_string(kLimit));
    std::this_thread::sleep_for(kTimeToKnow);
    const auto since = Clock::now();
    std::this_thread::sleep_for(kWindow + seconds(3));
    for (const int it : targets) {
      const int requests = floor->targets().MostRequests(it, kWindow, since);
      if (requests > kMaxRequests || requests < fewest)
        FAIL((std::to_string(requests) + " requests in 4 s").c_str());
    }
  }
};

// A target that named a limit got requests from all entries as before.
TEST(RateLimit, EntriesTogetherExceedTheLimitOfAnEngine) {
  StartFleet();
  const auto streams = SendStreams();
  std::this_thread::sleep_for(seconds(1));
  CheckLimitsAreKept({floor->targets().FindHolder(0)}, 0);
}

TEST(RateLimit, EntriesTogetherExceedTheLimitOfAPlainTarget) {
  StartFleet();
  const auto calls = SendPlainCalls();
  std::this_thread::sleep_for(seconds(1));
  CheckLimitsAreKept({FindBusiestTarget()}, 0);
}

TEST(RateLimit, LimitsAreUsedByCallsThatHaveNoOtherTarget) {
  StartFleet();
  const auto calls = SendPlainCalls();
  std::this_thread::sleep_for(seconds(1));
  CheckLimitsAreKept(PlainTargets(), kMinRequests);
}

TEST(RateLimit, OneEntryWithCallsMayUseTheWholeLimit) {
  StartFleet();
  const auto calls = SendPlainCalls(1);
  std::this_thread::sleep_for(seconds(1));
  CheckLimitsAreKept(PlainTargets(), kMinRequests);
}

TEST(RateLimit, CallsAreRefusedAtOnceIfAllTargetsAreLimited) {
  options.services = 2;
  StartFleet();
  const auto calls = SendPlainCalls();
  std::this_thread::sleep_for(seconds(1));
  CHECK(calls->served() > 0);
  const int targets = options.engines + options.services;
  for (int it = options.engines; it < targets; ++it)
    floor->targets().NameRateLimit(it, "0.5");
  std::this_thread::sleep_for(seconds(1));
  int refused = 0;
  for (int n = 0; n < 8; ++n) {
    const auto began = Clock::now();
    const auto answer =
        floor->Call(n % kEntries, "/unsafe/x", "late" + std::to_string(n));
    CHECK(answer != nullptr);
    CHECK(Clock::now() - began < milliseconds(600));
    if (answer->status == 200)
      continue;
    ++refused;
    CHECK_EQUAL(503, answer->status);
    CHECK(std::stod(answer->get_header_value("Retry-After")) >= 0.4);
    CHECK(!floor->targets().ExecutionCounts().contains("late" +
                                                       std::to_string(n)));
  }
  CHECK(refused >= 6);
  CHECK(floor->Output(0).find("\"cause\":\"rate-limit\"") != std::string::npos);
  // Calls are served as before when the limits have ended.
  for (int it = options.engines; it < targets; ++it)
    floor->targets().NameRateLimit(it, "");
  std::this_thread::sleep_for(seconds(12));
  const int ended = calls->ended();
  const int served = calls->served();
  std::this_thread::sleep_for(seconds(2));
  CHECK(10 * (calls->served() - served) >= 9 * (calls->ended() - ended));
}

TEST(RateLimit, MalformedLimitsChangeNothing) {
  StartFleet();
  for (int it = 0; it < options.engines + options.services; ++it)
    floor->targets().NameRateLimit(it, it % 2 == 0 ? "-3" : "soon");
  const auto calls = SendPlainCalls();
  const auto streams = SendStreams();
  std::this_thread::sleep_for(seconds(3));
  CHECK(calls->ended() > 50 && streams->ended() > 50);
  CHECK(10 * calls->served() >= 9 * calls->ended());
  CHECK(10 * streams->served() >= 9 * streams->ended());
}

}  // namespace bbv
