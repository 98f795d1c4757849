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

// Pipeline for one attempt: targets whose layer ranges cover the model without
// gaps or overlaps and that all hold `version`. Empty if there is none.
struct Chain {
  std::string version;
  std::vector<Target> stages;
  // Set if a chain exists but its targets lack capacity.
  bool lacks_capacity = false;
  bool empty() const { return stages.empty(); }
};

// Whether targets without free capacity may be chosen.
enum class CapacityPolicy : uint8_t { kOnlyWithCapacity, kAnyUsable };

// How a target is chosen among the candidates.
enum class ChoicePolicy : uint8_t {
  // The lower load score of two random candidates.
  kPowerOfTwoChoices,
  // Each candidate in turn, regardless of load and health. Baseline of the
  // benchmarks.
  kRoundRobin,
};

// Balances load over the usable targets, by default with the power of two
// random choices.
//
// Deterministic for a given seed. Thread safety: none, owned by the control
// thread.
class TargetChooser {
 public:
  // `table` must outlive the chooser; `zone` is the zone of this entry.
  TargetChooser(const TargetTable* table,
                std::string zone,
                uint64_t seed,
                ChoicePolicy policy = ChoicePolicy::kPowerOfTwoChoices);

  // Returns a chain for `model` without the `excluded` targets. Prefers
  // `model.version` and falls back to any version for which there is a complete
  // chain.
  Chain ChooseChain(const Model& model,
                    const std::set<std::string>& excluded,
                    CapacityPolicy capacity_policy,
                    Instant now);

  // Returns the target for a call of `service`, or "" if there is none.
  std::string ChooseForService(const std::string& service,
                               const std::set<std::string>& excluded,
                               Instant now);

  // Like ChooseForService(), but maps a given key to the same target on every
  // entry that has the same set of usable targets (rendezvous hashing).
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
  // Next candidate for kRoundRobin, by the first layer of the candidates.
  std::map<uint32_t, std::size_t> round_robin_next_;
  Instant now_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_TARGET_CHOOSER_H_
