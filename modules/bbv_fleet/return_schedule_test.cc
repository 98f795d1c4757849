#include "bbv_fleet/return_schedule.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <vector>

using bbv::Instant;
using bbv::Milliseconds;
using bbv::RetryAfterScheduler;

namespace {

constexpr Milliseconds kLeast{400};
constexpr Milliseconds kMost{6000};

struct Outcome {
  int served = 0;
  int refused_again = 0;
};

// A zone ends `kUsualRate` calls a second and, while it lacks layers from
// second 2 to 6, two thirds of that; 60 callers a second come, and each returns
// once when it was refused.
Outcome Play(const std::function<Milliseconds(Instant)>& pause,
             const std::function<void(Instant)>& on_taken) {
  constexpr double kUsualRate = 75;
  constexpr double kShortRate = 50;
  constexpr double kMostPlaces = 8;
  constexpr Milliseconds kStep{10};
  constexpr int kSteps = 2000;
  Outcome outcome;
  std::multimap<Instant, bool> arrivals;
  const Instant start = Instant() + Milliseconds(1000);
  for (int it = 0; it < 15 * 60; ++it)
    arrivals.emplace(start + Milliseconds(it * 1000 / 60), false);
  double places = 0;
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = start + step * kStep;
    const bool is_short = step >= 200 && step < 600;
    places = std::min(kMostPlaces,
                      places + (is_short ? kShortRate : kUsualRate) / 100);
    while (!arrivals.empty() && arrivals.begin()->first <= now) {
      const bool returned = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      if (places >= 1) {
        places -= 1;
        ++outcome.served;
        on_taken(now);
      } else if (returned) {
        ++outcome.refused_again;
      } else {
        arrivals.emplace(now + pause(now), true);
      }
    }
  }
  return outcome;
}

}  // namespace

TEST_GROUP(RetryAfterScheduler) {
  RetryAfterScheduler schedule;
  Instant now = Instant() + Milliseconds(1000);
};

TEST(RetryAfterScheduler, ASingleRefusalReturnsAfterTheLeastPause) {
  CHECK(schedule.ReserveDelay(kLeast, kMost, now) == kLeast);
}

TEST(RetryAfterScheduler, WithoutAnyCallTakenReturnsAreASecondApart) {
  schedule.ReserveDelay(kLeast, kMost, now);
  CHECK(schedule.ReserveDelay(kLeast, kMost, now) ==
        kLeast + Milliseconds(1000));
  for (int it = 0; it < 100; ++it)
    CHECK(schedule.ReserveDelay(kLeast, kMost, now) <= kMost);
  // What was booked is over after that time.
  CHECK(schedule.ReserveDelay(kLeast, kMost, now + 2 * kMost) == kLeast);
}

TEST(RetryAfterScheduler, RatesOfLongAgoAreForgotten) {
  for (int it = 0; it < 1000; ++it)
    schedule.RecordAccepted(now + Milliseconds(it));
  const Instant later = now + Milliseconds(30'000);
  schedule.ReserveDelay(kLeast, kMost, later);
  CHECK(schedule.ReserveDelay(kLeast, kMost, later) >
        kLeast + Milliseconds(900));
}

// Load: a shortage of four seconds.
TEST(RetryAfterScheduler, FewerCallersAreRefusedAgainThanWithOnePauseForAll) {
  int n = 0;
  const Outcome spread =
      Play([&](Instant) { return kLeast + Milliseconds((n += 37) % 200); },
           [](Instant) {});
  const Outcome booked =
      Play([&](Instant at) { return schedule.ReserveDelay(kLeast, kMost, at); },
           [&](Instant at) { schedule.RecordAccepted(at); });
  CHECK(spread.refused_again > 0);
  CHECK(booked.refused_again * 2 < spread.refused_again);
  CHECK(booked.served > spread.served);
}
