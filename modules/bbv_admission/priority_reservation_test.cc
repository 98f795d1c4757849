#include "bbv_admission/priority_reservation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bbv_admission/admission_queue.h"
#include "bbv_admission/retry_after_scheduler.h"

using bbv::AdmissionQueue;
using bbv::Instant;
using bbv::Milliseconds;
using bbv::PriorityReservation;
using bbv::RetryAfterScheduler;
using bbv::RoomLimits;

namespace {

constexpr Milliseconds kStep{10};
constexpr double kShortMs = 8;
constexpr double kLongMs = 28;

struct Class {
  int priority = 0;
  int64_t objective_ms = 500;
  double per_second = 0;
  double burst_factor = 1;
};

struct Tally {
  double offered = 0;
  double in_time = 0;
  double served = 0;
  double ServedShare() const { return served / offered; }
  double InTimeShare() const { return in_time / offered; }
};

struct Outcome {
  std::vector<Tally> classes;
  Tally all;
  Tally long_prompts;
  std::map<std::string, Tally> accounts;
  int displaced = 0;
  int displaced_urgent = 0;
  // Least prefill backlog at which a call was refused.
  double refused_at_ms = 1e9;
};

// Prompts queue at one target, which reads them in order. From second 3 to 7
// classes arrive at `burst_factor` of their rate. Refused callers retry once.
// Without `reserves`, the calls are admitted as the queue alone does it.
class Simulation {
 public:
  Simulation(std::vector<Class> classes, bool reserves)
      : classes_(std::move(classes)), reserves_(reserves) {
    outcome_.classes.resize(classes_.size());
  }

  Outcome Run() {
    std::vector<double> due(classes_.size());
    for (int step = 0; step < 1200; ++step) {
      now_ = start_ + step * kStep;
      backlog_ms_ = std::max(0.0, backlog_ms_ - kStep.count());
      queue_.OnTick(
          now_, [&](uint64_t it) { return TrySend(it); },
          [&](uint64_t it) { Refuse(it); });
      while (!retries_.empty() && retries_.begin()->first <= now_) {
        const std::size_t it = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Arrive(it);
      }
      for (std::size_t it = 0; it < classes_.size(); ++it) {
        const bool is_burst = step >= 300 && step < 700;
        due[it] += classes_[it].per_second / 100 *
                   (is_burst ? classes_[it].burst_factor : 1);
        for (; due[it] >= 1; due[it] -= 1)
          Offer(it);
      }
    }
    return outcome_;
  }

 private:
  struct Call {
    std::size_t kind = 0;
    bool is_long = false;
    std::string account;
    Instant first_arrival;
    Instant arrived;
    bool retried = false;
  };

  void Offer(std::size_t kind) {
    const std::size_t n = calls_.size();
    calls_.push_back(
        {kind, n % 10 == 3, n % 7 == 0 ? "small" : "large", now_, now_});
    ForEachTally(calls_.back(), [](Tally* it) { ++it->offered; });
    Arrive(n);
  }

  void Arrive(std::size_t n) {
    Call& call = calls_[n];
    const Class& kind = classes_[call.kind];
    call.arrived = now_;
    const double work = call.is_long ? kLongMs : kShortMs;
    reservation_.RecordArrival(kind.priority, work, kind.objective_ms, now_);
    if (TrySend(n))
      return;
    AdmissionQueue::CallParameters parameters;
    parameters.service = "s";
    parameters.account = call.account;
    parameters.priority = kind.priority;
    parameters.cost = work;
    parameters.deadline =
        now_ +
        std::min(Milliseconds(400), Milliseconds(kind.objective_ms * 60 / 100));
    if (reserves_ && reservation_.HasSeveralPriorities()) {
      parameters.deadline = reservation_.WaitDeadline(
          now_, kind.objective_ms, now_ + Milliseconds(20'000));
      parameters.max_waiting = reservation_.MaxWaiting(
          std::chrono::duration_cast<Milliseconds>(parameters.deadline - now_));
    }
    if (!queue_.Add(n, parameters))
      Refuse(n);
    for (const auto& it : queue_.TakeDisplaced()) {
      ++outcome_.displaced;
      outcome_.displaced_urgent += it.priority <= it.urgent_priority ? 1 : 0;
      Refuse(it.id);
    }
  }

  bool TrySend(std::size_t n) {
    const Call& call = calls_[n];
    const Class& kind = classes_[call.kind];
    const RoomLimits limits =
        reserves_ ? reservation_.Limits(kind.priority, kind.objective_ms)
                  : RoomLimits{};
    const double max_ms = limits.max_backlog_ms > 0
                              ? limits.max_backlog_ms
                              : static_cast<double>(kind.objective_ms);
    if (backlog_ms_ > max_ms)
      return false;
    backlog_ms_ += call.is_long ? kLongMs : kShortMs;
    reservation_.RecordSent(kind.priority, now_);
    reservation_.RecordResponse(
        Milliseconds(static_cast<int64_t>(backlog_ms_)));
    scheduler_.RecordAccepted(now_);
    const double after_ms =
        std::chrono::duration<double, std::milli>(now_ - call.first_arrival)
            .count() +
        backlog_ms_;
    const bool in_time = after_ms <= static_cast<double>(kind.objective_ms);
    ForEachTally(call, [in_time](Tally* it) {
      ++it->served;
      it->in_time += in_time ? 1 : 0;
    });
    return true;
  }

  void Refuse(std::size_t n) {
    Call& call = calls_[n];
    outcome_.refused_at_ms = std::min(outcome_.refused_at_ms, backlog_ms_);
    if (std::exchange(call.retried, true))
      return;
    const int priority = reserves_ ? classes_[call.kind].priority : 0;
    const auto delay = scheduler_.ReserveDelay(
        Milliseconds(400), Milliseconds(6000), now_, priority);
    retries_.emplace(now_ + delay, n);
  }

  void ForEachTally(const Call& call, const std::function<void(Tally*)>& act) {
    act(&outcome_.classes[call.kind]);
    act(&outcome_.all);
    act(&outcome_.accounts[call.account]);
    if (call.is_long)
      act(&outcome_.long_prompts);
  }

  std::vector<Class> classes_;
  bool reserves_;
  const Instant start_ = Instant() + Milliseconds(1000);
  Instant now_ = start_;
  double backlog_ms_ = 0;
  std::vector<Call> calls_;
  std::multimap<Instant, std::size_t> retries_;
  AdmissionQueue queue_;
  RetryAfterScheduler scheduler_;
  PriorityReservation reservation_;
  Outcome outcome_;
};

// Calls of three priorities that fill the target, and a burst of the lowest.
const std::vector<Class> kBurstOfLowest = {{0, 500, 50, 1},
                                           {1, 500, 27, 1},
                                           {2, 1000, 17, 2.5}};

}  // namespace

TEST_GROUP(PriorityReservation){};

TEST(PriorityReservation, ABurstOfTheLowestPriorityFallsOnItself) {
  const Outcome before = Simulation(kBurstOfLowest, false).Run();
  const Outcome after = Simulation(kBurstOfLowest, true).Run();
  const auto& classes = after.classes;
  // The queue alone serves the lowest priority best.
  CHECK(before.classes[0].InTimeShare() + 0.05 <
        before.classes[2].InTimeShare());
  CHECK(classes[0].InTimeShare() + 0.05 >= classes[1].InTimeShare());
  CHECK(classes[1].InTimeShare() + 0.05 >= classes[2].InTimeShare());
  CHECK(classes[0].InTimeShare() > 0.9);
  // No class, size or account starves, and no more calls are late.
  CHECK(classes[2].ServedShare() > 0.25 * after.all.ServedShare());
  CHECK(after.long_prompts.ServedShare() > 0.5 * after.all.ServedShare());
  for (const auto& [name, it] : after.accounts)
    CHECK(it.ServedShare() > 0.5 * after.all.ServedShare());
  CHECK(after.all.in_time >= before.all.in_time);
  // Only calls less urgent than others make room, and none while room is left.
  CHECK(after.displaced > 0);
  CHECK_EQUAL(0, after.displaced_urgent);
  CHECK(after.refused_at_ms > 250);
}

TEST(PriorityReservation, TheLowestPriorityKeepsAFloorInALongOverload) {
  const Outcome outcome =
      Simulation({{0, 500, 140, 1}, {2, 1000, 20, 1}}, true).Run();
  CHECK(outcome.classes[1].ServedShare() > 0.25 * outcome.all.ServedShare());
}

TEST(PriorityReservation, KeepsNothingWhereAllCallsHaveOnePriority) {
  const std::vector<Class> equal = {{1, 500, 70, 1}, {1, 1000, 30, 2.5}};
  const Outcome before = Simulation(equal, false).Run();
  const Outcome after = Simulation(equal, true).Run();
  DOUBLES_EQUAL(before.all.in_time, after.all.in_time, 0);
  DOUBLES_EQUAL(before.all.served, after.all.served, 0);
}

TEST(PriorityReservation, GivesRoomBackWhenUrgentCallsStayAway) {
  PriorityReservation reservation;
  Instant now = Instant() + Milliseconds(1000);
  for (int it = 0; it < 20; ++it)
    reservation.RecordArrival(it % 2, 800, 500, now);
  DOUBLES_EQUAL(333, reservation.Limits(1, 500).max_backlog_ms, 1);
  CHECK(!reservation.Limits(0, 500).keeps_room());
  for (int it = 0; it < 60; ++it)
    reservation.RecordArrival(1, 800, 500, now += Milliseconds(500));
  CHECK(!reservation.Limits(1, 500).keeps_room());
}

TEST(PriorityReservation, TheRoutesPriorityDecidesAmongEqualAccounts) {
  using Reservation = PriorityReservation;
  CHECK(Reservation::PriorityKey(0, 2) < Reservation::PriorityKey(1, 0));
  CHECK(Reservation::PriorityKey(1, 0) < Reservation::PriorityKey(1, 2));
  CHECK(Reservation::PriorityKey(1, 1) ==
        Reservation::PriorityKey(std::nullopt, 1));
  STRCMP_EQUAL(
      "1.2",
      Reservation::PriorityKeyText(Reservation::PriorityKey(1, 2)).c_str());
}

TEST(PriorityReservation, OddInputKeepsTodaysLimits) {
  PriorityReservation reservation;
  const Instant now = Instant() + Milliseconds(1000);
  const int rank = PriorityReservation::PriorityKey(std::nullopt, -7);
  CHECK_EQUAL(rank, PriorityReservation::PriorityKey(0, 0));
  reservation.RecordArrival(rank, 0, -1, now);
  reservation.RecordArrival(rank, 0, 0, now);
  CHECK(!reservation.HasSeveralPriorities());
  CHECK(!reservation.Limits(rank, 0).keeps_room());
  CHECK_EQUAL(PriorityReservation::PriorityKey(255, 0),
              PriorityReservation::PriorityKey(100'000, 0));
  // A route without an objective limits no backlog.
  DOUBLES_EQUAL(0, reservation.Limits(9, 0).max_backlog_ms, 0);
}
