#include "bbv_fleet/layer_doubler.h"

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

constexpr int kNoLimit = 1000;

// Targets whose loss leaves their zone without a layer.
int CountLoneHolders(const EngineModel& model, const Targets& targets) {
  int n = 0;
  for (const PlannerTarget& it : targets)
    n += HoldsCopy(model, targets, it.zone, it.id) ? 0 : 1;
  return n;
}

// Usual calls at once for which the targets have memory at every layer.
double CallsWithMemory(const EngineModel& model, const Targets& targets) {
  double least = 1e9;
  for (int layer = 0; layer < model.layers; ++layer) {
    double calls = 0;
    for (const PlannerTarget& it : targets) {
      if (!it.layers || !it.layers->Holds({layer, layer + 1}))
        continue;
      const double free_mb =
          model.MemoryMb(it.accelerator) - it.layers->size() * model.layer_mb;
      calls += free_mb / (it.layers->size() * LayerPlanner::RequestMb(model));
    }
    least = std::min(least, calls);
  }
  return least;
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

TEST(LayerReplicator, MostTargetsOfTheDeploymentMayBeLostWithoutALayer) {
  // In a single chain each of the 38 targets alone holds its layers.
  Targets targets = bbv_test::MakePlacedZones();
  Apply(LayerReplicator::Plan(model, targets, kNoLimit), &targets);
  CHECK(FitsMemory(model, targets));
  CHECK(CountLoneHolders(model, targets) <= 19);
}

TEST(LayerReplicator, LeavesRequestsHalfOfTheMemoryBesideOneCopy) {
  Targets targets = bbv_test::MakePlacedZones();
  Apply(LayerReplicator::Plan(model, targets, kNoLimit), &targets);
  for (const char* zone : {"a", "b", "c"}) {
    double memory = 0;
    double layers = 0;
    for (const PlannerTarget& it : targets) {
      if (it.zone != zone)
        continue;
      memory += model.FindKind(it.accelerator)->memory_mb;
      layers += it.layers->size() * model.layer_mb;
    }
    const double beside_one = memory - model.layers * model.layer_mb;
    CHECK(memory - layers >= 0.45 * beside_one);
  }
}

TEST(LayerReplicator, ChangesNothingWithoutACause) {
  Targets targets = bbv_test::MakePlacedZones();
  for (int step = 0; step < 20; ++step) {
    const auto changes = LayerReplicator::Plan(model, targets, kNoLimit);
    if (changes.empty())
      break;
    CHECK(step < 10);
    Apply(changes, &targets);
  }
  CHECK(LayerPlanner::Plan(model, targets).empty());
}

TEST(LayerReplicator, KeepsToTheNumberOfChanges) {
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
  CHECK_EQUAL(0, CountLoneHolders(model, targets));
}

TEST(LayerReplicator, TakesNoMemoryThatRequestsUse) {
  Targets targets = bbv_test::MakePlacedZones();
  for (PlannerTarget& it : targets) {
    const double free_mb = model.FindKind(it.accelerator)->memory_mb -
                           it.layers->size() * model.layer_mb;
    it.used_token_layers =
        free_mb * 1e6 / (model.kv_bytes_per_token / model.layers) * 0.8;
  }
  CHECK(LayerReplicator::Plan(model, targets, kNoLimit).empty());
}

TEST(LayerReplicator, ACrowdedTargetIsRelievedInTwoSteps) {
  // A repair has left one target with as many layers as it can hold; beside it
  // stand targets with room.
  model.layers = 24;
  Targets targets = {{"a", "z", "middle", LayerRange{0, 6}},
                     {"b", "z", "middle", LayerRange{6, 17}},
                     {"c", "z", "middle", LayerRange{17, 22}},
                     {"d", "z", "small", LayerRange{22, 24}}};
  const Targets before = targets;
  Apply(LayerReplicator::Plan(model, targets, kNoLimit), &targets);
  CHECK(targets[1].layers->Holds(*before[1].layers));
  Apply(LayerReplicator::Plan(model, targets, kNoLimit), &targets);
  CHECK(targets[1].layers->size() < before[1].layers->size());
  CHECK(HoldsCopy(model, targets, "z"));
}

TEST(LayerReplicator, LeavesZonesThatLackLayersToThePlanner) {
  Targets targets = bbv_test::MakePlacedZones();
  Targets broken;
  for (const PlannerTarget& it : targets) {
    if (it.zone == "b" && it.layers->from != 0)
      broken.push_back(it);
  }
  CHECK(LayerReplicator::Plan(model, broken, kNoLimit).empty());
}

TEST(LayerReplicator, DrawnDeploymentsKeepEveryLayerThroughLossesAndRepairs) {
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
      // While orders are carried out, layers that are kept stay in use.
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

// Load: a zone whose memory holds 900 calls, while each target takes 192 calls
// that begin there.
TEST(LayerReplicator, AZoneWithMemoryForManyCallsHasTargetsForThemToBeginAt) {
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
  CHECK_EQUAL(0, CountLoneHolders(model, targets));
  const auto beginners = std::count_if(
      targets.begin(), targets.end(),
      [](const auto& it) { return it.layers && it.layers->from == 0; });
  CHECK(beginners >= 4);
}

// Load: a zone of two large targets and seven smaller ones, whose callers need
// memory for 80 calls at once. The large ones alone held so many layers that
// they had room for 66, while the others had room for 500.
TEST(LayerReplicator, LayersHeldOnceLeaveMemoryForAsManyCallsAsThoseHeldTwice) {
  model.kinds = {{"large", 72000, 2.4, 3.2},
                 {"middle", 43200, 5.6, 2.7},
                 {"small", 21600, 16, 8.2}};
  model.kv_bytes_per_token = 918000;
  model.usual_answer_tokens = 200;
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
  CHECK(CountLoneHolders(model, targets) <= 2);
  CHECK(CallsWithMemory(model, targets) >= 100);
}
