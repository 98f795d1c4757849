#ifndef MODULES_BBV_ENTRY_CRASH_GUARD_H_
#define MODULES_BBV_ENTRY_CRASH_GUARD_H_

#include <string>

#include "bbv_entry/listen_checker.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_observe/decision_log.h"

namespace bbv {

// Watches for calls that crash their targets: connects the crash detector with
// the calls and the targets of this entry.
//
// Thread safety: none, the loop's thread.
class CrashGuard {
 public:
  // All arguments must outlive this object.
  CrashGuard(EventLoop* loop, DecisionLog* log, const TargetRegistry* registry);

  // Handles the end of a connection under a call that was sent to `target_id`
  // at `sent_at`.
  void OnCallBroken(const CallRequest& request,
                    const std::string& target_id,
                    Instant sent_at,
                    bool began_output,
                    Instant now);

  void OnTick(Instant now);

 private:
  void CheckTarget(const FleetTarget& target, Instant now);
  void OnCrash(const TargetCrash& crash, Instant now);

  DecisionLog* log_;
  const TargetRegistry* registry_;
  ListenChecker listen_checker_;
  CrashDetector crash_detector_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CRASH_GUARD_H_
