#include "bbv_admission/retry_after_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::RetryAfterScheduler;

namespace {

constexpr Milliseconds kMinDelay{400};
constexpr Milliseconds kMaxDelay{6000};

struct Outcome {
  int served = 0;
  int refused_again = 0;
};

// Simulates a zone that completes `kNormalRate` calls per second, and two
// thirds of that while it lacks layers from second 2 to 6. 60 callers arrive
// per second; each retries once after a refusal.
Outcome Simulate(const std::function<Milliseconds(Instant)>& retry_delay,
                 const std::function<void(Instant)>& on_accepted) {
  constexpr double kNormalRate = 75;
  constexpr double kShortageRate = 50;
  constexpr double kMaxSlots = 8;
  constexpr Milliseconds kStep{10};
  constexpr int kSteps = 2000;
  Outcome outcome;
  std::multimap<Instant, bool> arrivals;
  const Instant start = Instant() + Milliseconds(1000);
  for (int it = 0; it < 15 * 60; ++it)
    arrivals.emplace(start + Milliseconds(it * 1000 / 60), false);
  double free_slots = 0;
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = start + step * kStep;
    const bool is_shortage = step >= 200 && step < 600;
    free_slots = std::min(
        kMaxSlots,
        free_slots + (is_shortage ? kShortageRate : kNormalRate) / 100);
    while (!arrivals.empty() && arrivals.begin()->first <= now) {
      const bool is_retry = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      if (free_slots >= 1) {
        free_slots -= 1;
        ++outcome.served;
        on_accepted(now);
      } else if (is_retry) {
        ++outcome.refused_again;
      } else {
        arrivals.emplace(now + retry_delay(now), true);
      }
    }
  }
  return outcome;
}

}  // namespace

TEST_GROUP(RetryAfterScheduler) {
  RetryAfterScheduler scheduler;
  Instant now = Instant() + Milliseconds(1000);
};

TEST(RetryAfterScheduler, FirstRetryIsDueAfterTheMinimumDelay) {
  CHECK(scheduler.ReserveDelay(kMinDelay, kMaxDelay, now) == kMinDelay);
}

TEST(RetryAfterScheduler, RetriesAreOneSecondApartWithoutAcceptedCalls) {
  scheduler.ReserveDelay(kMinDelay, kMaxDelay, now);
  CHECK(scheduler.ReserveDelay(kMinDelay, kMaxDelay, now) ==
        kMinDelay + Milliseconds(1000));
  for (int it = 0; it < 100; ++it)
    CHECK(scheduler.ReserveDelay(kMinDelay, kMaxDelay, now) <= kMaxDelay);
  // Reserved slots that lie in the past no longer delay retries.
  CHECK(scheduler.ReserveDelay(kMinDelay, kMaxDelay, now + 2 * kMaxDelay) ==
        kMinDelay);
}

TEST(RetryAfterScheduler, OldAcceptanceRatesDecay) {
  for (int it = 0; it < 1000; ++it)
    scheduler.RecordAccepted(now + Milliseconds(it));
  const Instant later = now + Milliseconds(30'000);
  scheduler.ReserveDelay(kMinDelay, kMaxDelay, later);
  CHECK(scheduler.ReserveDelay(kMinDelay, kMaxDelay, later) >
        kMinDelay + Milliseconds(900));
}

// A shortage lasts four seconds. Guards against delays that make refused
// callers retry during the same shortage.
TEST(RetryAfterScheduler, RefusesFewerRetriesThanAnUnscheduledDelay) {
  int n = 0;
  const Outcome unscheduled = Simulate(
      [&](Instant) { return kMinDelay + Milliseconds((n += 37) % 200); },
      [](Instant) {});
  const Outcome scheduled = Simulate(
      [&](Instant at) {
        return scheduler.ReserveDelay(kMinDelay, kMaxDelay, at);
      },
      [&](Instant at) { scheduler.RecordAccepted(at); });
  CHECK(unscheduled.refused_again > 0);
  CHECK(scheduled.refused_again * 2 < unscheduled.refused_again);
  CHECK(scheduled.served > unscheduled.served);
}
