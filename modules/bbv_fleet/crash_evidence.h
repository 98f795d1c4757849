#ifndef MODULES_BBV_FLEET_CRASH_EVIDENCE_H_
#define MODULES_BBV_FLEET_CRASH_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_fleet/crash_detector.h"

namespace bbv {

// Identifies one end of a target's process across all entries.
struct CrashKey {
  // Short hash of the target's id.
  uint32_t target = 0;
  int64_t started_unix_ms = 0;

  bool operator==(const CrashKey&) const = default;
  bool operator<(const CrashKey& other) const {
    return std::tie(target, started_unix_ms) <
           std::tie(other.target, other.started_unix_ms);
  }
};

// What one entry saw of a crash, or what all entries knew of it earlier.
struct CrashReport {
  CrashKey key;
  Instant crashed_at{};
  std::vector<CrashSuspect> suspects;
  // Calls without output that the crash ended, in addition to the suspects'.
  std::vector<uint32_t> silent_calls = {};
  // Calls of all entries that had output between the crash and the report.
  double outputs_since = 0;
};

// Traits by which a call that has all of them crashes every target that begins
// to write its answer. Usually one; more as long as the evidence does not
// separate them.
struct DeadlyTraits {
  // In ascending order.
  std::vector<uint64_t> traits;
  int crashes = 0;
};

// Finds the traits of calls that crash the targets of one service.
//
// A crash accuses the traits of the calls that had no output yet when it
// happened. Most of these are there by chance, so a trait is held to be deadly
// only when
//  - it is accused by several independent crashes: each time by a call that was
//    sent after the crash before, and not always by the same call;
//  - no call with the trait has had output since the first of them, at any
//    entry, as a deadly trait leaves none;
//  - a sound trait would hardly show the same: however popular it is, it either
//    has output among that of all calls since then, or is rarely under way
//    without output when a target crashes. A whole request that comes several
//    times at once is weighed by each target that it was at, and by two of its
//    copies where more were at one target; a part only by independent crashes;
//  - no other explanation is as good: traits accused by exactly the same
//  crashes
//    are deadly together, and rivals accused by some of them delay the verdict
//    by one crash.
// Machines that fail one after the other therefore accuse a popular trait in
// vain: calls with it have output in between.
//
// Memory is bounded, also with callers that send ever new traits.
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class CrashEvidence {
 public:
  // Adds what an entry saw of a crash. Returns whether any of it was new.
  bool AddCrash(const CrashReport& report);

  // Withdraws the accusations of a crash: the target turned out to be alive.
  void WithdrawCrash(const CrashKey& key);

  // Records that a call of this entry with these traits had output.
  // Returns those of them that were accused and are cleared by it, for the
  // other entries.
  std::vector<uint64_t> RecordOutput(const std::vector<uint64_t>& traits);

  // Clears a trait that had output at another entry. Returns whether it was
  // accused.
  bool ClearTrait(uint64_t trait);

  // Returns the number of independent crashes that accuse `trait`.
  int CrashCount(uint64_t trait) const;

  // Returns the crashes that accuse a trait which several successive crashes
  // accuse, perhaps by one call, and the other crashes since the first of them,
  // at most the latest kMaxKeptCrashes. Another process that adds them comes to
  // the same verdicts. Empty while no trait is accused several times.
  std::vector<CrashReport> KeptCrashes() const;
  static constexpr std::size_t kMaxKeptCrashes = 32;

  // Changes whenever the accusations change.
  uint64_t revision() const { return revision_; }

  // Returns traits that are deadly by the present evidence, or nullopt if there
  // are no more. The same traits are returned once, until one of them is
  // cleared.
  std::optional<DeadlyTraits> TakeDeadlyTraits();

  // Forgets accusations that are too old; call often.
  void OnTick(Instant now);

  // Sets the number of entries, of whose output this one sees its trait only.
  void SetEntries(int entries) { entries_ = entries; }

  // Number of accused traits.
  std::size_t size() const { return accusations_.size(); }

 private:
  struct Accusation {
    CrashKey key;
    Instant crashed_at{};
    // When the call was sent to the target, and the short hash of its id.
    Instant sent_at{};
    uint32_t call = 0;
    // Value of `outputs_` when the accusation arrived.
    double outputs_before = 0;
    // The calls with the trait that the crash ended.
    std::set<uint32_t> copies;
  };
  // The calls that a crash ended before they had output.
  struct SilentCalls {
    Instant crashed_at{};
    std::set<uint32_t> calls;
  };
  using Accusations = std::vector<Accusation>;
  // A crash that accuses a trait, and how many calls with it count.
  struct Draw {
    CrashKey key;
    int copies = 1;
  };
  struct Candidate {
    uint64_t trait = 0;
    // Keys of its independent crashes, in the order of their times.
    std::vector<CrashKey> crashes;
  };

  // Adds an accusation of one call; returns whether it was new.
  bool Accuse(uint64_t trait, const Accusation& accusation);
  // Adds an accusation to `known`, of the same trait and crash; returns whether
  // it was new.
  static bool MergeAccusation(const Accusation& accusation, Accusation* known);
  // Removes the accusations for which `predicate(trait, accusation)` holds.
  template <typename Predicate>
  void RemoveAccusations(Predicate predicate);
  // Adds a suspect for each copy of a call with `trait` to the reports of the
  // crashes that accuse it.
  static void AddSuspects(uint64_t trait,
                          const Accusations& accusations,
                          double outputs,
                          std::map<CrashKey, CrashReport>* reports);
  // Returns the crashes whose call was sent after the one before, or at most
  // `tolerance` earlier, in the order of their times.
  static Accusations SuccessiveCrashes(const Accusations& accusations,
                                       Milliseconds tolerance);
  // Returns the keys of independent crashes, in the order of their times, or
  // nothing if the same call is behind all of them.
  static std::vector<CrashKey> IndependentCrashes(
      const Accusations& accusations);
  // Returns the draws by which a trait is weighed: all crashes for a whole
  // request, otherwise the `independent` ones, in the order of their times.
  static std::vector<Draw> MakeDraws(uint64_t trait,
                                     const Accusations& accusations,
                                     const std::vector<CrashKey>& independent);
  static std::size_t CountCopies(const std::vector<Draw>& draws);
  // Returns the traits that are hardly sound, most crashes first.
  std::vector<Candidate> FindCandidates() const;
  // Returns how probable it is at most that a sound trait with these
  // accusations is accused by as many of the known crashes as `draws`, those
  // of its accusations that count, each time by as many calls, and has had no
  // output since, if at most the share `max_popularity` of all calls has it.
  double ChanceIfSound(const Accusations& accusations,
                       const std::vector<Draw>& draws,
                       double max_popularity) const;
  // Whether another candidate has as many crashes and shares some with `best`.
  bool HasRival(const std::vector<Candidate>& candidates,
                const Candidate& best) const;
  static bool IsAccusedBy(const Accusations& accusations, const CrashKey& key);
  bool IsAccusedByAll(uint64_t trait, const std::vector<CrashKey>& keys) const;
  // Returns the traits accused by all of these crashes, in ascending order.
  std::vector<uint64_t> TraitsAccusedByAll(
      const std::vector<CrashKey>& keys) const;
  // Removes the accusations against other traits by crashes that accuse all of
  // `traits`.
  void RemoveExplained(const std::vector<uint64_t>& traits);
  void LimitMemory();

  // By trait; ordered by time within a trait.
  std::unordered_map<uint64_t, Accusations> accusations_;
  // Sets of traits that were returned as deadly.
  std::set<std::vector<uint64_t>> verdicts_;
  // Whether there may be a verdict that was not returned yet.
  bool has_news_ = false;
  uint64_t revision_ = 0;
  std::map<CrashKey, SilentCalls> silent_calls_;
  // Calls of all entries that had output, as estimated from those of this one.
  double outputs_ = 0;
  int entries_ = 1;
  Instant next_expiry_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CRASH_EVIDENCE_H_
