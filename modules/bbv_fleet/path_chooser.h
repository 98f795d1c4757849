#ifndef MODULES_BBV_FLEET_PATH_CHOOSER_H_
#define MODULES_BBV_FLEET_PATH_CHOOSER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/target_board.h"

namespace bbv {

// One target of a path and the layers that it runs there.
struct Hop {
  FleetTarget* target = nullptr;
  LayerRange layers;
};

// Targets that run every layer once and in order.
struct EnginePath {
  std::vector<Hop> hops;
  // Expected milliseconds a token, and until all hops have read the prompt.
  double token_ms = 0;
  double read_ms = 0;

  bool empty() const { return hops.empty(); }
};

// What a path is wanted for.
struct PathQuery {
  std::string_view service;
  // Zone of the caller; paths there are preferred.
  std::string_view zone;
  // Tokens that every hop must have room for.
  double tokens = 0;
  // Those of them that are read before the first event.
  double prompt_tokens = 0;
  // Time to the first event that the caller aims for; 0 for none.
  double objective_ms = 0;
  // Longest time that a hop may need for the prompts sent there before; 0 for
  // any.
  double max_backlog_ms = 0;
  // Whether a path may lead from one zone to another.
  bool allow_zone_crossing = true;
  // Targets to keep out, after failures of this call.
  const std::vector<std::string>* excluded = nullptr;
  // Any number spread evenly; breaks ties so that entries do not herd.
  uint64_t draw = 0;
};

// A hop of a path that a call is on.
struct CurrentHop {
  std::string target_id;
  LayerRange layers;
};

// Why no path was found: what the last constraint was that had to be left out
// until there was one.
enum class PathFailure : uint8_t {
  kNone,
  // Some layer is held by no usable target.
  kLayersMissing,
  // Layers are held, but in no zone all of them, and calls may not cross zones
  // now.
  kCrossing,
  // The targets with the first layers have no slot.
  kFirstSlots,
  // Prompts would wait too long to be read.
  kUnreadPrompts,
  // Some layer's targets lack memory for the call, or have just turned others
  // zone_penalty_ms.
  kMemory,
};
inline constexpr NameTable<PathFailure, 6> kPathFailureNames(
    {"none", "layers-missing", "crossing", "first-slots", "unread-prompts",
     "memory"});

// Finds the path of least expected time for a call over targets that hold the
// layers now.
//
// A path stays inside one availability zone where one can: activations of every
// token cross each hop. Crossing paths are used only when no zone holds all
// layers. Answers the load of days on which a zone has lost part of its layers:
// whole calls move to other zones while their memory lasts. Calls also leave a
// zone whose prompts would keep them beyond their objective for one where they
// are read in time.
// Deterministic. Thread safety: none, owned by the board's thread.
class PathChooser {
 public:
  // `board` must outlive the chooser.
  explicit PathChooser(TargetBoard* board);

  // Returns the best path, empty with `failure` set when there is none.
  // Precondition: `failure` is not null.
  EnginePath Choose(const EngineModel& model,
                    const PathQuery& query,
                    Instant now,
                    PathFailure* failure) const;

  // Returns the milliseconds for which `tokens` of a prompt occupy the links
  // between the zones of `path`.
  static double LinkMs(const EngineModel& model,
                       const EnginePath& path,
                       double tokens);

  // Returns the path `current` with as few hops replaced as the targets that
  // may be used allow: its first hop stays, and so does its zone. Empty when
  // there is none. Precondition: `current` is not empty.
  EnginePath Reroute(const EngineModel& model,
                     const PathQuery& query,
                     const std::vector<CurrentHop>& current,
                     Instant now) const;

  // Tokens times layers that `target` can hold beside its layers.
  static double CapacityTokenLayers(const EngineModel& model,
                                    const FleetTarget& target);

 private:
  struct Candidate {
    FleetTarget* target = nullptr;
    LayerRange layers;
    // Whether a call may begin there: the first target of a path has a slot for
    // each of its calls.
    bool has_first_hop_slot = true;
    // Milliseconds a token for beginning there.
    double first_hop_ms = 0;
    // Whether the call is on it already: it runs just these layers.
    bool is_current = false;
    int zone = 0;
    double layer_ms = 0;
    // Milliseconds a token for the hop itself.
    double hop_ms = 0;
    // Milliseconds until it has read the call's prompt behind those before.
    double read_ms = 0;
    double free_token_layers = 0;
    // Whether prompts sent there would be read too late.
    bool exceeds_backlog = false;
  };

  // What one search may use.
  struct SearchLimits {
    double tokens = 0;
    bool across_zones = false;
    // Whether each hop runs to the end of its target's layers.
    bool whole_hops = false;
    // First layer that the path has to run.
    int from = 0;
    // Whether a path may begin where all slots are taken, and lead over targets
    // that would read its prompt too late.
    bool ignores_slots = false;
    bool ignores_backlog = false;
  };

  // Returns the targets that may take hops of new paths; `include_full` also
  // those that take none for a moment.
  std::vector<Candidate> CollectCandidates(const EngineModel& model,
                                           const PathQuery& query,
                                           Instant now,
                                           bool include_full = false) const;
  // Returns why `candidates` give no path.
  PathFailure DiagnoseFailure(const EngineModel& model,
                              const std::vector<Candidate>& candidates,
                              const PathQuery& query,
                              Instant now) const;
  static bool IsExcluded(const PathQuery& query, std::string_view id);
  static bool HasRepeatedTarget(const EnginePath& path);

  // Returns the shortest path on which each target stands once.
  static EnginePath SearchSimplePath(const EngineModel& model,
                                     const std::vector<Candidate>& candidates,
                                     SearchLimits limits);
  static EnginePath Search(const EngineModel& model,
                           const std::vector<Candidate>& candidates,
                           const SearchLimits& limits);

  TargetBoard* board_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_PATH_CHOOSER_H_
