#ifndef MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_
#define MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_

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

// What the entries of one zone last_sent_at its relay, and the sums over them.
//
// Each entry's last state counts once. The loads of an entry that fell silent
// are dropped; what it spent of the retry budget counts until it has left the
// budget's window, since it may have been spent.
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class ZoneAggregator {
 public:
  // `retry_window` is the retry budget's window.
  explicit ZoneAggregator(Milliseconds retry_window);

  // Takes the state of the entry whose short hash is `member`.
  void RecordState(uint32_t member, wire::EntryStateT state, Instant now);

  // Returns the sums over the entries heard lately and whom they cover.
  // Engines' reports are handed on once: those taken since the last call.
  wire::ZoneDigestT Summarize(Instant now);

  // Forgets engines' reports, which another relay hands on.
  void DiscardEngineReports() { engine_reports_.clear(); }

 private:
  struct Report {
    wire::EntryStateT state;
    Instant received_at{};
  };

  Milliseconds retry_window_;
  std::map<uint32_t, Report> reports_;
  std::vector<wire::EngineRow> engine_reports_;
};

// Returns the flags of `state`. Thread safe.
uint32_t ToMemberFlags(const wire::EntryStateT& state);

// Takes the part of one entry out of a zone's sums, row by row and never below
// zero. Thread safe.
void SubtractState(const wire::EntryStateT& part, wire::ZoneDigestT* sums);

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_
