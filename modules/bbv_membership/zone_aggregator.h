#ifndef MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_
#define MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_

#include <cstddef>
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

// Aggregates the states that the entries of a zone send to its relay.
//
// Only the latest state of each entry counts. The load of an entry that timed
// out is dropped; its retry spending counts until it has left the window of the
// retry budget, since the retries may have been sent. Deterministic; reads no
// clock. Thread safety: none, owned by one thread.
class ZoneAggregator {
 public:
  // Limit on the claims on one target's rate limit in a digest.
  static constexpr std::size_t kMaxClaimsPerTarget = 16;

  // `retry_window` is the window of the retry budget.
  explicit ZoneAggregator(Milliseconds retry_window);

  // Replaces the state of the entry whose short hash is `member`.
  void RecordState(uint32_t member, wire::EntryStateT state, Instant now);

  // Returns the sums over the entries heard from recently, along with the
  // entries included. Each engine report is returned only once, by the first
  // call after it arrived.
  wire::ZoneDigestT Summarize(Instant now);

  // Discards the engine reports. Used while another entry is the relay and
  // forwards them.
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

// Returns the MemberFlag bits of `state`. Thread safe.
uint32_t ToMemberFlags(const wire::EntryStateT& state);

// Subtracts the state of one entry from the sums of a zone, row by row; results
// below zero are clamped to zero. Thread safe.
void SubtractState(const wire::EntryStateT& part, wire::ZoneDigestT* sums);

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_ZONE_AGGREGATOR_H_
