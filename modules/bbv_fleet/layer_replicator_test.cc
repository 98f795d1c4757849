#include "bbv_fleet/layer_replicator.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::EngineModel;
using bbv::LayerPlanner;
using bbv::LayerRange;
using bbv::LayerReplicator;
using bbv::Placement;
using bbv::PlannerTarget;
using bbv_test::Apply;
using bbv_test::During;
using bbv_test::HoldsCopy;

namespace {

using Targets = std::vector<PlannerTarget>;

constexpr int kUnlimitedChanges = 1000;

// Returns the number of targets whose loss leaves their zone without some
// layer.
int CountSoleHolders(const EngineModel& model, const Targets& targets) {
  int n = 0;
  for (const PlannerTarget& it : targets)
    n += HoldsCopy(model, targets, it.zone, it.id) ? 0 : 1;
  return n;
}

// Returns the number of concurrent typical calls for which the targets have
// memory at every layer.
double ConcurrentCallCapacity(const EngineModel& model,
                              const Targets& targets) {
  double min_calls = 1e9;
  for (int layer = 0; layer < model.layers; ++layer) {
    double calls = 0;
    for (const PlannerTarget& it : targets) {
      if (!it.layers || !it.layers->Contains({layer, layer + 1}))
        continue;
      const double free_mb =
          model.MemoryMb(it.accelerator) - it.layers->size() * model.layer_mb;
      calls += free_mb / (it.layers->size() * LayerPlanner::RequestMb(model));
    }
    min_calls = std::min(min_calls, calls);
  }
  return min_calls;
}

bool FitsMemory(const EngineModel& model, const Targets& targets) {
  return std::all_of(targets.begin(), targets.end(), [&](const auto& it) {
    return !it.layers ||
           (it.layers->from >= 0 && it.layers->from < it.layers->to &&
            it.layers->to <= model.layers &&
            it.layers->size() <=
                LayerPlanner::MaxLayers(model, it.accelerator));
  });
}

}  // namespace

TEST_GROUP(LayerReplicator) {
  EngineModel model = bbv_test::MakeModel();
};

TEST(LayerReplicator, AtMostHalfOfTheTargetsAreSoleHolders) {
  // With a single copy per zone, each of the 38 targets would be a sole holder.
  Targets targets = bbv_test::MakePlacedZones();
  Apply(LayerReplicator::Plan(model, targets, kUnlimitedChanges), &targets);
  CHECK(FitsMemory(model, targets));
  CHECK(CountSoleHolders(model, targets) <= 19);
}

TEST(LayerReplicator, ReservesHalfOfTheMemoryBesideOneCopyForRequests) {
  Targets targets = bbv_test::MakePlacedZones();
  Apply(LayerReplicator::Plan(model, targets, kUnlimitedChanges), &targets);
  for (const char* zone : {"a", "b", "c"}) {
    double memory = 0;
    double layers = 0;
    for (const PlannerTarget& it : targets) {
      if (it.zone != zone)
        continue;
      memory += model.FindKind(it.accelerator)->memory_mb;
      layers += it.layers->size() * model.layer_mb;
    }
    const double memory_beside_copy = memory - model.layers * model.layer_mb;
    CHECK(memory - layers >= 0.45 * memory_beside_copy);
  }
}

TEST(LayerReplicator, ReachesAStablePlacement) {
  Targets targets = bbv_test::MakePlacedZones();
  for (int step = 0; step < 20; ++step) {
    const auto changes =
        LayerReplicator::Plan(model, targets, kUnlimitedChanges);
    if (changes.empty())
      break;
    CHECK(step < 10);
    Apply(changes, &targets);
  }
  CHECK(LayerPlanner::Plan(model, targets).empty());
}

TEST(LayerReplicator, LimitsTheNumberOfChanges) {
  model.layers = 24;
  Targets targets;
  for (int it = 0; it < 8; ++it) {
    targets.push_back({"i-" + std::to_string(it), "z", "middle",
                       LayerRange{3 * it, 3 * it + 3}});
  }
  for (int step = 0; step < 60; ++step) {
    const auto changes = LayerReplicator::Plan(model, targets, 2);
    CHECK(changes.size() <= 2);
    Apply(changes, &targets);
  }
  CHECK_EQUAL(0, CountSoleHolders(model, targets));
}

TEST(LayerReplicator, UsesNoMemoryOfActiveRequests) {
  Targets targets = bbv_test::MakePlacedZones();
  for (PlannerTarget& it : targets) {
    const double free_mb = model.FindKind(it.accelerator)->memory_mb -
                           it.layers->size() * model.layer_mb;
    it.used_token_layers =
        free_mb * 1e6 / (model.kv_bytes_per_token / model.layers) * 0.8;
  }
  CHECK(LayerReplicator::Plan(model, targets, kUnlimitedChanges).empty());
}

TEST(LayerReplicator, ShrinksAnOvercommittedTargetInTwoSteps) {
  // A repair has left one target with as many layers as it can hold, between
  // targets with free memory.
  model.layers = 24;
  Targets targets = {{"a", "z", "middle", LayerRange{0, 6}},
                     {"b", "z", "middle", LayerRange{6, 17}},
                     {"c", "z", "middle", LayerRange{17, 22}},
                     {"d", "z", "small", LayerRange{22, 24}}};
  const Targets before = targets;
  Apply(LayerReplicator::Plan(model, targets, kUnlimitedChanges), &targets);
  CHECK(targets[1].layers->Contains(*before[1].layers));
  Apply(LayerReplicator::Plan(model, targets, kUnlimitedChanges), &targets);
  CHECK(targets[1].layers->size() < before[1].layers->size());
  CHECK(HoldsCopy(model, targets, "z"));
}

TEST(LayerReplicator, IgnoresIncompleteZones) {
  Targets targets = bbv_test::MakePlacedZones();
  Targets broken;
  for (const PlannerTarget& it : targets) {
    if (it.zone == "b" && it.layers->from != 0)
      broken.push_back(it);
  }
  CHECK(LayerReplicator::Plan(model, broken, kUnlimitedChanges).empty());
}

TEST(LayerReplicator, RandomDeploymentsKeepEveryLayerThroughLossesAndRepairs) {
  std::mt19937 random(11);
  for (int run = 0; run < 200; ++run) {
    model.layers = 20 + static_cast<int>(random() % 100);
    Targets targets;
    const int n = 6 + static_cast<int>(random() % 30);
    const std::vector<std::string> kinds = {"large", "middle", "small"};
    int capacity = 0;
    for (int it = 0; it < n; ++it) {
      targets.push_back({"i-" + std::to_string(random()), "z",
                         kinds[random() % kinds.size()], std::nullopt});
      capacity += LayerPlanner::MaxLayers(model, targets.back().accelerator);
    }
    if (capacity < model.layers)
      continue;
    Apply(LayerPlanner::Plan(model, targets), &targets);
    for (int step = 0; step < 12 && targets.size() > 2; ++step) {
      const auto changes = LayerReplicator::Plan(
          model, targets, 1 + static_cast<int>(random() % 6));
      // While orders are in progress, a target serves only layers that it
      // keeps.
      const Targets during = During(changes, targets);
      CHECK(HoldsCopy(model, during, "z"));
      Apply(changes, &targets);
      CHECK(FitsMemory(model, targets));
      if (step % 4 != 3)
        continue;
      targets.erase(targets.begin() +
                    static_cast<int>(random() % targets.size()));
      Apply(LayerPlanner::Plan(model, targets), &targets);
      if (!HoldsCopy(model, targets, "z"))
        break;
    }
  }
}

// A zone has memory for 900 calls, but each target accepts only 192 calls as
// the first hop. Guards against a partition whose first hops cannot start as
// many calls as fit in memory.
TEST(LayerReplicator, ProvidesEnoughFirstHopsForTheAvailableMemory) {
  model.first_hop_slots = 192;
  model.kinds = {{"large", 72000, 2.4, 3.2},
                 {"middle", 43200, 5.6, 2.7},
                 {"small", 21600, 16, 8.2}};
  model.kv_bytes_per_token = 393000;
  Targets targets;
  const auto add = [&](const char* kind, int count) {
    for (int it = 0; it < count; ++it) {
      std::string id(kind);
      id += std::to_string(it);
      targets.push_back({id, "a", kind, std::nullopt});
    }
  };
  add("large", 2);
  add("middle", 5);
  add("small", 13);
  Apply(LayerPlanner::Plan(model, targets), &targets);
  CHECK(FitsMemory(model, targets));
  CHECK_EQUAL(0, CountSoleHolders(model, targets));
  const auto first_hops = std::count_if(
      targets.begin(), targets.end(),
      [](const auto& it) { return it.layers && it.layers->from == 0; });
  CHECK(first_hops >= 4);
}

// A zone of two large and seven smaller targets must hold 80 concurrent calls.
// Guards against a partition in which the large targets, as sole holders, hold
// so many layers that they have memory for only 66 calls, while the others have
// memory for 500.
TEST(LayerReplicator, SoleHoldersDoNotLimitTheNumberOfCalls) {
  model.kinds = {{"large", 72000, 2.4, 3.2},
                 {"middle", 43200, 5.6, 2.7},
                 {"small", 21600, 16, 8.2}};
  model.kv_bytes_per_token = 918000;
  model.typical_output_tokens = 200;
  Targets targets;
  const auto add = [&](const char* kind, int count) {
    for (int it = 0; it < count; ++it)
      targets.push_back({kind + std::to_string(it), "a", kind, std::nullopt});
  };
  add("large", 2);
  add("middle", 2);
  add("small", 5);
  Apply(LayerPlanner::Plan(model, targets), &targets);
  CHECK(FitsMemory(model, targets));
  CHECK(HoldsCopy(model, targets, "a"));
  CHECK(CountSoleHolders(model, targets) <= 2);
  CHECK(ConcurrentCallCapacity(model, targets) >= 100);
}
