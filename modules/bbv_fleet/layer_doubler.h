#ifndef MODULES_BBV_FLEET_LAYER_DOUBLER_H_
#define MODULES_BBV_FLEET_LAYER_DOUBLER_H_

#include <optional>
#include <vector>

#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/layer_planner.h"

namespace bbv {

// Decides which targets hold layers of their neighbours too.
//
// Answers the loss of single targets: where every layer is held twice, a call
// goes on in its zone at once, and nothing is loaded first. Memory for a
// zone's usual number of requests is kept, a third to a half of what one copy
// leaves. After repairs some targets hold
// more than that; their neighbours take over part of their layers first, and
// what is then held twice they give up.
//
// A pure function of its arguments. Thread safe.
class LayerReplicator {
 public:
  // Divides all layers over `members`, the targets of one zone that hold none
  // yet, so that as few of them as can be are the only ones to hold a layer.
  // Returns their ranges in the same order, or nothing when their memory allows
  // no layer to be held twice.
  static std::optional<std::vector<LayerRange>> PlaceAfresh(
      const EngineModel& model,
      const std::vector<PlannerTarget>& members);

  // Returns at most `most_changes` placements, for the engines of one service,
  // that double layers or give up doubled ones. No layer is ever given up by
  // the last target of a zone that holds it. Only zones that hold every layer
  // are changed. Precondition: no order is under way, so that `targets` hold
  // what they are said to hold.
  static std::vector<Placement> Plan(const EngineModel& model,
                                     const std::vector<PlannerTarget>& targets,
                                     int most_changes);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_DOUBLER_H_
