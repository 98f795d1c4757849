#include "bbv_fleet/target_selector.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::CallDispatch;
using bbv::CallEnd;
using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetSelector) {
  bbv::TargetBoard board;
  bbv::TargetSelector selector{&board, "a"};
  bbv::ServiceRoute route;
  bbv::CallRequest request;
  Instant now = Instant() + Milliseconds(1000);
  CallEnd end = CallEnd::kNoTarget;

  bbv::FleetIndex MakeIndex() {
    bbv::FleetConfiguration configuration;
    configuration.services = {{"engine", 968, bbv_test::MakeModel()},
                              {"plain", 96, std::nullopt}};
    return bbv::FleetIndex(configuration);
  }

  std::optional<CallDispatch> Select(const bbv::FleetIndex& index,
                                     uint64_t draw) {
    request.route = &route;
    return selector.Select(index, request, {}, draw, now, &end);
  }
};

TEST(TargetSelector, CallsThatComeAtOnceAreSpreadOverTheCopies) {
  // Eighty streams lose their path at one moment, as when a server crashes:
  // read one after the other on one copy, the last would wait for 200 ms.
  bbv_test::ListThreeZones(&board, now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "engine";
  request.prompt_tokens = 760;
  request.answer_tokens = 146;
  std::map<std::string, int> zones;
  for (uint64_t it = 0; it < 80; ++it) {
    const auto dispatch = Select(index, it);
    CHECK(dispatch.has_value());
    selector.Begin(*dispatch, now);
    ++zones[board.Find(dispatch->target_id)->record.zone];
  }
  CHECK_EQUAL(3, static_cast<int>(zones.size()));
  for (const auto& [zone, n] : zones)
    CHECK(n >= 10);
  for (const auto& [id, row] : board.rows())
    CHECK(row->reading_until <= now + Milliseconds(200));
}

TEST(TargetSelector, PlainCallsGoToTheTargetWithTheLeastWait) {
  for (const char* id : {"p", "q", "r"})
    board.Apply(bbv_test::MakeRecord(id, "plain", "a"), now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "plain";
  std::map<std::string, int> calls;
  for (uint64_t it = 0; it < 18; ++it) {
    const auto dispatch = Select(index, it);
    selector.Begin(*dispatch, now);
    ++calls[dispatch->target_id];
  }
  for (const auto& [id, n] : calls)
    CHECK_EQUAL(6, n);
}

TEST(TargetSelector, FullPlainTargetsTurnCallsAwayAtOnce) {
  board.Apply(bbv_test::MakeRecord("p", "plain", "a"), now);
  const bbv::FleetIndex index = MakeIndex();
  request.service = "plain";
  int taken = 0;
  while (const auto dispatch = Select(index, 1)) {
    selector.Begin(*dispatch, now);
    ++taken;
  }
  CHECK(end == CallEnd::kNoRoom);
  CHECK(taken >= 6);
  CHECK(taken <= 12);
}
