#include "bbv_recovery/recovery_schedule.h"

#include <CppUTest/TestHarness.h>

using bbv::Instant;
using bbv::LostStream;
using bbv::Milliseconds;
using bbv::RecoverySchedule;

TEST_GROUP(RecoverySchedule) {
  Instant now = Instant() + Milliseconds(1000);
  Milliseconds objective{250};
  bool IsHeld(const LostStream& it, const bbv::PrefillEstimate& prefill) {
    return RecoverySchedule::HoldUntil(it, prefill, objective, now).has_value();
  }

  LostStream stream{0, 800, now + Milliseconds(150), now + Milliseconds(1600)};
};

TEST(RecoverySchedule, UrgentStreamsPrecedeShortOnesAndLateOnesComeLast) {
  LostStream urgent = stream;
  LostStream shorter = stream;
  shorter.priority = 1;
  shorter.unread_tokens = 100;
  CHECK(RecoverySchedule::IsMoreUrgent(urgent, shorter, now));
  CHECK(!RecoverySchedule::IsMoreUrgent(shorter, urgent, now));
  shorter.priority = 0;
  CHECK(RecoverySchedule::IsMoreUrgent(shorter, urgent, now));
  urgent.event_deadline = now;
  shorter.priority = 2;
  CHECK(RecoverySchedule::IsMoreUrgent(shorter, urgent, now));
  CHECK(!RecoverySchedule::IsMoreUrgent(stream, stream, now));
}

TEST(RecoverySchedule, AStreamThatWillBeInTimeMovesAtOnce) {
  CHECK(!IsHeld(stream, {140, 150}));
  CHECK(IsHeld(stream, {140, 151}));
}

TEST(RecoverySchedule, ALateStreamMovesAfterItsDeadlineBehindAShortBacklog) {
  stream.event_deadline = now;
  CHECK(IsHeld(stream, {126, 140}));
  CHECK(!IsHeld(stream, {125, 140}));
}

TEST(RecoverySchedule, NoStreamWaitsUntilItsCallerLeaves) {
  const Instant last_start = stream.caller_deadline - Milliseconds(400);
  Instant time = now;
  while (const auto next =
             RecoverySchedule::HoldUntil(stream, {390, 400}, objective, time)) {
    CHECK(*next > time);
    time = *next;
  }
  CHECK(time == last_start);
}

TEST(RecoverySchedule, WithoutAnObjectiveEveryStreamMovesAtOnce) {
  objective = Milliseconds(0);
  CHECK(!IsHeld(stream, {900, 999}));
}
