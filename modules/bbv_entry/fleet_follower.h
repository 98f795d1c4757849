#ifndef MODULES_BBV_ENTRY_FLEET_FOLLOWER_H_
#define MODULES_BBV_ENTRY_FLEET_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bbv_entry/store_client.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Keeps the newest configuration: reads it from the store, waits there for the
// next, and takes what peers hand on. Goes only forwards.
//
// Thread safety: none, the loop's thread.
class ConfigurationFollower {
 public:
  ConfigurationFollower(StoreClient* store, DecisionLog* log);

  // Begins or goes on with whatever is due.
  void OnTick(Instant now);

  // Applies `text` when it is a newer configuration. Returns whether it was.
  bool Take(std::string_view text, std::string_view source, Instant now);

  const std::shared_ptr<FleetIndex>& current() const { return current_; }
  // When it was applied.
  Instant applied_at() const { return applied_at_; }
  // The newest configuration as it was written; empty before the first.
  const std::string& text() const { return text_; }

 private:
  void ReadNewest();
  void WaitForNext();
  void Failed();

  StoreClient* store_;
  DecisionLog* log_;
  std::shared_ptr<FleetIndex> current_;
  std::string text_;
  Instant applied_at_{};
  bool calling_ = false;
  bool positioned_ = false;
  int64_t next_offset_ = 0;
  Instant not_before_{};
};

// Keeps the target board as the store lists it, read in batches.
//
// Thread safety: none, the loop's thread.
class TargetFollower {
 public:
  TargetFollower(StoreClient* store, DecisionLog* log, TargetBoard* board);

  void OnTick(Instant now);

  // Sets the pause between two reads: each is a call.
  void SetPause(Milliseconds pause) { pause_ = pause; }

  // Whether a whole list has been read once.
  bool complete() const { return complete_; }

  // When a target was last seen for the first time.
  Instant last_new_target() const { return last_new_target_; }

 private:
  void ReadNewest(const std::string& after_key);
  void ReadOn();
  void TakeRecord(const platform::KeyedRecord& record, Instant now);
  void Failed();
  void RemoveMissing(Instant now);

  StoreClient* store_;
  DecisionLog* log_;
  TargetBoard* board_;
  bool calling_ = false;
  bool positioned_ = false;
  bool complete_ = false;
  int64_t next_offset_ = 0;
  Instant not_before_{};
  Instant last_new_target_{};
  Milliseconds pause_{350};
  // Since when the list has been read without a gap; entries that were not
  // renewed since then are gone once the grace has passed.
  Instant list_began_{};
  bool must_remove_missing_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FLEET_FOLLOWER_H_
