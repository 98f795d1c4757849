#ifndef MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_
#define MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_

#include <cstddef>
#include <cstdint>

#include "bbv_core/instant.h"

namespace bbv {

// Decides when an entry reads the target list from the store.
//
// Entries of a zone share the lists they read, so only the reader of rank 0
// reads continuously, using long polls. The others read only if the shared list
// becomes older than a long poll of that reader can explain, staggered by rank
// and all of them before the list reaches the maximum age. If the reader of
// rank 0 crashes, loses its connection, freezes or is rejected by the store,
// this costs a single delayed read. Thread safety: none, owned by one thread.
class ReadSchedule {
 public:
  // `max_age` is the maximum age that the target list may reach.
  explicit ReadSchedule(Milliseconds max_age);

  // Duration of the long polls of the reader of rank 0.
  Milliseconds long_poll_wait() const { return long_poll_wait_; }

  // Records that the target list was read, by this entry or another one, and
  // was current at `at`.
  void RecordSnapshot(Instant at);

  // Returns when this entry should read, given its `rank` among the readers of
  // its zone. `jitter` spreads the reads of entries whose rank is too low for a
  // time slot of their own.
  Instant NextRead(std::size_t rank, uint64_t jitter) const;

  // Whether the list is so old that targets may have expired unnoticed, so that
  // the whole list must be read rather than the changes.
  bool NeedsFullRead(Instant now) const;

  // When the most recent list was current.
  Instant snapshot_time() const { return snapshot_time_; }

 private:
  Milliseconds max_age_;
  Milliseconds long_poll_wait_;
  Instant snapshot_time_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_
