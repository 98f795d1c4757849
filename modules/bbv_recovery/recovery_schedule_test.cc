#include "bbv_recovery/recovery_schedule.h"

#include <CppUTest/TestHarness.h>

using bbv::Instant;
using bbv::LostStream;
using bbv::Milliseconds;
using bbv::RecoverySchedule;

TEST_GROUP(RecoverySchedule) {
  Instant now = Instant() + Milliseconds(1000);
  LostStream stream{0, 800, now + Milliseconds(150)};
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
  CHECK(!RecoverySchedule::HoldUntil(stream, 150, now).has_value());
  CHECK(RecoverySchedule::HoldUntil(stream, 151, now).has_value());
}

TEST(RecoverySchedule, AStreamThatWillBeLateWaitsUntilItsDeadlineAtMost) {
  Instant time = now;
  while (const auto next = RecoverySchedule::HoldUntil(stream, 900, time)) {
    CHECK(*next > time);
    time = *next;
  }
  CHECK(time == stream.event_deadline);
}
