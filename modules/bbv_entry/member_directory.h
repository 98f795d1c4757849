#ifndef MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_
#define MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_

#include <functional>

#include "bbv_core/instant.h"
#include "bbv_entry/store_client.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Registers this entry at the store and reads the records of the others, by
// which entries discover each other.
//
// An entry writes its record at startup, and again after the store was restored
// from an older copy. It reads the other records at startup, when gossip names
// an unknown entry, and otherwise at long intervals. Thread safety: none, the
// loop's thread.
class MemberDirectory {
 public:
  // Called for each record read.
  using OnMember = std::function<void(const MemberRecord& record)>;
  // Called for each record read of the crash store; returns whether it is well
  // formed.
  using OnCrashRecord =
      std::function<bool(const platform::KeyedRecord& record)>;
  // Called after all records were read.
  using OnRead = std::function<void()>;

  MemberDirectory(StoreClient* store,
                  DecisionLog* log,
                  MemberRecord own,
                  OnMember on_member,
                  OnCrashRecord on_crash_record,
                  OnRead on_read);

  // Starts the write or read that is due. Entries with `is_relay` set read more
  // often.
  void OnTick(bool is_relay, bool has_unknown_members, Instant now);

  // Whether the records have been read at least once.
  bool was_read() const { return was_read_; }

 private:
  void Register(Instant now);
  void Read();

  StoreClient* store_;
  DecisionLog* log_;
  MemberRecord own_;
  OnMember on_member_;
  OnCrashRecord on_crash_record_;
  OnRead on_read_;
  bool registered_ = false;
  // Era of the store in which this entry's record was written.
  int64_t registered_era_ = 0;
  bool was_read_ = false;
  bool call_in_flight_ = false;
  Instant last_read_at_{};
  Instant next_call_at_{};
};

// Converts a member record to and from the message that is stored as its record
// and sent first on each connection. Thread safe.
wire::EntryHelloT ToMessage(const MemberRecord& record);
MemberRecord FromMessage(const wire::EntryHelloT& message);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_
