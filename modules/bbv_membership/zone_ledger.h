#ifndef MODULES_BBV_MEMBERSHIP_ZONE_LEDGER_H_
#define MODULES_BBV_MEMBERSHIP_ZONE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Bits of wire::MemberRow::flags.
enum class MemberFlag : uint32_t {
  kPlans = 1,
  kLeaving = 2,
  kReadsStore = 4,
};

// What the entries of one zone told its relay, and the sums over them.
//
// Each entry's last state counts once. The loads of an entry that fell silent
// are dropped; what it spent of the retry budget counts until it has left the
// budget's window, since it may have been spent.
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class ZoneLedger {
 public:
  // `spending_lifetime` is the retry budget's window.
  explicit ZoneLedger(Milliseconds spending_lifetime);

  // Takes the state of the entry whose short hash is `member`.
  void Take(uint32_t member, wire::EntryStateT state, Instant now);

  // Returns the sums over the entries heard lately and whom they cover.
  // Engines' reports are handed on once: those taken since the last call.
  wire::ZoneDigestT Sum(Instant now);

  // Forgets engines' reports, which another relay hands on.
  void DropReports() { engines_.clear(); }

 private:
  struct Account {
    wire::EntryStateT state;
    Instant taken_at{};
  };

  Milliseconds spending_lifetime_;
  std::map<uint32_t, Account> accounts_;
  std::vector<wire::EngineRow> engines_;
};

// Returns the flags of `state`. Thread safe.
uint32_t FlagsOf(const wire::EntryStateT& state);

// Takes the part of one entry out of a zone's sums, row by row and never below
// zero. Thread safe.
void SubtractState(const wire::EntryStateT& part, wire::ZoneDigestT* sums);

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_ZONE_LEDGER_H_
