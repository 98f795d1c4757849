#ifndef MODULES_BBV_FLEET_LAYER_PLANNER_H_
#define MODULES_BBV_FLEET_LAYER_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/target_board.h"

namespace bbv {

// One target as the planner sees it.
struct PlannerTarget {
  std::string id;
  std::string zone;
  std::string accelerator;
  // What it holds or has been ordered to hold; empty for none.
  std::optional<LayerRange> layers;
  // Tokens times layers that requests hold in its memory.
  double used_token_layers = 0;
  // Whether it is left as it is: it carries out an order, or answers none.
  bool is_fixed = false;
};

// A target and the layers that it should hold from now on.
struct Placement {
  std::string id;
  LayerRange layers;
  bool operator==(const Placement&) const = default;
};

// Decides which layers each target holds.
//
// Every availability zone gets a whole copy of the model when its memory
// allows one; zones that cannot hold one share a copy. Within a copy the
// layers are divided so that all targets have room for the same number of
// requests. When targets go, those that are left take their layers over, as few
// of them as can, since loads take time and nothing is served by what moves. A
// target without layers fills a gap or doubles the range with the least memory
// for requests.
//
// A pure function of its arguments. Thread safe.
class LayerPlanner {
 public:
  // Returns the placements that differ from what `targets` hold, for the
  // engines of one service. Empty when nothing should change. Never places
  // more layers on a target than its memory holds. Without `may_move` gaps are
  // closed only by what takes no layer from where it alone is held.
  static std::vector<Placement> Plan(const EngineModel& model,
                                     const std::vector<PlannerTarget>& targets,
                                     bool may_move = true);

  // Megabytes that a usual request takes for each layer. Thread safe.
  static double RequestMb(const EngineModel& model);

  // Most layers that an accelerator holds beside room for a few requests;
  // 0 for an unknown kind. Thread safe.
  static int MaxLayers(const EngineModel& model,
                       const std::string& accelerator);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_PLANNER_H_
