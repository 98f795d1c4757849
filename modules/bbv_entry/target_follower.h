#ifndef MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_
#define MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

#include "bbv_entry/store_client.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Keeps the target registry in step with the target list at the store.
//
// The first reader of an availability zone long-polls the store for changes and
// sends the result of each read to the other entries; ReadSchedule decides when
// another entry reads. Store positions show which of two reads is newer.
// Thread safety: none, the loop's thread.
class TargetFollower {
 public:
  // Called with the changes found by a read of this entry.
  using OnRead = std::function<void(wire::TargetListDeltaT delta)>;

  // `leave_within` is the time within which entries must stop sending calls to
  // a leaving target.
  TargetFollower(StoreClient* store,
                 DecisionLog* log,
                 TargetRegistry* registry,
                 Milliseconds leave_within,
                 OnRead on_read);

  // `rank` is this entry's rank among its zone's readers; `jitter_seed`
  // staggers entries that have to read at the same time.
  void OnTick(std::size_t rank, uint64_t jitter_seed, Instant now);

  // Sets the services that the configuration names; see TargetRegistry.
  void SetServices(std::set<std::string, std::less<>> services, Instant now);

  // Applies the changes read by another entry of the zone.
  void ApplyDelta(const wire::TargetListDeltaT& delta, Instant now);

  // Whether the whole list has been received at least once.
  bool complete() const { return complete_; }

  // Number of different records, of the list or of peers, that named no target.
  uint64_t rejected_records() const { return rejected_records_; }

  // When a previously unknown target was last listed.
  Instant last_new_target() const { return last_new_target_; }

 private:
  void ReadNewest(const std::string& after_key);
  // Reads the records after the current position; the store waits up to `wait`
  // for new ones.
  void ReadNext(Milliseconds wait);
  // Applies a record that this entry has read, and adds it to the delta for the
  // others.
  void ApplyReadRecord(const platform::KeyedRecord& record, Instant now);
  void ApplyRecord(const TargetRecord& record, Instant now);
  // Logs and counts a record that names no target, once per content.
  void LogRejected(const std::string& id, std::string_view value, Instant now);
  void RemoveTarget(const std::string& id, Instant now);
  void FinishRead(int64_t to, Instant now);
  void StartMissingTargetGrace(Instant read_at);
  // Returns whether `era` is the era of the known position. Otherwise the read
  // fails; a later era additionally triggers an immediate read of the whole
  // list.
  bool AcceptEra(int64_t era);
  void OnReadFailed();
  void RemoveMissingTargets(Instant now);

  StoreClient* store_;
  DecisionLog* log_;
  TargetRegistry* registry_;
  OnRead on_read_;
  ReadSchedule schedule_;
  std::size_t rank_ = 0;
  bool call_in_flight_ = false;
  bool has_position_ = false;
  bool complete_ = false;
  // Position up to which the list is known, from this entry's reads and those
  // of others.
  StorePosition known_position_;
  Instant next_call_at_{};
  // Set when this entry missed a delta and has to read the store.
  std::optional<Instant> catch_up_at_;
  Instant last_new_target_{};
  // The read in flight: start time, first offset and results.
  Instant read_began_{};
  int64_t read_from_ = 0;
  // Era of the store in which the read in flight began.
  int64_t read_era_ = 0;
  bool is_full_read_ = false;
  std::map<std::string, TargetRecord> read_changes_;
  std::map<std::string, bool> read_removals_;
  std::map<uint32_t, int64_t> read_heartbeats_;
  // Hashes of the rejected records that were logged.
  std::unordered_set<uint64_t> rejected_;
  uint64_t rejected_records_ = 0;
  // Start of the period in which the list was read without a gap. Targets that
  // were not renewed since then are removed after kListRecoveryTime.
  Instant continuous_since_{};
  bool missing_removal_due_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_FOLLOWER_H_
