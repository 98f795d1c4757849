#ifndef MODULES_BBV_FLEET_LAYER_PLANNER_H_
#define MODULES_BBV_FLEET_LAYER_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/target_registry.h"

namespace bbv {

// A target as input to the planner.
struct PlannerTarget {
  std::string id;
  std::string zone;
  std::string accelerator;
  // The layers that it holds or has been ordered to hold; nullopt for none.
  std::optional<LayerRange> layers;
  // KV cache in use by requests, in tokens times layers.
  double used_token_layers = 0;
  // Whether its layers must not change, because an order is in progress or it
  // does not accept orders.
  bool is_fixed = false;
  // Whether it is so slow that other targets should hold its layers, too.
  bool is_slow = false;
  // Whether it accepts only a limited rate of calls that begin there.
  bool has_rate_limit = false;
};

// A target and the layers that it is to hold.
struct Placement {
  std::string id;
  LayerRange layers;
  bool operator==(const Placement&) const = default;
};

// Decides which layers each target holds.
//
// Every availability zone gets a complete copy of the model if it has enough
// memory; zones without enough memory share a copy. Within a copy the layers
// are partitioned so that all targets have memory for the same number of
// requests.
//
// The layers of a lost target are reassigned to as few of the remaining targets
// as possible, because loading takes time and layers that move serve no
// requests meanwhile. A target without layers fills a gap or replicates the
// range with the least memory for requests.
//
// A pure function of its arguments. Thread-safe.
class LayerPlanner {
 public:
  // Number of typical requests for which a zone reserves memory.
  static constexpr double kRequestsPerZone = 240;

  // Returns the placements that differ from what `targets` hold, for the
  // engines of one service; empty if nothing needs to change. Never places more
  // layers on a target than fit in its memory. If `may_move` is false, gaps are
  // closed only by changes that take no layer away from its sole holder.
  static std::vector<Placement> Plan(const EngineModel& model,
                                     const std::vector<PlannerTarget>& targets,
                                     bool may_move = true);

  // Returns placements that let other targets load the layers of slow ones, and
  // the first layers of a zone in which calls can begin only at targets with a
  // rate limit. The relieved targets keep their layers, since they still serve
  // calls. Empty if no target needs relief.
  static std::vector<Placement> PlanRelief(
      const EngineModel& model,
      const std::vector<PlannerTarget>& targets);

  // Returns the megabytes of KV cache per layer of a typical request.
  static double RequestMb(const EngineModel& model);

  // Returns the maximum number of layers that an accelerator can hold in
  // addition to memory for a few requests; 0 for an unknown kind.
  static int MaxLayers(const EngineModel& model,
                       const std::string& accelerator);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_PLANNER_H_
