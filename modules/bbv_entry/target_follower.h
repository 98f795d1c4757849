#ifndef MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_
#define MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "bbv_entry/store_client.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Keeps the target board as the store lists it.
//
// The first of a zone's readers waits at the store for changes and hands on
// what each read brought; ReadSchedule says when another entry reads. Positions
// at the store tell which of two reads knows more.
// Thread safety: none, the loop's thread.
class TargetFollower {
 public:
  // Called with what a read of this entry brought.
  using OnRead = std::function<void(wire::TargetListDeltaT delta)>;

  // `leave_within` is the time in which a leaving target must be left alone.
  TargetFollower(StoreClient* store,
                 DecisionLog* log,
                 TargetBoard* board,
                 Milliseconds leave_within,
                 OnRead on_read);

  // `rank` is this entry's place among its zone's readers; `jitter_seed`
  // spreads entries that read at the same moment.
  void OnTick(std::size_t rank, uint64_t jitter_seed, Instant now);

  // Takes what a read of another entry of the zone brought.
  void ApplyDelta(const wire::TargetListDeltaT& delta, Instant now);

  // Whether a whole list has been read once.
  bool complete() const { return complete_; }

  // When a target was last seen for the first time.
  Instant last_new_target() const { return last_new_target_; }

 private:
  void ReadNewest(const std::string& after_key);
  // Reads what follows; the store waits `wait` for it when there is nothing.
  void ReadNext(Milliseconds wait);
  // Takes a record that this entry has read, and notes it for the others.
  void ApplyReadRecord(const platform::KeyedRecord& record, Instant now);
  void ApplyRecord(const TargetRecord& record, Instant now);
  void RemoveTarget(const std::string& id, Instant now);
  void FinishRead(int64_t to, Instant now);
  void StartMissingGrace(Instant read_at);
  // Whether an answer of `era` goes on with what is known. One of a later era
  // makes this entry read the whole list, one of an earlier era is too late.
  bool AcceptEra(int64_t era);
  void OnReadFailed();
  void RemoveMissing(Instant now);

  StoreClient* store_;
  DecisionLog* log_;
  TargetBoard* board_;
  OnRead on_read_;
  ReadSchedule schedule_;
  std::size_t rank_ = 0;
  bool call_in_flight_ = false;
  bool has_position_ = false;
  bool complete_ = false;
  // How far the list is known here, by own reads and by others'.
  StorePosition known_position_;
  Instant next_call_at_{};
  // Set when this entry missed what another one read.
  std::optional<Instant> catch_up_at_;
  Instant last_new_target_{};
  // The read under way: when it began, its first offset and what it brought.
  Instant read_began_{};
  int64_t read_from_ = 0;
  // Era of the store that the read under way began in.
  int64_t read_era_ = 0;
  bool read_is_whole_ = false;
  std::map<std::string, TargetRecord> read_changes_;
  std::map<std::string, bool> read_removals_;
  std::map<uint32_t, int64_t> read_heartbeats_;
  // Since when the list has been read without a gap; entries that were not
  // renewed since then are gone once the grace has passed.
  Instant continuous_since_{};
  bool missing_removal_due_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_
