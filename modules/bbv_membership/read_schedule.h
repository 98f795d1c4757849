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
// others read once their picture of the list is older than that reader waits,
// each rank a little later, and all of them well before the picture is too old
// to act on. A reader that is killed, cut off, frozen or refused so costs one
// late read. Thread safety: none, owned by one thread.
class ReadSchedule {
 public:
  // `oldest` is the age that a picture may reach.
  explicit ReadSchedule(Milliseconds oldest);

  // How long the first in rank waits at the store for a change.
  Milliseconds long_poll_wait() const { return wait_; }

  // The list was true at `at`, by a read of this entry or of another one.
  void RecordSnapshot(Instant at);

  // When this entry reads, at place `rank` among the zone's readers. `draw`
  // spreads the entries that rank too low to have a time of their own.
  Instant NextRead(std::size_t rank, uint64_t draw) const;

  // Whether the picture is so old that targets may have lapsed unnoticed.
  bool NeedsFullRead(Instant now) const;

  // When the list was true.
  Instant snapshot_time() const { return picture_at_; }

 private:
  Milliseconds oldest_;
  Milliseconds wait_;
  Instant picture_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_READ_SCHEDULE_H_
