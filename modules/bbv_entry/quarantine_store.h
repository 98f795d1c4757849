#ifndef MODULES_BBV_ENTRY_QUARANTINE_STORE_H_
#define MODULES_BBV_ENTRY_QUARANTINE_STORE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_entry/store_client.h"
#include "bbv_fleet/call_quarantine.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"
#include "platform/store_codec.h"

namespace bbv {

// Keeps the quarantines in force at the store, for entries that start when no
// other entry is left to tell them.
//
// Their records share the topic of the entries, which every entry reads at
// startup. One entry writes: a record when a quarantine begins, its deletion
// when it ends. Thread safety: none, the loop's thread.
class QuarantineStore {
 public:
  // Both must outlive this object.
  QuarantineStore(StoreClient* store, DecisionLog* log);

  // Whether a record with this key holds a quarantine.
  static bool IsKey(const std::string& key);

  // Returns the quarantine in a record that was read, or nullopt if it holds
  // none. Precondition: IsKey() of its key.
  std::optional<wire::QuarantinedPartsT> OnRecord(
      const platform::KeyedRecord& record);

  // Writes what has changed if this entry `is_writer`, one record at a time.
  void OnTick(const CallQuarantine& quarantine, bool is_writer, Instant now);

 private:
  void Write(const QuarantineRow& row, const std::string& key, Instant now);

  StoreClient* store_;
  DecisionLog* log_;
  // Keys of the records at the store, and its era when they were there.
  std::set<std::string> stored_;
  int64_t era_ = 0;
  bool call_in_flight_ = false;
  Instant next_call_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_QUARANTINE_STORE_H_
