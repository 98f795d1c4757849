#include "bbv_membership/read_schedule.h"

#include <CppUTest/TestHarness.h>

namespace bbv {
namespace {

constexpr Milliseconds kMaxAge{2000};
constexpr Milliseconds kWait{1000};
const Instant kStart = Instant{} + std::chrono::hours(1);

ReadSchedule MakeSchedule() {
  ReadSchedule schedule(kMaxAge);
  schedule.RecordSnapshot(kStart);
  return schedule;
}

}  // namespace

TEST_GROUP(ReadSchedule){};

TEST(ReadSchedule, LowerRanksReadLater) {
  const ReadSchedule schedule = MakeSchedule();
  CHECK_TRUE(schedule.NextRead(0, 0) == kStart + kWait);
  CHECK_TRUE(schedule.NextRead(1, 0) > schedule.NextRead(0, 0));
  CHECK_TRUE(schedule.NextRead(2, 0) > schedule.NextRead(1, 0));
}

TEST(ReadSchedule, EveryRankReadsBeforeTheMaximumAge) {
  const ReadSchedule schedule = MakeSchedule();
  for (std::size_t rank = 0; rank < 300; ++rank) {
    for (uint64_t jitter = 0; jitter < 1000; jitter += 7)
      CHECK_TRUE(schedule.NextRead(rank, jitter) <= kStart + kMaxAge);
  }
}

TEST(ReadSchedule, ReadOfAnotherEntryPostponesOwnRead) {
  ReadSchedule schedule = MakeSchedule();
  schedule.RecordSnapshot(kStart + Milliseconds(500));
  CHECK_TRUE(schedule.NextRead(0, 0) == kStart + Milliseconds(500) + kWait);
  // An older read must not move the time back.
  schedule.RecordSnapshot(kStart + Milliseconds(100));
  CHECK_TRUE(schedule.snapshot_time() == kStart + Milliseconds(500));
}

TEST(ReadSchedule, LongGapRequiresAFullRead) {
  const ReadSchedule schedule = MakeSchedule();
  CHECK_FALSE(schedule.NeedsFullRead(kStart + kMaxAge));
  CHECK_TRUE(schedule.NeedsFullRead(kStart + Milliseconds(3100)));
}

}  // namespace bbv
