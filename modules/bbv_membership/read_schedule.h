#ifndef MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_
#define MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_

#include <cstddef>
#include <cstdint>

#include "bbv_core/instant.h"

namespace bbv {

// When an entry reads the target list itself.
//
// Every entry of a zone takes what another one has read, so that only the
// first in rank reads all the time, waiting at the store for changes. The
// others read once their record of the list is older than that reader waits,
// each rank a little later, and all of them well before the record is too old
// to act on. A reader that is killed, cut off, frozen or refused so costs one
// late read. Thread safety: none, owned by one thread.
class ReadSchedule {
 public:
  // `max_age` is the age that a record may reach.
  explicit ReadSchedule(Milliseconds max_age);

  // How long the first in rank waits at the store for a change.
  Milliseconds long_poll_wait() const { return long_poll_wait_; }

  // The list was true at `at`, by a read of this entry or of another one.
  void RecordSnapshot(Instant at);

  // When this entry reads, at place `rank` among the zone's readers. `jitter`
  // spreads the entries that rank too low to have a time of their own.
  Instant NextRead(std::size_t rank, uint64_t jitter) const;

  // Whether the record is so old that targets may have lapsed unnoticed.
  bool NeedsFullRead(Instant now) const;

  // When the list was true.
  Instant snapshot_time() const { return snapshot_time_; }

 private:
  Milliseconds max_age_;
  Milliseconds long_poll_wait_;
  Instant snapshot_time_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_
