#ifndef MODULES_BBV_FLEET_LAYER_REPLICATOR_H_
#define MODULES_BBV_FLEET_LAYER_REPLICATOR_H_

#include <optional>
#include <vector>

#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/layer_planner.h"

namespace bbv {

// Decides which targets replicate layers of their neighbours.
//
// If two targets of a zone hold each layer, a call continues in its zone
// immediately after the loss of one target, without loading layers first.
// Memory for the typical number of requests of a zone is reserved: about a
// third to a half of what one copy of the model leaves. After repairs some
// targets hold more layers than that allows. Their neighbours then replicate
// part of these layers, and the overcommitted targets drop them afterwards.
//
// A zone with memory for several whole copies forms parallel chains instead,
// see ChainPartition.
//
// A pure function of its arguments. Thread-safe.
class LayerReplicator {
 public:
  // Partitions all layers over `members`, the targets of one zone that hold no
  // layers yet: in parallel chains if they fit, otherwise so that as few
  // targets as possible are the sole holder of a layer. Returns their ranges in
  // the same order, or nullopt if there is not enough memory to replicate any
  // layer.
  static std::optional<std::vector<LayerRange>> PartitionEmptyZone(
      const EngineModel& model,
      const std::vector<PlannerTarget>& members);

  // Returns at most `max_changes` placements, for the engines of one service,
  // that replicate layers or drop replicated ones. The last target of a zone
  // that holds a layer never drops it. Only zones that hold every layer are
  // changed. Precondition: no order is in progress, so that `targets` states
  // what each target actually holds.
  static std::vector<Placement> Plan(const EngineModel& model,
                                     const std::vector<PlannerTarget>& targets,
                                     int max_changes);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_REPLICATOR_H_
