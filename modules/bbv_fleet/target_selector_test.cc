#include "bbv_fleet/target_selector.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::CallDispatch;
using bbv::CallEndReason;
using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetSelector) {
  bbv::TargetRegistry registry;
  bbv::TargetSelector selector{&registry, "a"};
  bbv::ServiceRoute route;
  bbv::CallRequest request;
  Instant now = Instant() + Milliseconds(1000);
  CallEndReason end = CallEndReason::kNoTarget;

  bbv::FleetIndex MakeIndex() {
    bbv::FleetConfiguration configuration;
    configuration.services = {{"engine", 968, bbv_test::MakeModel()},
                              {"plain", 96, std::nullopt}};
    return bbv::FleetIndex(configuration);
  }

  std::optional<CallDispatch> Select(const bbv::FleetIndex& index,
                                     uint64_t random_value) {
    request.route = &route;
    return selector.Select(index, request, {}, random_value, now, &end);
  }
};

TEST(TargetSelector, SimultaneousCallsAreSpreadOverTheCopies) {
  // Eighty streams lose their path at once, as when a server crashes: prefilled
  // one after the other on one copy, the last would wait for 200 ms.
  bbv_test::ListThreeZones(&registry, now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "engine";
  request.prompt_tokens = 760;
  request.output_tokens = 146;
  std::map<std::string, int> zones;
  for (uint64_t it = 0; it < 80; ++it) {
    const auto dispatch = Select(index, it);
    CHECK(dispatch.has_value());
    selector.AddInFlight(*dispatch);
    ++zones[registry.Find(dispatch->target_id)->record.zone];
  }
  CHECK_EQUAL(3, static_cast<int>(zones.size()));
  for (const auto& [zone, n] : zones)
    CHECK(n >= 10);
}

TEST(TargetSelector, EntriesThatResendSimultaneouslyDoNotChooseTheSameCopy) {
  // A crash moves the streams of 22 entries, five each, before any entry learns
  // of the others' choices. No copy may get more than half of them.
  constexpr int kEntries = 22;
  constexpr int kStreams = 5;
  bbv_test::ListThreeZones(&registry, now);
  const std::vector<std::string> excluded = {"lost"};
  const bbv::FleetIndex index = MakeIndex();
  request.service = "engine";
  request.prompt_tokens = 760;
  request.output_tokens = 146;
  request.route = &route;
  std::map<std::string, int> zones;
  for (int entry = 0; entry < kEntries; ++entry) {
    bbv::TargetRegistry own;
    for (const auto& [id, row] : registry.rows())
      own.Apply(row->record, now);
    bbv::TargetSelector own_selector(&own, "a");
    own_selector.SetEntries(kEntries);
    for (uint64_t it = 0; it < kStreams; ++it) {
      const auto dispatch = own_selector.Select(
          index, request, excluded, it * 977 + static_cast<uint64_t>(entry),
          now, &end);
      CHECK(dispatch.has_value());
      own_selector.AddInFlight(*dispatch);
      ++zones[own.Find(dispatch->target_id)->record.zone];
    }
  }
  for (const auto& [zone, n] : zones)
    CHECK(n <= kEntries * kStreams / 2);
}

TEST(TargetSelector, APrefilledPromptNoLongerCountsAsLoad) {
  bbv_test::ListThreeZones(&registry, now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "engine";
  request.prompt_tokens = 760;
  auto dispatch = Select(index, 1);
  selector.AddInFlight(*dispatch);
  const std::string id = dispatch->target_id;
  CHECK(registry.Find(id)->own_unread_tokens > 0);
  selector.MarkPromptRead(&*dispatch);
  selector.RemoveInFlight(&*dispatch);
  DOUBLES_EQUAL(0, registry.Find(id)->own_unread_tokens, 1e-9);
  CHECK_EQUAL(0, registry.Find(id)->own_calls);
}

TEST(TargetSelector, PlainCallsGoToTheTargetWithTheLeastWait) {
  for (const char* id : {"p", "q", "r"})
    registry.Apply(bbv_test::MakeRecord(id, "plain", "a"), now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "plain";
  std::map<std::string, int> calls;
  for (uint64_t it = 0; it < 18; ++it) {
    const auto dispatch = Select(index, it);
    selector.AddInFlight(*dispatch);
    ++calls[dispatch->target_id];
  }
  for (const auto& [id, n] : calls)
    CHECK_EQUAL(6, n);
}

TEST(TargetSelector, FullPlainTargetsRejectCallsImmediately) {
  registry.Apply(bbv_test::MakeRecord("p", "plain", "a"), now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "plain";
  int taken = 0;
  while (const auto dispatch = Select(index, 1)) {
    selector.AddInFlight(*dispatch);
    ++taken;
  }
  CHECK(end == CallEndReason::kNoRoom);
  CHECK(taken >= 6);
  CHECK(taken <= 12);
}

TEST(TargetSelector, LessUrgentCallsLeaveTheRoomKeptForOthers) {
  bbv_test::ListThreeZones(&registry, now);
  registry.Apply(bbv_test::MakeRecord("p", "plain", "a"), now);
  const bbv::FleetIndex index = MakeIndex();
  request.route = &route;
  route.objective_ms = 500;
  request.prompt_tokens = 760;
  request.output_tokens = 146;
  const bbv::RoomLimits limits = {200, 0.1, 0.4};
  for (const char* service : {"engine", "plain"}) {
    request.service = service;
    uint64_t n = 0;
    while (const auto dispatch =
               selector.Select(index, request, {}, ++n, now, &end, limits))
      selector.AddInFlight(*dispatch);
    CHECK(end == CallEndReason::kNoRoom);
    CHECK(n > 5);
    CHECK_TRUE(Select(index, n).has_value());
  }
}

TEST(TargetSelector, PlainCallsAvoidTargetsWhoseRateLimitIsUsedUp) {
  constexpr int kTargets = 3;
  for (int it = 0; it < kTargets; ++it) {
    bbv::TargetRecord record;
    record.id = "plain-" + std::to_string(it);
    record.service = "plain";
    record.address = "10.0.0.1:" + std::to_string(9000 + it);
    record.zone = "a";
    record.slots = 6;
    registry.Apply(record, now);
  }
  const bbv::FleetIndex index = MakeIndex();
  request.service = "plain";
  registry.Find("plain-0")->rate_limit.RecordResponse(2, now, now);
  for (uint64_t it = 0; it < 30; ++it) {
    const auto dispatch = Select(index, it * 0x9e3779b97f4a7c15ULL);
    CHECK(dispatch.has_value() && dispatch->target_id != "plain-0");
  }
  registry.Find("plain-1")->rate_limit.RecordResponse(2, now, now);
  registry.Find("plain-2")->rate_limit.RecordResponse(2, now, now);
  // No request is left soon: waiting would not help.
  CHECK_FALSE(Select(index, 1).has_value());
  CHECK(end == CallEndReason::kRateLimit);
  // The whole limit is this entry's: the next request is due in 0.66 s, and
  // within the time that calls wait once some of it has passed.
  registry.Find("plain-1")->rate_limit.SetShare(1, Milliseconds(0), now);
  CHECK_FALSE(Select(index, 1).has_value());
  CHECK(end == CallEndReason::kRateLimit);
  now += Milliseconds(400);
  CHECK_FALSE(Select(index, 1).has_value());
  CHECK(end == CallEndReason::kNoRoom);
  now += Milliseconds(300);
  CHECK_TRUE(Select(index, 1).has_value());
}
