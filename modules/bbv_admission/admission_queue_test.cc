#include "bbv_admission/admission_queue.h"

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

// A service with a fixed number of slots. Refused callers retry once after a
// delay, as the clients of the service do.
struct Load {
  int slot_count = 60;
  Milliseconds service_time{1500};
  Milliseconds latency_objective{500};
  Milliseconds retry_delay{500};
};

struct Outcome {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  std::map<std::string, int> served_by_account;
};

struct Caller {
  Instant arrived;
  std::string account;
  bool has_retried = false;
};

// Simulates a steady load with bursts, with or without the queue, in steps of
// 20 ms.
Outcome Simulate(const Load& load, bool waits) {
  constexpr Milliseconds kStep{20};
  Outcome outcome;
  AdmissionQueue admission_queue;
  std::vector<Caller> callers;
  std::vector<std::pair<Instant, std::size_t>> retry_times;
  std::vector<Instant> busy;
  const Instant start = Instant() + Milliseconds(1000);
  Instant now = start;
  const auto has_free_slot = [&] {
    std::erase_if(busy, [&](Instant end) { return end <= now; });
    return static_cast<int>(busy.size()) < load.slot_count;
  };
  const auto send = [&](std::size_t it) {
    busy.push_back(now + load.service_time);
    const bool in_time = now - callers[it].arrived <= load.latency_objective;
    ++(in_time ? outcome.in_time : outcome.late);
    ++outcome.served_by_account[callers[it].account];
  };
  const auto refuse = [&](std::size_t it) {
    if (callers[it].has_retried) {
      ++outcome.refused;
      return;
    }
    callers[it].has_retried = true;
    retry_times.emplace_back(now + load.retry_delay, it);
  };
  const auto arrive = [&](std::size_t it) {
    if (admission_queue.size() == 0 && has_free_slot()) {
      send(it);
      return;
    }
    AdmissionQueue::CallParameters parameters;
    parameters.service = "s";
    parameters.account = callers[it].account;
    parameters.cost = 900;
    parameters.deadline = now + Milliseconds(300);
    if (!waits || !admission_queue.Add(it, parameters))
      refuse(it);
  };
  for (int step = 0; now < start + Milliseconds(20'000); ++step) {
    now = start + step * kStep;
    admission_queue.OnTick(
        now,
        [&](uint64_t it) {
          if (!has_free_slot())
            return false;
          send(it);
          return true;
        },
        [&](uint64_t it) { refuse(it); });
    std::vector<std::size_t> due;
    std::erase_if(retry_times, [&](const auto& it) {
      if (it.first > now)
        return false;
      due.push_back(it.second);
      return true;
    });
    for (const std::size_t it : due)
      arrive(it);
    // 20 calls per second use half of the slots. Every two seconds 30 more
    // arrive at once, two thirds of them from one account.
    const int burst_calls = step % 100 == 50 ? 30 : 0;
    const int steady_calls = step % 10 == 0 ? 4 : 0;
    for (int it = 0; it < steady_calls + burst_calls; ++it) {
      callers.push_back({now, it % 3 == 0 ? "small" : "large", false});
      arrive(callers.size() - 1);
    }
  }
  return outcome;
}

}  // namespace

TEST_GROUP(AdmissionQueue){};

TEST(AdmissionQueue, ServesBurstsInTimeThatWouldRetryTooLate) {
  const Outcome without_queue = Simulate(Load{}, false);
  const Outcome with_queue = Simulate(Load{}, true);
  CHECK(with_queue.in_time > without_queue.in_time);
  CHECK(with_queue.refused <= without_queue.refused);
  CHECK(with_queue.in_time + with_queue.late >=
        without_queue.in_time + without_queue.late);
}

TEST(AdmissionQueue, FloodFromOneAccountDoesNotDelayOthers) {
  AdmissionQueue admission_queue;
  const Instant now = Instant() + Milliseconds(1000);
  AdmissionQueue::CallParameters parameters;
  parameters.service = "s";
  parameters.cost = 900;
  parameters.deadline = now + Milliseconds(300);
  for (uint64_t it = 0; it < 20; ++it) {
    parameters.account = "large";
    CHECK(admission_queue.Add(it, parameters));
  }
  parameters.account = "small";
  CHECK(admission_queue.Add(100, parameters));
  std::vector<uint64_t> sent;
  admission_queue.OnTick(
      now,
      [&](uint64_t it) {
        if (sent.size() == 3)
          return false;
        sent.push_back(it);
        return true;
      },
      [](uint64_t) {});
  CHECK(std::find(sent.begin(), sent.end(), 100U) != sent.end());
  CHECK_EQUAL(18, static_cast<int>(admission_queue.size()));
}

TEST(AdmissionQueue, SendsUrgentCallsFirstAndExpiresOverdueCalls) {
  AdmissionQueue admission_queue;
  const Instant now = Instant() + Milliseconds(1000);
  AdmissionQueue::CallParameters parameters;
  parameters.service = "s";
  parameters.account = "a";
  parameters.priority = 2;
  parameters.deadline = now + Milliseconds(100);
  admission_queue.Add(1, parameters);
  parameters.priority = 0;
  parameters.deadline = now + Milliseconds(300);
  admission_queue.Add(2, parameters);
  std::vector<uint64_t> sent;
  std::vector<uint64_t> expired;
  const auto on_expired = [&](uint64_t it) { expired.push_back(it); };
  admission_queue.OnTick(
      now,
      [&](uint64_t it) {
        sent.push_back(it);
        return it == 2;
      },
      on_expired);
  CHECK_EQUAL(2, static_cast<int>(sent[0]));
  admission_queue.OnTick(
      now + Milliseconds(150), [](uint64_t) { return false; }, on_expired);
  CHECK_EQUAL(1, static_cast<int>(expired.size()));
  CHECK_EQUAL(0, static_cast<int>(admission_queue.size()));
}

TEST(AdmissionQueue, RejectsCallsWhenFull) {
  AdmissionQueue admission_queue;
  AdmissionQueue::CallParameters parameters;
  parameters.service = "s";
  uint64_t id = 0;
  while (admission_queue.Add(id, parameters))
    ++id;
  CHECK(id >= 16);
  CHECK(id <= 64);
}

// The id is that of the caller's connection, whose next request may wait as
// soon as the call before it has ended.
TEST(AdmissionQueue, ACallThatIsAddedWhileAnotherOneOfItsIdEndsStaysQueued) {
  AdmissionQueue admission_queue;
  const Instant now = Instant() + Milliseconds(1000);
  AdmissionQueue::CallParameters parameters;
  parameters.service = "s";
  parameters.deadline = now + Milliseconds(100);
  admission_queue.Add(1, parameters);
  int tries = 0;
  admission_queue.OnTick(
      now,
      [&](uint64_t id) {
        if (++tries > 1)
          return false;
        admission_queue.Remove(id);
        CHECK(admission_queue.Add(id, parameters));
        return true;
      },
      [](uint64_t) {});
  CHECK_EQUAL(1, static_cast<int>(admission_queue.size()));
  int expired = 0;
  admission_queue.OnTick(
      now + Milliseconds(100), [](uint64_t) { return false; },
      [&](uint64_t) { ++expired; });
  CHECK_EQUAL(1, expired);
}
