#include "bbv_membership/read_schedule.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

// Ranks that have a time of their own; the others share the last one.
constexpr std::size_t kRanksInTurn = 3;
// A target's entry lapses after three of its pauses without a heartbeat.
constexpr Milliseconds kLapse{3000};

}  // namespace

ReadSchedule::ReadSchedule(Milliseconds oldest)
    : oldest_(oldest), wait_(oldest / 2) {
  assert(oldest.count() > 0);
}

void ReadSchedule::RecordSnapshot(Instant at) {
  picture_at_ = std::max(picture_at_, at);
}

Instant ReadSchedule::NextRead(std::size_t rank, uint64_t draw) const {
  const Milliseconds step =
      (oldest_ - wait_) / static_cast<int>(kRanksInTurn + 1);
  Milliseconds age =
      wait_ + step * static_cast<int>(std::min(rank, kRanksInTurn));
  if (rank >= kRanksInTurn && step.count() > 0)
    age += Milliseconds(
        static_cast<int64_t>(draw % static_cast<uint64_t>(step.count())));
  return picture_at_ + age;
}

bool ReadSchedule::NeedsFullRead(Instant now) const {
  return now > picture_at_ + kLapse;
}

}  // namespace bbv
