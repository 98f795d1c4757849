#ifndef MODULES_BBV_FLEET_CHAIN_PARTITION_H_
#define MODULES_BBV_FLEET_CHAIN_PARTITION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bbv_fleet/layer_planner.h"

namespace bbv {

// Partitions the targets of one zone into parallel chains, each of which holds
// every layer.
//
// The loss of a target then interrupts only the calls of its chain, and the
// other chains share the prefill of the calls that move. There are as many
// chains as fit beside the memory for the typical calls of a zone. Targets of
// similar speed form a chain, because the slowest hops dominate the time per
// token; the members are chosen for the highest sum of the call rates before
// and after the loss of the fastest chain. The call rate of a chain is limited
// by the memory beside its layers, the slots of its first hop, and the prefill
// rate of its slowest hop.
//
// Deterministic: depends only on the ids and kinds of the targets. Not
// thread-safe.
class ChainPartition {
 public:
  // `model` must outlive the partition. Targets of unknown kinds hold no
  // layers.
  ChainPartition(const EngineModel& model,
                 const std::vector<PlannerTarget>& targets);

  // Returns the layers of each target, in the order of the constructor's
  // targets; empty ranges for targets in no chain. Returns nullopt unless at
  // least two chains fit beside the memory for the typical calls of a zone.
  std::optional<std::vector<LayerRange>> Compute();

  // Returns, for each kind of accelerator, the largest number of layers that a
  // target holds in the chains of `targets`; empty if they form none.
  static std::map<std::string, int> LayersByKind(
      const EngineModel& model,
      const std::vector<PlannerTarget>& targets);

 private:
  // A run of consecutive targets in `order_`.
  struct Chain {
    std::size_t first = 0;
    std::size_t last = 0;
  };

  // What a chain can do.
  struct ChainLimits {
    // Typical calls for which each of its targets has memory; 0 if the layers
    // do not fit.
    double calls = 0;
    // Typical calls per millisecond.
    double call_rate = 0;
  };

  // The best division of the first targets into a number of chains.
  struct BestSplit {
    // Sum over the chains; below 0 if there is no such division.
    double call_rate = -1;
    double fastest_rate = 0;
    // Where the last chain begins.
    std::size_t first = 0;
    // Sum of the call rates before and after the loss of the fastest chain.
    double score() const { return 2 * call_rate - fastest_rate; }
  };

  // Number of targets of one kind in a chain.
  struct KindCount {
    const AcceleratorKind* kind;
    int targets;
  };

  ChainLimits Evaluate(const std::vector<KindCount>& kinds) const;
  double CallsThatFit(const std::vector<KindCount>& kinds) const;
  // Returns the layers that fit a target beside the memory of `calls` calls.
  int LayersBeside(const AcceleratorKind& kind, double calls) const;
  // Returns the `n` chains of the first `targets` targets with the highest sum
  // of the call rates before and after the loss of the fastest chain; empty if
  // there are none.
  std::vector<Chain> BestChains(std::size_t n, std::size_t targets);
  // Adds the divisions into one more chain to `splits_`.
  void AddChain();
  // Whether the chains leave memory for the typical requests of a zone.
  bool KeepMemoryForRequests(const std::vector<Chain>& chains) const;
  // Returns the number of first hops needed in addition to those of `chains`.
  std::size_t CountExtraFirstHops(const std::vector<Chain>& chains) const;
  double CallsOf(const std::vector<Chain>& chains) const;
  void Assign(const Chain& chain, std::vector<LayerRange>* ranges) const;
  void EvaluateAllChains();
  // Whether a chain may end before target `index` of `order_`.
  bool IsChainEnd(std::size_t index) const {
    return index % step_ == 0 || index == order_.size();
  }
  const ChainLimits& Limits(std::size_t first, std::size_t last) const {
    return limits_[first * (order_.size() + 1) + last];
  }

  const EngineModel& model_;
  double request_mb_per_layer_;
  // Indices of the targets of known kinds, and their kinds, fastest first.
  std::vector<std::size_t> order_;
  std::vector<const AcceleratorKind*> kinds_;
  std::size_t target_count_;
  // Number of targets between two possible ends of chains.
  std::size_t step_ = 1;
  // Limits of every possible chain, by its first and last target.
  std::vector<ChainLimits> limits_;
  // By number of chains and of targets, as far as they were needed.
  std::vector<std::vector<BestSplit>> splits_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CHAIN_PARTITION_H_
