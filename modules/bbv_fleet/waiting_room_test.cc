#include "bbv_fleet/waiting_room.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using bbv::AdmissionQueue;
using bbv::Instant;
using bbv::Milliseconds;

namespace {

// A service with places that come free at a steady pace, and callers that are
// refused return once after a pause, as the users' clients do.
struct Load {
  int places = 60;
  Milliseconds work{1500};
  Milliseconds objective{500};
  Milliseconds return_pause{500};
};

struct Outcome {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  std::map<std::string, int> served_by_account;
};

struct Caller {
  Instant first_try;
  std::string account;
  bool returned = false;
};

// Plays `bursts` of callers, with or without waiting, in steps of 20 ms.
Outcome Play(const Load& load, bool waits) {
  constexpr Milliseconds kStep{20};
  Outcome outcome;
  AdmissionQueue room;
  std::vector<Caller> callers;
  std::vector<std::pair<Instant, std::size_t>> returns;
  std::vector<Instant> busy;
  const Instant start = Instant() + Milliseconds(1000);
  Instant now = start;
  const auto has_place = [&] {
    std::erase_if(busy, [&](Instant end) { return end <= now; });
    return static_cast<int>(busy.size()) < load.places;
  };
  const auto send = [&](std::size_t it) {
    busy.push_back(now + load.work);
    const bool in_time = now - callers[it].first_try <= load.objective;
    ++(in_time ? outcome.in_time : outcome.late);
    ++outcome.served_by_account[callers[it].account];
  };
  const auto refuse = [&](std::size_t it) {
    if (callers[it].returned) {
      ++outcome.refused;
      return;
    }
    callers[it].returned = true;
    returns.emplace_back(now + load.return_pause, it);
  };
  const auto arrive = [&](std::size_t it) {
    if (room.size() == 0 && has_place()) {
      send(it);
      return;
    }
    AdmissionQueue::CallParameters ticket;
    ticket.service = "s";
    ticket.account = callers[it].account;
    ticket.cost = 900;
    ticket.deadline = now + Milliseconds(300);
    if (!waits || !room.Add(it, ticket))
      refuse(it);
  };
  for (int step = 0; now < start + Milliseconds(20'000); ++step) {
    now = start + step * kStep;
    room.OnTick(
        now,
        [&](uint64_t it) {
          if (!has_place())
            return false;
          send(it);
          return true;
        },
        [&](uint64_t it) { refuse(it); });
    std::vector<std::size_t> due;
    std::erase_if(returns, [&](const auto& it) {
      if (it.first > now)
        return false;
      due.push_back(it.second);
      return true;
    });
    for (const std::size_t it : due)
      arrive(it);
    // 20 a second use half of the places; every two seconds 30 more come at
    // once, two thirds of them of one account.
    const int burst = step % 100 == 50 ? 30 : 0;
    const int steady = step % 10 == 0 ? 4 : 0;
    for (int it = 0; it < steady + burst; ++it) {
      callers.push_back({now, it % 3 == 0 ? "small" : "large", false});
      arrive(callers.size() - 1);
    }
  }
  return outcome;
}

}  // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, BurstsAreServedInTimeThatWouldReturnLate) {
  const Outcome without = Play(Load{}, false);
  const Outcome with = Play(Load{}, true);
  CHECK(with.in_time > without.in_time);
  CHECK(with.refused <= without.refused);
  CHECK(with.in_time + with.late >= without.in_time + without.late);
}

TEST(AdmissionQueue, AnAccountThatFloodsDoesNotKeepOthersWaiting) {
  AdmissionQueue room;
  const Instant now = Instant() + Milliseconds(1000);
  AdmissionQueue::CallParameters ticket;
  ticket.service = "s";
  ticket.cost = 900;
  ticket.deadline = now + Milliseconds(300);
  for (uint64_t it = 0; it < 20; ++it) {
    ticket.account = "large";
    CHECK(room.Add(it, ticket));
  }
  ticket.account = "small";
  CHECK(room.Add(100, ticket));
  std::vector<uint64_t> sent;
  room.OnTick(
      now,
      [&](uint64_t it) {
        if (sent.size() == 3)
          return false;
        sent.push_back(it);
        return true;
      },
      [](uint64_t) {});
  CHECK(std::find(sent.begin(), sent.end(), 100U) != sent.end());
  CHECK_EQUAL(18, static_cast<int>(room.size()));
}

TEST(AdmissionQueue, UrgentCallsGoFirstAndOverdueOnesGiveUp) {
  AdmissionQueue room;
  const Instant now = Instant() + Milliseconds(1000);
  AdmissionQueue::CallParameters ticket;
  ticket.service = "s";
  ticket.account = "a";
  ticket.priority = 2;
  ticket.deadline = now + Milliseconds(100);
  room.Add(1, ticket);
  ticket.priority = 0;
  ticket.deadline = now + Milliseconds(300);
  room.Add(2, ticket);
  std::vector<uint64_t> sent;
  std::vector<uint64_t> given_up;
  const auto give_up = [&](uint64_t it) { given_up.push_back(it); };
  room.OnTick(
      now,
      [&](uint64_t it) {
        sent.push_back(it);
        return it == 2;
      },
      give_up);
  CHECK_EQUAL(2, static_cast<int>(sent[0]));
  room.OnTick(
      now + Milliseconds(150), [](uint64_t) { return false; }, give_up);
  CHECK_EQUAL(1, static_cast<int>(given_up.size()));
  CHECK_EQUAL(0, static_cast<int>(room.size()));
}

TEST(AdmissionQueue, BeyondWhatCanBeServedNoneIsAdded) {
  AdmissionQueue room;
  AdmissionQueue::CallParameters ticket;
  ticket.service = "s";
  uint64_t id = 0;
  while (room.Add(id, ticket))
    ++id;
  CHECK(id >= 16);
  CHECK(id <= 64);
}
