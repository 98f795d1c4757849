#include "bbv_membership/read_schedule.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

// Number of ranks with a time slot of their own. Lower ranks share the last
// slot.
constexpr std::size_t kStaggeredRanks = 3;
// A target expires after three missed heartbeats.
constexpr Milliseconds kHeartbeatExpiry{3000};

}  // namespace

ReadSchedule::ReadSchedule(Milliseconds max_age)
    : max_age_(max_age), long_poll_wait_(max_age / 2) {
  assert(max_age.count() > 0);
}

void ReadSchedule::RecordSnapshot(Instant at) {
  snapshot_time_ = std::max(snapshot_time_, at);
}

Instant ReadSchedule::NextRead(std::size_t rank, uint64_t jitter) const {
  const Milliseconds step =
      (max_age_ - long_poll_wait_) / static_cast<int>(kStaggeredRanks + 1);
  Milliseconds age = long_poll_wait_ +
                     step * static_cast<int>(std::min(rank, kStaggeredRanks));
  if (rank >= kStaggeredRanks && step.count() > 0)
    age += Milliseconds(
        static_cast<int64_t>(jitter % static_cast<uint64_t>(step.count())));
  return snapshot_time_ + age;
}

bool ReadSchedule::NeedsFullRead(Instant now) const {
  return now > snapshot_time_ + kHeartbeatExpiry;
}

}  // namespace bbv
