#ifndef MODULES_BBV_FLEET_PATH_CHOOSER_H_
#define MODULES_BBV_FLEET_PATH_CHOOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/target_registry.h"

namespace bbv {

// One target of a path and the layers that it runs.
struct Hop {
  FleetTarget* target = nullptr;
  LayerRange layers;
};

// Targets that together run every layer once and in order.
struct EnginePath {
  std::vector<Hop> hops;
  // Expected time per token, and until all hops have prefilled the prompt, in
  // milliseconds.
  double token_ms = 0;
  double prefill_ms = 0;

  bool empty() const { return hops.empty(); }
};

// Requirements on a path.
struct PathQuery {
  std::string_view service;
  // Zone of the caller; paths inside it are preferred.
  std::string_view zone;
  // Tokens for which every hop needs free memory.
  double tokens = 0;
  // Those of them that are prefilled before the first event.
  double prompt_tokens = 0;
  // Objective for the time to the first event; 0 for none.
  double objective_ms = 0;
  // Maximum time that a hop may need to prefill the prompts queued there; 0 for
  // no limit.
  double max_backlog_ms = 0;
  // Time after which the prefill at a hop that replaces another is late;
  // nullopt for no limit.
  std::optional<double> max_prefill_ms;
  // Share of the slots and memory of each hop that the call must leave free.
  double kept_share = 0;
  // The only zone whose targets may be hops; empty for all zones.
  std::string_view only_zone;
  // Whether a path may cross zones.
  bool allow_zone_crossing = true;
  // Targets excluded after earlier failures of this call.
  const std::vector<std::string>* excluded = nullptr;
  // Uniformly distributed random number; breaks ties so that entries do not all
  // choose the same path.
  uint64_t random_value = 0;
};

// A hop of the path that a call currently uses.
struct CurrentHop {
  std::string target_id;
  LayerRange layers;
};

// Why no path was found: the last constraint that had to be dropped until a
// path existed.
enum class PathFailure : uint8_t {
  kNone,
  // Some layer is held by no usable target.
  kLayersMissing,
  // Targets of several zones together have all layers, but no zone has them or
  // a first hop below its rate limit, and calls may not cross zones at present.
  kCrossing,
  // The targets with the first layers have rate limits that leave this entry no
  // request.
  kRateLimit,
  // All targets with the first layers have no free slot.
  kFirstSlots,
  // Prompts would wait too long for their prefill.
  kUnreadPrompts,
  // The targets of some layer lack memory for the call or have just rejected
  // other calls.
  kMemory,
};
inline constexpr NameTable<PathFailure, 7> kPathFailureNames(
    {"none", "layers-missing", "crossing", "rate-limit", "first-slots",
     "unread-prompts", "memory"});

// Finds the path of least expected time for a call, over the targets that hold
// the layers now.
//
// A path stays inside one availability zone if possible, because the
// activations of every token cross each hop. Paths across zones are used only
// if no zone holds all layers. If a zone has lost part of its layers, whole
// calls move to other zones as long as those have memory. Calls also leave a
// zone whose prefill backlog would delay them beyond their objective for one
// that can meet it.
//
// Deterministic. Thread safety: none, owned by the registry's thread.
class PathChooser {
 public:
  // `registry` must outlive the chooser.
  explicit PathChooser(TargetRegistry* registry);

  // Returns the best path, or an empty one with `failure` set if there is none.
  // Precondition: `failure` is not null.
  EnginePath Choose(const EngineModel& model,
                    const PathQuery& query,
                    Instant now,
                    PathFailure* failure) const;

  // Returns the time in milliseconds for which `tokens` of a prompt occupy the
  // links between the zones of `path`.
  static double LinkMs(const EngineModel& model,
                       const EnginePath& path,
                       double tokens);

  // Returns the path `current` with as few hops replaced as possible. Its first
  // hop and its zone stay. Replacements that would prefill late are avoided,
  // and else the one taken that is done first. Empty if there is no such path.
  // Precondition: `current` is not empty.
  EnginePath Reroute(const EngineModel& model,
                     const PathQuery& query,
                     const std::vector<CurrentHop>& current,
                     Instant now) const;

  // Returns how many tokens times layers of KV cache fit into the memory of
  // `target` beside its layers.
  static double CapacityTokenLayers(const EngineModel& model,
                                    const FleetTarget& target);

 private:
  struct Candidate {
    FleetTarget* target = nullptr;
    LayerRange layers;
    // Whether the target has a free slot for a call that starts there: the
    // first target of a path uses one slot per call.
    bool has_first_hop_slot = true;
    // Whether a call may start there: only the first target of a path receives
    // a request of this entry, which takes part of the target's rate limit.
    bool has_allowance = true;
    // Cost of starting there, in milliseconds per token.
    double first_hop_ms = 0;
    // Whether the call uses this hop already; it then runs exactly these
    // layers.
    bool is_current = false;
    int zone = 0;
    double layer_ms = 0;
    // Cost of the hop itself, in milliseconds per token.
    double hop_ms = 0;
    // Time until the call's prompt is prefilled behind the queued ones, in
    // milliseconds.
    double prefill_ms = 0;
    double free_token_layers = 0;
    // Whether the prefill backlog exceeds the limit of the query.
    bool exceeds_backlog = false;
  };

  // Candidates by availability zone.
  using ZoneCandidates = std::map<std::string_view, std::vector<Candidate>>;

  // Constraints of one search.
  struct SearchLimits {
    double tokens = 0;
    bool across_zones = false;
    // Whether each hop must run to the end of its target's layers.
    bool whole_hops = false;
    // First layer of the path.
    int from = 0;
    // Whether a path may start where the rate limit is used up or all slots are
    // taken, and use targets whose prefill backlog exceeds the limit.
    bool ignores_rate_limits = false;
    bool ignores_slots = false;
    bool ignores_backlog = false;
  };

  // Returns the targets that may serve as hops of new paths; with
  // `include_full`, also those that reject new calls for a moment.
  std::vector<Candidate> CollectCandidates(const EngineModel& model,
                                           const PathQuery& query,
                                           Instant now,
                                           bool include_full = false) const;
  // Returns why no path exists over `candidates`.
  PathFailure DiagnoseFailure(const EngineModel& model,
                              const std::vector<Candidate>& candidates,
                              const PathQuery& query,
                              Instant now) const;
  // Returns why no zone has a path of its own, while one across zones exists.
  PathFailure DiagnoseZones(const EngineModel& model,
                            const PathQuery& query,
                            Instant now) const;
  static ZoneCandidates GroupByZone(const std::vector<Candidate>& candidates);
  static bool IsExcluded(const PathQuery& query, std::string_view id);
  static bool HasRepeatedTarget(const EnginePath& path);

  // Returns the shortest path that uses each target at most once.
  static EnginePath SearchSimplePath(const EngineModel& model,
                                     const std::vector<Candidate>& candidates,
                                     SearchLimits limits);
  static EnginePath Search(const EngineModel& model,
                           const std::vector<Candidate>& candidates,
                           const SearchLimits& limits);

  TargetRegistry* registry_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_PATH_CHOOSER_H_
