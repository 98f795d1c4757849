#ifndef MODULES_BBV_FLEET_TARGET_LOSS_DETECTOR_H_
#define MODULES_BBV_FLEET_TARGET_LOSS_DETECTOR_H_

#include <map>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_fleet/target_registry.h"

namespace bbv {

// Detects targets that the layer planner must do without.
//
// A lost target stays in the target list for seconds. Layers that its loss left
// with a single holder must be replicated before the next loss, so the time of
// a loss is the time at which the target became unusable, not the time at which
// the list is updated. Deterministic. Not thread-safe; must be used from one
// thread.
class TargetLossDetector {
 public:
  // Records whether `target` is usable. Returns whether planning must exclude
  // it: it is leaving, or has been unusable for longer than a transient pause.
  bool IsLost(const std::string& id,
              const FleetTarget& target,
              bool usable,
              Instant now);

  // Removes the state of targets that are no longer listed.
  void RemoveUnlisted(const TargetRegistry& registry);

  // Returns the time at which a target last became unusable.
  Instant last_loss() const { return last_loss_; }

 private:
  // Time at which each unusable target became unusable, by target id.
  std::map<std::string, Instant> unusable_since_;
  Instant last_loss_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_LOSS_DETECTOR_H_
