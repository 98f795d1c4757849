#ifndef MODULES_BBV_ENTRY_CRASH_STORE_H_
#define MODULES_BBV_ENTRY_CRASH_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/store_client.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"
#include "platform/store_codec.h"

namespace bbv {

// Keeps the quarantines in force and the evidence for further ones at the
// store, for entries that start when no other entry is left to tell them.
//
// The records share the topic of the entries, which every entry reads at
// startup. One entry writes: a record for each quarantine, and one for each
// service in which a trait is accused by several crashes; their deletions when
// that ends. Thread safety: none, the loop's thread.
class CrashStore {
 public:
  // All must outlive this object.
  CrashStore(StoreClient* store, DecisionLog* log, CrashGuard* guard);

  // Whether a record with this key holds a quarantine or evidence.
  static bool IsKey(const std::string& key);

  // Passes what a record that was read holds to the guard. Returns false if it
  // is malformed. Precondition: IsKey() of its key.
  bool OnRecord(const platform::KeyedRecord& record, Instant now);

  // Writes what has changed if this entry `is_writer`, one record at a time.
  void OnTick(bool is_writer, Instant now);

 private:
  // Evidence as it was last written.
  struct StoredEvidence {
    std::string service;
    // CrashEvidence::revision() at that time; empty if another entry wrote it.
    std::optional<uint64_t> revision;
    Instant written_at{};
  };

  // Write one record that has changed; return whether there was one.
  bool WriteQuarantine(Instant now);
  bool WriteEvidence(Instant now);
  bool WriteEvidenceOf(const std::string& service,
                       const CrashEvidence& evidence,
                       Instant now);
  // Writes a record, or deletes it if `notice` is empty. `on_stored` is called
  // if the store has accepted it.
  void Write(const std::string& key,
             std::optional<wire::CrashNoticeT> notice,
             std::function<void()> on_stored);

  StoreClient* store_;
  DecisionLog* log_;
  CrashGuard* guard_;
  // Keys of the records at the store, and its era when they were there.
  std::set<std::string> stored_quarantines_;
  std::map<std::string, StoredEvidence> stored_evidence_;
  // By service: revision of evidence of which nothing is worth keeping.
  std::map<std::string, uint64_t> unkept_revisions_;
  int64_t era_ = 0;
  bool call_in_flight_ = false;
  Instant next_call_at_{};
  Instant next_evidence_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CRASH_STORE_H_
