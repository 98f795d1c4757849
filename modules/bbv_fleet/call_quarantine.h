#ifndef MODULES_BBV_FLEET_CALL_QUARANTINE_H_
#define MODULES_BBV_FLEET_CALL_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// A quarantine of the calls of a service that have all of some traits, because
// such calls crash their targets.
struct QuarantineRow {
  std::string service;
  // In ascending order; not empty.
  std::vector<uint64_t> traits;
  // Independent crashes that led to the quarantine.
  int crashes = 0;
  Instant since{};
  // From when one call may be let through, to see whether it still crashes its
  // target, and how many such probes did.
  Instant probe_at{};
  int failed_probes = 0;
  // When an entry last refused a call by it.
  Instant last_refused{};
  // Rises with every change; of two versions of a row the higher one counts.
  uint32_t version = 0;
  // Whether the quarantine has ended. The row is kept for a while, so that
  // entries that were cut off do not bring the quarantine back.
  bool lifted = false;
  Instant lifted_at{};
};

// What becomes of a call with regard to the quarantines.
enum class QuarantineDecision : uint8_t { kAllowed, kProbe, kRefused };

// The quarantines in force. Entries exchange rows and merge them, so that all
// come to the same table whatever messages were lost.
//
// A quarantine ends without an operator: one entry, the prober, lets a single
// call through at `probe_at`. Output lifts the quarantine; a crash renews it
// for ten times as long, a day at most. So the whole fleet spends one target on
// each probe, and a sound trait is served again after a minute. Rows that no
// entry has needed for a day are lifted too.
//
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class CallQuarantine {
 public:
  // Starts a quarantine. Wider ones, which name more traits than these, are
  // lifted. Returns false if these traits or fewer are quarantined already.
  bool Add(const std::string& service,
           const std::vector<uint64_t>& traits,
           int crashes,
           Instant now);

  // Decides on a call with these traits that is about to be sent.
  // `may_probe` is set at the prober. A refusal counts as use of the row.
  QuarantineDecision Decide(const std::string& service,
                            const std::vector<uint64_t>& call_traits,
                            bool may_probe,
                            Instant now);

  // Returns the row that quarantines a call with these traits, or nullptr.
  const QuarantineRow* Find(const std::string& service,
                            const std::vector<uint64_t>& call_traits) const;

  // Records that a call with these traits had output: lifts the rows that name
  // no other traits. Returns whether there were any.
  bool RecordOutput(const std::string& service,
                    const std::vector<uint64_t>& call_traits,
                    Instant now);

  // Records that a call with these traits, sent at `sent_at`, was without
  // output when its target crashed. Returns whether it was a probe: its row is
  // renewed.
  bool RecordCrash(const std::string& service,
                   const std::vector<uint64_t>& call_traits,
                   Instant sent_at,
                   Instant now);

  // Takes over a row of another entry if it is newer. Returns whether this
  // started or ended a quarantine here.
  bool Merge(const QuarantineRow& row, Instant now);

  // Lifts rows that are not needed any more and drops old lifted ones.
  void OnTick(Instant now);

  // All rows, lifted ones included.
  std::vector<QuarantineRow> Rows() const;

  // Number of quarantines in force.
  int active() const;

 private:
  using Key = std::pair<std::string, std::vector<uint64_t>>;

  QuarantineRow* FindActive(const std::string& service,
                            const std::vector<uint64_t>& call_traits);
  void Lift(QuarantineRow* row, Instant now);
  // Makes room for one more row.
  void LimitRows(Instant now);

  std::map<Key, QuarantineRow> rows_;
  // Until when the call that was let through may show a result, by row.
  std::map<Key, Instant> probe_deadlines_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CALL_QUARANTINE_H_
