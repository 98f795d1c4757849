#ifndef MODULES_BBV_FLEET_LOSS_WATCH_H_
#define MODULES_BBV_FLEET_LOSS_WATCH_H_

#include <map>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_fleet/target_board.h"

namespace bbv {

// Tells since when targets have not done their part, for planning.
//
// Answers losses that come one after the other: a lost target stays listed for
// seconds, while what its loss left held once is to be doubled again. Only the
// loss itself counts as a change, not the time until the list tells of it.
// Deterministic. Thread safety: none, owned by one thread.
class TargetLossDetector {
 public:
  // Notes whether `target` is usable. Returns whether planning does without it:
  // it leaves, or has been unusable for a time that no pause lasts.
  bool IsLost(const std::string& id,
              const FleetTarget& target,
              bool usable,
              Instant now);

  // Forgets targets that are no longer listed.
  void ForgetUnlisted(const TargetBoard& board);

  // When a target was last lost.
  Instant last_loss() const { return last_loss_; }

 private:
  // Since when a target has not been usable.
  std::map<std::string, Instant> missing_since_;
  Instant last_loss_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LOSS_WATCH_H_
