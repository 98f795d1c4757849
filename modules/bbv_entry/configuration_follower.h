#ifndef MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_
#define MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_

#include <cstddef>
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

// Holds the latest configuration; its version never decreases.
//
// The reader entries of an availability zone read the configuration from the
// store and long-poll for the next one. The zone's first reader sends what it
// has read to the other entries. An entry that learns of a newer version and
// does not receive it in time reads the store itself. Thread safety: none, the
// loop's thread.
class ConfigurationFollower {
 public:
  // Called after each newer configuration read from the store.
  using OnRead = std::function<void()>;

  ConfigurationFollower(StoreClient* store, DecisionLog* log, OnRead on_read);

  // Starts the next store call when one is due. `reader_rank` is this entry's
  // rank among its zone's readers; `jitter_seed` staggers entries that have to
  // read at the same time.
  void OnTick(std::size_t reader_rank, uint64_t jitter_seed, Instant now);

  // Applies `text` if it decodes to a newer configuration. Returns whether it
  // was applied.
  bool Apply(std::string_view text, std::string_view source, Instant now);

  // Notes that another entry uses configuration `version`.
  void OnPeerVersion(uint64_t version, Instant now);

  const std::shared_ptr<FleetIndex>& current() const { return current_; }
  // Version in use; 0 before the first configuration.
  uint64_t version() const;
  // When the current configuration was applied.
  Instant applied_at() const { return applied_at_; }
  // Source text of the current configuration; empty before the first.
  const std::string& text() const { return text_; }

 private:
  bool IsBehind(uint64_t jitter_seed, Instant now) const;
  void ApplyRead(std::string_view text);
  void ReadNewest();
  // Waits up to `wait` for the next records.
  void WaitForNext(Milliseconds wait, Instant now);
  // Ignores the answer of the long poll in flight; the next call uses a new
  // connection.
  void AbandonWait();
  void OnReadFailed();

  StoreClient* store_;
  DecisionLog* log_;
  OnRead on_read_;
  std::shared_ptr<FleetIndex> current_;
  std::string text_;
  Instant applied_at_{};
  bool call_in_flight_ = false;
  // Number of the last long poll, and until when the store may hold the one in
  // flight.
  uint64_t wait_ = 0;
  std::optional<Instant> wait_end_;
  bool has_position_ = false;
  StorePosition read_position_;
  Instant next_call_at_{};
  Instant next_initial_read_{};
  // Since when another entry has had a newer version.
  std::optional<Instant> behind_since_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CONFIGURATION_FOLLOWER_H_
