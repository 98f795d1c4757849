#include "bbv_fleet/chain_partition.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::ChainPartition;
using bbv::EngineModel;
using bbv::LayerPlanner;
using bbv::LayerRange;
using bbv::LayerReplicator;
using bbv::PlannerTarget;
using bbv_test::Apply;

namespace {

using Targets = std::vector<PlannerTarget>;

struct KindCount {
  const char* kind;
  int targets;
};
using Zone = std::vector<KindCount>;

Targets PlaceZone(const EngineModel& model, const Zone& zone) {
  Targets targets;
  for (const KindCount& it : zone) {
    for (int n = 0; n < it.targets; ++n)
      targets.push_back({it.kind + std::to_string(n), "z", it.kind, {}});
  }
  Apply(LayerPlanner::Plan(model, targets), &targets);
  Apply(LayerReplicator::Plan(model, targets, 1000), &targets);
  return targets;
}

double CallsThatFit(const EngineModel& model, const PlannerTarget& target) {
  const int layers = target.layers->size();
  return (model.MemoryMb(target.accelerator) - layers * model.layer_mb) /
         (layers * LayerPlanner::RequestMb(model));
}

// What the placement of a zone gives to callers, by its weakest layer.
struct ZoneFigures {
  // Targets that hold the layer.
  int min_holders = 1000;
  // Largest part of the zone's calls that one target runs if its holders share
  // them by memory.
  double max_share = 0;
  // Typical calls for which the holders have memory.
  double min_calls = 1e9;
  // Time per token of one call over the fastest holders.
  double token_ms = 0;
};

ZoneFigures Measure(const EngineModel& model, const Targets& targets) {
  ZoneFigures figures;
  for (int layer = 0; layer < model.layers; ++layer) {
    int holders = 0;
    double calls = 0;
    double max_calls = 0;
    double step_factor = 1e9;
    for (const PlannerTarget& it : targets) {
      if (!it.layers || !it.layers->Contains({layer, layer + 1}))
        continue;
      ++holders;
      calls += CallsThatFit(model, it);
      max_calls = std::max(max_calls, CallsThatFit(model, it));
      step_factor =
          std::min(step_factor, model.FindKind(it.accelerator)->step_factor);
    }
    figures.min_holders = std::min(figures.min_holders, holders);
    figures.max_share =
        std::max(figures.max_share, calls > 0 ? max_calls / calls : 1);
    figures.min_calls = std::min(figures.min_calls, calls);
    figures.token_ms += model.step_ms * step_factor / model.layers;
  }
  return figures;
}

}  // namespace

TEST_GROUP(ChainPartition) {
  EngineModel model = bbv_test::MakeModel();
  const std::vector<Zone> wide_zones = {
      {{"large", 1}, {"middle", 9}, {"small", 7}},
      {{"large", 3}, {"middle", 4}, {"small", 9}},
      {{"large", 1}, {"middle", 5}, {"small", 13}}};

  void setup() override {
    model.step_ms = 1.02;
    model.call_step_ms = 0.00306;
    model.context_step_ms = 0.0041;
    model.tokens_per_event = 4;
    model.read_chunk_tokens = 512;
    model.read_tokens_per_ms = 245;
    model.kv_bytes_per_token = 393000;
    model.first_hop_slots = 192;
    model.typical_prompt_tokens = 780;
    model.typical_output_tokens = 220;
    model.kinds = {{"large", 72000, 2.4, 3.2},
                   {"middle", 43200, 5.6, 2.7},
                   {"small", 21600, 16, 8.2},
                   {"tiny", 14400, 5.3, 7.9}};
  }
};

// Zones with memory for four copies: the loss of a target must meet about half
// of a zone's calls at most and leave two others for each of its layers, while
// memory for the typical calls remains.
TEST(ChainPartition, FormsThreeChainsInZonesWithMemoryForThem) {
  for (const Zone& it : wide_zones) {
    const ZoneFigures figures = Measure(model, PlaceZone(model, it));
    CHECK(figures.min_holders >= 3);
    CHECK(figures.max_share <= 0.55);
    CHECK(figures.min_calls >= 240);
  }
}

// Guards against chains in which slow targets run layers of every call although
// the fast ones have memory for a copy.
TEST(ChainPartition, KeepsSlowTargetsOutOfTheFastestChain) {
  for (const Zone& it :
       std::vector<Zone>{{{"large", 2}, {"tiny", 9}, {"small", 10}},
                         {{"large", 2}, {"tiny", 6}, {"small", 7}}}) {
    model.kv_bytes_per_token = 328000;
    const ZoneFigures figures = Measure(model, PlaceZone(model, it));
    CHECK(figures.min_holders >= 2);
    CHECK(figures.token_ms <= 5.3 * model.step_ms);
    CHECK(figures.min_calls >= 240);
  }
}

TEST(ChainPartition, LeavesZonesWithoutMemoryForTwoChainsAlone) {
  const Zone narrow = {{"large", 2}, {"middle", 2}, {"small", 2}};
  const Targets targets = PlaceZone(model, narrow);
  CHECK(!ChainPartition(model, targets).Compute());
  CHECK(ChainPartition::LayersByKind(model, targets).empty());
}

TEST(ChainPartition, NeedsNoChangesAfterThePlan) {
  for (const Zone& it : wide_zones) {
    const Targets targets = PlaceZone(model, it);
    CHECK(LayerPlanner::Plan(model, targets).empty());
    CHECK(LayerReplicator::Plan(model, targets, 1000).empty());
  }
}

// Each target of a zone is lost, is back without layers after a moment, and
// must restore the chain that it was in.
TEST(ChainPartition, AReturningTargetRestoresItsChain) {
  for (const Zone& zone : wide_zones) {
    const Targets placed = PlaceZone(model, zone);
    for (std::size_t lost = 0; lost < placed.size(); ++lost) {
      Targets targets = bbv_test::Without(placed, lost);
      CHECK(LayerPlanner::Plan(model, targets).empty());
      targets.push_back(placed[lost]);
      targets.back().layers.reset();
      Apply(LayerPlanner::Plan(model, targets), &targets);
      CHECK(Measure(model, targets).min_holders >= 3);
    }
  }
}

TEST(ChainPartition, IgnoresTargetsOfUnknownKinds) {
  Targets targets = PlaceZone(model, wide_zones[0]);
  targets.push_back({"other", "z", "unknown", {}});
  const auto ranges = ChainPartition(model, targets).Compute();
  CHECK(ranges.has_value());
  CHECK_EQUAL(0, ranges->back().size());
}

TEST(ChainPartition, RequestsWithoutMemoryBoundNoSearch) {
  for (const double kv_bytes : {0.0, 1e-12}) {
    model.kv_bytes_per_token = kv_bytes;
    CHECK(!PlaceZone(model, {{"small", 9}}).empty());
  }
}

TEST(ChainPartition, ChainsOfLargeZonesHaveNoMoreHopsThanTargetsAccept) {
  model.first_hop_slots = 0;
  for (const int count : {60, 200, 1000}) {
    Targets targets;
    for (int n = 0; n < count; ++n)
      targets.push_back({"t" + std::to_string(n), "z", "small", {}});
    const auto ranges = ChainPartition(model, targets).Compute();
    if (!ranges)
      continue;
    int holders = 0;
    int chains = 0;
    for (const LayerRange& it : *ranges) {
      holders += it.size() > 0 ? 1 : 0;
      chains += it.size() > 0 && it.from == 0 ? 1 : 0;
    }
    CHECK(holders <= 32 * chains);
  }
}
