#ifndef MODULES_BBV_ENTRY_CRASH_GUARD_H_
#define MODULES_BBV_ENTRY_CRASH_GUARD_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/listen_checker.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// A call as far as it matters for what crashes targets. Refers to its owner.
struct GuardedCall {
  const std::string& service;
  const std::string& attempt_id;
  const CallTraits& traits;
};

// Keeps calls that crash their targets away from further targets: connects the
// crash detector, the evidence and the quarantines with the calls of this entry
// and with the other entries.
//
// Thread safety: none, the loop's thread.
class CrashGuard {
 public:
  // Sends a notice to the other entries.
  using Announce = std::function<void(wire::CrashNoticeT notice, Instant now)>;

  // All arguments must outlive this object.
  CrashGuard(EventLoop* loop,
             DecisionLog* log,
             TargetRegistry* registry,
             Announce announce);

  // Whether this entry lets the probes of quarantined calls through, and the
  // number of entries. Set on every tick.
  void SetRole(bool is_prober, int entries);

  // Returns why a call must not be sent, or nullopt. `is_repeat` if it was sent
  // before.
  std::optional<CallEndReason> FindObstacle(const GuardedCall& call,
                                            bool is_repeat,
                                            Instant now);

  // Whether an open call is quarantined; false for the call that is let through
  // as a probe.
  bool IsQuarantined(const GuardedCall& call) const;

  // Returns the quarantine that applies to the call, or nullptr. Valid until
  // the next call of another method.
  const QuarantineRow* FindQuarantine(const GuardedCall& call) const;

  // Handles the end of a connection under a call that was sent to `target_id`
  // at `sent_at`.
  void OnCallBroken(const GuardedCall& call,
                    const std::string& target_id,
                    Instant sent_at,
                    bool began_output,
                    Instant now);

  // Handles a call whose target has begun to write its answer and has gone on.
  void OnOutput(const GuardedCall& call, Instant now);

  void OnTick(Instant now);

  // Whether a quarantine has begun since the last call.
  bool TakeNewQuarantine();

  // Handles news of another entry; returns whether any of it was new. Announces
  // nothing itself: verdicts on it follow on the next tick.
  bool OnNotice(const wire::CrashNoticeT& notice, Instant now);
  void OnQuarantines(const std::vector<wire::QuarantinedPartsT>& quarantines,
                     Instant now);

  // Returns all quarantines if they are due to be sent again, otherwise
  // nothing.
  std::vector<wire::QuarantinedPartsT> TakeDueQuarantines(Instant now);

  // Adds the evidence of a crash that the entries had kept when all of them
  // ended. Announces nothing.
  void RestoreCrash(const std::string& service,
                    const CrashReport& report,
                    Instant now);

  const CallQuarantine& quarantine() const { return quarantine_; }
  // By service.
  const std::map<std::string, CrashEvidence>& evidence() const {
    return evidence_;
  }

 private:
  // A crash that would be withdrawn if its target turned out to be alive.
  struct RecentCrash {
    std::string service;
    Instant crashed_at{};
    int64_t heartbeat = 0;
  };

  // Whether so many crashes accuse a trait of the call that it is not repeated.
  bool IsSuspect(const GuardedCall& call) const;
  void CheckTarget(const FleetTarget& target, Instant now);
  void OnCrash(const TargetCrash& crash, Instant now);
  // Adds a crash to the evidence; returns whether it was new.
  bool AddCrash(const std::string& service,
                const CrashReport& report,
                Instant now);
  // Adds a crash to the evidence alone; returns whether it was new.
  bool AddEvidence(const std::string& service, const CrashReport& report);
  void RenewFailedProbes(const std::string& service,
                         const CrashReport& report,
                         Instant now);
  void WithdrawDisprovedCrashes(Instant now);
  void QuarantineDeadlyTraits(Instant now);
  // Takes over a quarantine of another entry; returns whether it changed here.
  bool MergeQuarantine(const wire::QuarantinedPartsT& message, Instant now);
  void LogQuarantine(const QuarantineRow& row,
                     std::string_view from,
                     Instant now);
  std::vector<wire::QuarantinedPartsT> EncodeRows(Instant now) const;

  DecisionLog* log_;
  TargetRegistry* registry_;
  Announce announce_;
  ListenChecker listen_checker_;
  CrashDetector crash_detector_;
  std::map<std::string, CrashEvidence> evidence_;
  CallQuarantine quarantine_;
  std::map<CrashKey, RecentCrash> recent_crashes_;
  bool is_prober_ = false;
  // Id of the call that was let through last.
  std::string probe_call_;
  bool has_new_quarantine_ = false;
  Instant next_share_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CRASH_GUARD_H_
