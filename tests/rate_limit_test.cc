#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

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
  // Names a limit and checks the requests of the next seconds.
  void CheckLimitIsKept(int target) {
    floor->targets().NameRateLimit(target, std::to_string(kLimit));
    std::this_thread::sleep_for(kTimeToKnow);
    const auto since = Clock::now();
    std::this_thread::sleep_for(kWindow + seconds(3));
    const int requests = floor->targets().MostRequests(target, kWindow, since);
    if (requests > kMaxRequests)
      FAIL((std::to_string(requests) + " requests in 4 s").c_str());
  }
};

// A target that named a limit got requests from all entries as before.
TEST(RateLimit, EntriesTogetherExceedTheLimitOfAnEngine) {
  StartFleet();
  const auto streams = SendStreams();
  std::this_thread::sleep_for(seconds(1));
  CheckLimitIsKept(floor->targets().FindHolder(0));
}

TEST(RateLimit, EntriesTogetherExceedTheLimitOfAPlainTarget) {
  StartFleet();
  const auto calls = SendPlainCalls();
  std::this_thread::sleep_for(seconds(1));
  CheckLimitIsKept(options.engines);
}

}  // namespace bbv
