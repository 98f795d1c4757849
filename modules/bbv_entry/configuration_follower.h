#ifndef MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_
#define MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_entry/store_client.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Keeps the newest configuration. Goes only forwards.
//
// The zone's readers read it from the store and wait there for the next. The
// other entries are handed what a reader has read; one that hears of a newer
// version and is not handed it soon reads the store itself.
// Thread safety: none, the loop's thread.
class ConfigurationFollower {
 public:
  // Called for each configuration that came from the store.
  using OnRead = std::function<void()>;

  ConfigurationFollower(StoreClient* store, DecisionLog* log, OnRead on_read);

  // Begins or goes on with whatever is due. `is_reader` says whether this entry
  // reads for its zone; `jitter_seed` spreads entries that must read at once.
  void OnTick(bool is_reader, uint64_t jitter_seed, Instant now);

  // Applies `text` when it is a newer configuration. Returns whether it was.
  bool Apply(std::string_view text, std::string_view source, Instant now);

  // Another entry has the configuration of `version` in force.
  void OnPeerVersion(uint64_t version, Instant now);

  const std::shared_ptr<FleetIndex>& current() const { return current_; }
  // Version in force; 0 before the first.
  uint64_t version() const;
  // When it was applied.
  Instant applied_at() const { return applied_at_; }
  // The newest configuration as it was written; empty before the first.
  const std::string& text() const { return text_; }

 private:
  bool IsBehind(uint64_t jitter_seed, Instant now) const;
  void ApplyRead(std::string_view text);
  void ReadNewest();
  void WaitForNext();
  void OnReadFailed();

  StoreClient* store_;
  DecisionLog* log_;
  OnRead on_read_;
  std::shared_ptr<FleetIndex> current_;
  std::string text_;
  Instant applied_at_{};
  bool call_in_flight_ = false;
  bool has_position_ = false;
  StorePosition read_position_;
  Instant next_call_at_{};
  Instant next_initial_read_{};
  // Since when another entry has had a newer one.
  std::optional<Instant> behind_since_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_
