#include "bbv_fleet/path_chooser.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "tests/fleet_fixtures.h"

using bbv::EnginePath;
using bbv::FleetTarget;
using bbv::Instant;
using bbv::PathFailure;
using bbv::PathQuery;

TEST_GROUP(PathChooser) {
  bbv::EngineModel model = bbv_test::MakeModel();
  bbv::TargetRegistry registry;
  bbv::PathChooser chooser{&registry};
  Instant now{};
  PathFailure failure = PathFailure::kNone;

  void setup() override {
    now = Instant() + bbv::Milliseconds(1000);
    bbv_test::ListThreeZones(&registry, now);
  }

  PathQuery MakeQuery(const char* zone) {
    PathQuery query;
    query.service = "engine";
    query.zone = zone;
    query.tokens = 900;
    return query;
  }

  EnginePath Choose(const char* zone, uint64_t random_value) {
    PathQuery query = MakeQuery(zone);
    query.random_value = random_value;
    return chooser.Choose(model, query, now, &failure);
  }

  // Checks that the path runs every layer once and in order, on targets that
  // hold it, and uses each target once.
  void CheckComplete(const EnginePath& path) {
    int layer = 0;
    std::set<const FleetTarget*> seen;
    for (const bbv::Hop& it : path.hops) {
      CHECK_EQUAL(layer, it.layers.from);
      CHECK(it.target->record.layers->Contains(it.layers));
      CHECK(seen.insert(it.target).second);
      layer = it.layers.to;
    }
    CHECK_EQUAL(model.layers, layer);
  }

  std::vector<bbv::CurrentHop> HopsOf(const EnginePath& path) {
    std::vector<bbv::CurrentHop> hops;
    for (const bbv::Hop& it : path.hops)
      hops.push_back({it.target->record.id, it.layers});
    return hops;
  }

  std::set<std::string> ZonesOf(const EnginePath& path) {
    std::set<std::string> zones;
    for (const bbv::Hop& it : path.hops)
      zones.insert(it.target->record.zone);
    return zones;
  }
};

TEST(PathChooser, StaysInTheCallersZone) {
  for (uint64_t random_value = 0; random_value < 50; ++random_value) {
    const EnginePath path = Choose("b", random_value);
    CheckComplete(path);
    CHECK(ZonesOf(path) == std::set<std::string>{"b"});
  }
}

TEST(PathChooser, LeavesAZoneThatLostATarget) {
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.zone == "b") {
      registry.Suspect(registry.Find(id), now);
      break;
    }
  }
  const EnginePath path = Choose("b", 1);
  CheckComplete(path);
  CHECK(!ZonesOf(path).contains("b"));
  CHECK_EQUAL(1, static_cast<int>(ZonesOf(path).size()));
}

TEST(PathChooser, CrossesZonesOnlyWhenNoneHoldsAllLayers) {
  std::set<std::string> broken;
  for (const auto& [id, row] : registry.rows()) {
    // One target of each zone, each with different layers.
    const auto& layers = *row->record.layers;
    const bool wanted =
        (row->record.zone == "a" && layers.from == 0) ||
        (row->record.zone == "b" && layers.to == model.layers) ||
        (row->record.zone == "c" && layers.Contains({39, 40}));
    if (wanted && broken.insert(row->record.zone).second)
      registry.Suspect(registry.Find(id), now);
  }
  CHECK_EQUAL(3, static_cast<int>(broken.size()));
  const EnginePath path = Choose("a", 1);
  CheckComplete(path);
  CHECK(ZonesOf(path).size() > 1);
  // Links without free bandwidth are not crossed; the failure is not reported
  // as missing layers.
  PathQuery query = MakeQuery("a");
  query.allow_zone_crossing = false;
  CHECK(chooser.Choose(model, query, now, &failure).empty());
  CHECK(failure == PathFailure::kCrossing);
}

// Every zone holds all layers, but prompts are queued at different hops in
// each. Guards against a refusal that blames the links between the zones.
TEST(PathChooser, NamesTheQueuedPromptsOfWholeZones) {
  for (const auto& [id, row] : registry.rows()) {
    const auto& layers = *row->record.layers;
    if ((row->record.zone == "a" && layers.from == 0) ||
        (row->record.zone == "b" && layers.to == model.layers) ||
        (row->record.zone == "c" && layers.Contains({39, 40})))
      row->own_unread_tokens = 1e6;
  }
  PathQuery query = MakeQuery("a");
  query.max_backlog_ms = 100;
  CheckComplete(chooser.Choose(model, query, now, &failure));
  query.allow_zone_crossing = false;
  CHECK(chooser.Choose(model, query, now, &failure).empty());
  CHECK(failure == PathFailure::kUnreadPrompts);
}

TEST(PathChooser, ComputesHowLongAPromptOccupiesLinksBetweenZones) {
  model.activation_bytes = 16'400;
  model.zone_link_mbps = 2'080;
  EnginePath path = Choose("a", 1);
  DOUBLES_EQUAL(0, bbv::PathChooser::LinkMs(model, path, 760), 1e-9);
  path.hops[1].target = Choose("b", 1).hops[1].target;
  DOUBLES_EQUAL(2 * 47.9, bbv::PathChooser::LinkMs(model, path, 760), 0.1);
}

TEST(PathChooser, DistinguishesMissingMemoryFromMissingLayers) {
  PathQuery query;
  query.service = "engine";
  query.zone = "a";
  query.tokens = 1e9;
  CHECK(chooser.Choose(model, query, now, &failure).empty());
  CHECK(failure == PathFailure::kMemory);
  std::vector<std::string> ids;
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.layers->from == 0)
      ids.push_back(id);
  }
  for (const std::string& id : ids)
    registry.Remove(id);
  query.tokens = 1;
  CHECK(chooser.Choose(model, query, now, &failure).empty());
  CHECK(failure == PathFailure::kLayersMissing);
}

TEST(PathChooser, MovesToAnotherZoneBeforeMemoryIsFull) {
  // The streams held by the callers of one zone keep growing in number. All are
  // placed on targets with free memory; other zones take what this one cannot.
  int placed = 0;
  std::set<std::string> zones;
  while (true) {
    const EnginePath path = Choose("c", static_cast<uint64_t>(placed));
    if (path.empty())
      break;
    for (const bbv::Hop& it : path.hops) {
      it.target->own_token_layers += 900.0 * it.layers.size();
      CHECK(it.target->own_token_layers <=
            bbv::PathChooser::CapacityTokenLayers(model, *it.target));
    }
    zones.merge(ZonesOf(path));
    ++placed;
  }
  CHECK(failure == PathFailure::kMemory);
  CHECK_EQUAL(3, static_cast<int>(zones.size()));
  CHECK(placed > 500);
}

TEST(PathChooser, LeavesOutTargetsWithMoreUnreadPromptsThanACallCanAwait) {
  // An engine prefills twelve times slower than usual while the calls of every
  // zone keep arriving. Calls that no zone can prefill in time must be told
  // immediately that there is no capacity instead of queueing behind the
  // others.
  PathQuery query = MakeQuery("b");
  query.max_backlog_ms = 600;
  int placed = 0;
  for (; placed < 10'000; ++placed) {
    query.random_value = static_cast<uint64_t>(placed);
    const EnginePath path = chooser.Choose(model, query, now, &failure);
    if (path.empty())
      break;
    for (const bbv::Hop& it : path.hops)
      it.target->own_unread_tokens += 760;
  }
  CHECK(failure == PathFailure::kUnreadPrompts);
  // The slowest hop of each zone takes 1.8 to 3 ms to prefill the prompt of a
  // call.
  CHECK(placed > 3 * 150);
  CHECK(placed < 3 * 600);
  query.max_backlog_ms = 0;
  CHECK(!chooser.Choose(model, query, now, &failure).empty());
}

TEST(PathChooser, RerouteReplacesOnlyTheLostHop) {
  // Every target of the zone has a twin that holds the same layers.
  std::vector<bbv::TargetRecord> twins;
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.zone != "b")
      continue;
    bbv::TargetRecord twin = row->record;
    twin.id += "-twin";
    twin.address = "127.0.0.2:" + std::to_string(9000 + twins.size());
    twins.push_back(twin);
  }
  for (const bbv::TargetRecord& it : twins)
    registry.Apply(it, now);
  const EnginePath path = Choose("b", 3);
  const std::vector<bbv::CurrentHop> current = HopsOf(path);
  for (std::size_t lost = 1; lost < current.size(); ++lost) {
    const std::vector<std::string> excluded = {current[lost].target_id};
    PathQuery query = MakeQuery("b");
    query.excluded = &excluded;
    const EnginePath rerouted = chooser.Reroute(model, query, current, now);
    CheckComplete(rerouted);
    CHECK_EQUAL(current.size(), rerouted.hops.size());
    for (std::size_t it = 0; it < current.size(); ++it) {
      if (it == lost)
        CHECK(rerouted.hops[it].target->record.id != current[it].target_id);
      else
        STRCMP_EQUAL(current[it].target_id.c_str(),
                     rerouted.hops[it].target->record.id.c_str());
    }
  }
}

TEST(PathChooser, FindsNoRerouteWhenNoOtherTargetHoldsTheLayers) {
  const EnginePath path = Choose("b", 3);
  const std::vector<bbv::CurrentHop> current = HopsOf(path);
  const std::vector<std::string> excluded = {current[1].target_id};
  PathQuery query = MakeQuery("b");
  query.excluded = &excluded;
  CHECK(chooser.Reroute(model, query, current, now).empty());
}

TEST(PathChooser, FindsNothingBeforeAnyTargetIsListed) {
  bbv::TargetRegistry empty;
  const bbv::PathChooser empty_chooser(&empty);
  PathQuery query = MakeQuery("a");
  CHECK(empty_chooser.Choose(model, query, now, &failure).empty());
  CHECK(failure == PathFailure::kLayersMissing);
}

// Guards against streams that queue at a target without free slots while other
// targets that hold the first layers have some. Occurs with more streams than a
// zone's targets have slots.
TEST(PathChooser, ChoosesAFirstHopWithFreeSlots) {
  model.first_hop_slots = 192;
  std::vector<FleetTarget*> first;
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.layers->from == 0)
      first.push_back(registry.Find(id));
  }
  for (FleetTarget* it : first) {
    if (it->record.zone == "b")
      it->peer_calls = 192;
  }
  const EnginePath path = Choose("b", 1);
  CheckComplete(path);
  CHECK(!ZonesOf(path).contains("b"));
  for (FleetTarget* it : first)
    it->own_calls = 192;
  CHECK(Choose("b", 1).empty());
  CHECK(failure == PathFailure::kFirstSlots);
}

// Guards against reporting full targets as missing layers: calls must wait for
// capacity instead of being told that there is no target. Occurs when the
// output grows longer than the callers announced.
TEST(PathChooser, AnOvercommittedTargetLacksCapacityAndNotLayers) {
  for (const auto& [id, row] : registry.rows())
    registry.Find(id)->own_token_layers = 1e12;
  CHECK(Choose("b", 1).empty());
  CHECK(failure == PathFailure::kMemory);
}

// Guards against paths with more hops than necessary. A target that always has
// a pass in progress delays each token by about half a pass, however few of its
// layers the path uses.
TEST(PathChooser, BusyTargetsAreNotUsedForAFewOfTheirLayers) {
  bbv::TargetRegistry busy;
  const auto add = [&](int from, int to) {
    std::string id = "i-";
    id += std::to_string(from);
    bbv::TargetRecord record = bbv_test::MakeRecord(id, "engine", "a");
    record.id += "-" + std::to_string(to);
    record.accelerator = "middle";
    record.layers = bbv::LayerRange{from, to};
    busy.Apply(record, now);
    busy.Find(record.id)->own_calls = 100;
  };
  model.layers = 16;
  // Two sets of targets whose layer ranges overlap.
  for (const int it : {0, 4, 8, 12})
    add(it, it + 4);
  for (const int it : {2, 6, 10})
    add(it, it + 4);
  const bbv::PathChooser busy_chooser(&busy);
  for (uint64_t random_value = 0; random_value < 50; ++random_value) {
    PathQuery query = MakeQuery("a");
    query.random_value = random_value;
    const EnginePath path = busy_chooser.Choose(model, query, now, &failure);
    CheckComplete(path);
    CHECK_EQUAL(4, static_cast<int>(path.hops.size()));
  }
}

// Guards against reporting targets that rejected a call a moment ago as missing
// layers. Occurs after a restart of the entries: all callers come at once, and
// the few targets of a layer reject some of them.
TEST(PathChooser, TargetsThatJustRejectedCallsAreNotMissingLayers) {
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.layers->from == 0)
      registry.MarkFull(registry.Find(id), now);
  }
  CHECK(Choose("b", 1).empty());
  CHECK(failure == PathFailure::kMemory);
  now += bbv::Milliseconds(300);
  CheckComplete(Choose("b", 1));
}

// Guards against calls that stay in a zone and miss their objective. After a
// restart the callers of one zone come all at once: each of its hops alone
// would prefill a prompt in time, all of them together would not, while the
// other zones are idle.
TEST(PathChooser, CallsLeaveAZoneWhosePromptsWouldMakeThemLate) {
  PathQuery query = MakeQuery("b");
  query.prompt_tokens = 760;
  query.objective_ms = 500;
  query.max_backlog_ms = 500;
  EnginePath path = chooser.Choose(model, query, now, &failure);
  CHECK(ZonesOf(path).contains("b"));
  CHECK(path.prefill_ms < query.objective_ms);
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.zone == "b")
      registry.Find(id)->own_unread_tokens = 14'000;
  }
  path = chooser.Choose(model, query, now, &failure);
  CheckComplete(path);
  CHECK(!ZonesOf(path).contains("b"));
  CHECK(path.prefill_ms <= query.objective_ms);
  // If every path is late, one of them is used nevertheless.
  query.max_backlog_ms = 0;
  for (const auto& [id, row] : registry.rows())
    registry.Find(id)->own_unread_tokens = 100'000;
  path = chooser.Choose(model, query, now, &failure);
  CheckComplete(path);
  CHECK(path.prefill_ms > query.objective_ms);
}

namespace {

// Names a limit, of which this entry has no share, at the first targets of all
// paths.
void LimitFirstTargets(bbv::TargetRegistry* registry, Instant now) {
  for (const auto& [id, row] : registry->rows()) {
    if (row->record.layers && row->record.layers->from == 0)
      row->rate_limit.RecordResponse(2, now, now);
  }
}

}  // namespace

// Only the first target of a path receives a request of an entry.
TEST(PathChooser, TargetWhoseRateLimitIsUsedUpStartsNoPathButIsALaterHop) {
  const EnginePath usual = Choose("a", 1);
  FleetTarget* first = usual.hops.front().target;
  for (const auto& [id, row] : registry.rows()) {
    if (row->record.layers && row->record.layers->from > 0)
      row->rate_limit.RecordResponse(2, now, now);
  }
  CHECK(Choose("a", 1).hops.front().target == first);
  first->rate_limit.RecordResponse(2, now, now);
  for (uint64_t it = 0; it < 50; ++it) {
    const EnginePath path = Choose("a", it);
    CheckComplete(path);
    CHECK(path.hops.front().target != first);
  }
  // The order that changes the path would be a request to its first target.
  CHECK(chooser.Reroute(model, MakeQuery("a"), HopsOf(usual), now).empty());
}

TEST(PathChooser, RateLimitsOfAllFirstTargetsAreNamedAsTheCause) {
  LimitFirstTargets(&registry, now);
  CHECK(Choose("a", 1).empty());
  CHECK(failure == PathFailure::kRateLimit);
}
