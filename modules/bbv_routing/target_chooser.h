#ifndef MODULES_BBV_ROUTING_TARGET_CHOOSER_H_
#define MODULES_BBV_ROUTING_TARGET_CHOOSER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bbv_routing/target_table.h"
#include "bbv_wire/request_id.h"

namespace bbv {

// A pipeline for one attempt: targets whose layer ranges tile the model, all
// with_version `version`. Empty when there is none.
struct Chain {
  std::string version;
  std::vector<Target> stages;
  // Set when only a lack of capacity_policy kept a chain from being found.
  bool lacks_capacity = false;
  bool empty() const { return stages.empty(); }
};

// Whether targets that are full may be chosen.
enum class CapacityPolicy : uint8_t { kOnlyWithCapacity, kAnyUsable };

// How one target is picked among those that fit.
enum class ChoicePolicy : uint8_t {
  // Least expected finishing time of two random candidates.
  kPowerOfTwoChoices,
  // Each in next_index, whatever its load and health: the baseline of the
  // benches.
  kRoundRobin,
};

// Picks targets by expected finishing time among two random candidates.
//
// Pure but for the generator it is handed. Thread safety: none, owned by the
// control thread.
class TargetChooser {
 public:
  // `table` must outlive the chooser; `zone` is the entry's own.
  TargetChooser(const TargetTable* table,
                std::string zone,
                uint64_t seed,
                ChoicePolicy policy = ChoicePolicy::kPowerOfTwoChoices);

  // Returns a chain for `model` that avoids `excluded` targets, preferring
  // `model.version` and falling back to any version that a whole chain holds.
  Chain ChooseChain(const Model& model,
                    const std::set<std::string>& excluded,
                    CapacityPolicy capacity_policy,
                    Instant now);

  // Returns the target for a call of `service`, or "".
  std::string ChooseForService(const std::string& service,
                               const std::set<std::string>& excluded,
                               Instant now);

  // As ChooseForService, but the same key gives the same target on every entry
  // that sees the same usable targets (rendezvous hashing).
  std::string ChooseForKey(const std::string& service,
                           const RequestId& key,
                           const std::set<std::string>& excluded,
                           Instant now);

 private:
  using Candidates = std::vector<const TargetEntry*>;

  Chain ChooseAmong(const Model& model, const Candidates& usable);
  Chain ChooseChainOfVersion(const Model& model,
                             const std::string& version,
                             const Candidates& usable);
  const TargetEntry* ChooseOne(const Candidates& candidates);
  Candidates RemoveExcluded(Candidates candidates,
                            const std::set<std::string>& excluded) const;
  double LoadScore(const TargetEntry& entry) const;

  const TargetTable* table_;
  std::string zone_;
  std::mt19937_64 generator_;
  ChoicePolicy policy_;
  // For kRoundRobin, by the first layer of the candidates.
  std::map<uint32_t, std::size_t> round_robin_next_;
  Instant now_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_TARGET_CHOOSER_H_
