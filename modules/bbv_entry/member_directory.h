#ifndef MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_
#define MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_

#include <functional>

#include "bbv_core/instant.h"
#include "bbv_entry/store_client.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// The entries' records at the store, by which they find each other.
//
// An entry writes its record once. It reads the others' when it starts, when a
// relay tells of an entry that it does not know, and seldom otherwise.
// Thread safety: none, the loop's thread.
class MemberDirectory {
 public:
  // Called for each record that was read.
  using OnMember = std::function<void(const MemberRecord& record)>;
  // Called when all of them were read.
  using OnRead = std::function<void()>;

  MemberDirectory(StoreClient* store,
                  DecisionLog* log,
                  MemberRecord own,
                  OnMember on_member,
                  OnRead on_read);

  // Writes and reads what is due. `is_relay` entries read more often.
  void OnTick(bool is_relay, bool has_unknown_members, Instant now);

  // Whether the records have been read once.
  bool was_read() const { return was_read_; }

 private:
  void Register(Instant now);
  void Read();

  StoreClient* store_;
  DecisionLog* log_;
  MemberRecord own_;
  OnMember on_member_;
  OnRead on_read_;
  bool registered_ = false;
  // Era of the store in which the record was written.
  int64_t registered_era_ = 0;
  bool was_read_ = false;
  bool call_in_flight_ = false;
  Instant last_read_at_{};
  Instant next_call_at_{};
};

// A member as its record at the store holds it and as it greets others. Thread
// safe.
wire::EntryHelloT ToMessage(const MemberRecord& record);
MemberRecord FromMessage(const wire::EntryHelloT& message);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_MEMBER_DIRECTORY_H_
