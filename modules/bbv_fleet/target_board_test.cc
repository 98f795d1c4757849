#include "bbv_fleet/target_board.h"

#include <CppUTest/TestHarness.h>

#include "bbv_fleet/fleet_index.h"
#include "tests/fleet_fixtures.h"

using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetBoard) {
  bbv::TargetBoard board;
  Instant now = Instant() + Milliseconds(1000);
  bbv::TargetRecord record = bbv_test::MakeRecord("t", "s", "a");

  void setup() override {
    board.Apply(record, now);
  }
  bool Usable(Milliseconds after) {
    return board.IsUsable(*board.Find("t"), now + after);
  }
};

TEST(TargetBoard, ASuspectedTargetReturnsWithALaterHeartbeat) {
  board.Suspect(board.Find("t"), now);
  CHECK(!Usable(Milliseconds(700)));
  ++record.heartbeat;
  board.Apply(record, now + Milliseconds(650));
  CHECK(Usable(Milliseconds(700)));
}

TEST(TargetBoard, AListOutageDoesNotExcludeASuspectedTargetForEver) {
  board.Suspect(board.Find("t"), now);
  CHECK(!Usable(Milliseconds(3000)));
  CHECK(Usable(Milliseconds(6000)));
}

TEST(TargetBoard, SuspicionsInARowLastLonger) {
  const Instant first = board.Suspect(board.Find("t"), now);
  ++record.heartbeat;
  board.Apply(record, first);
  const Instant second = board.Suspect(board.Find("t"), first);
  CHECK(second - first > first - now);
}

TEST(TargetBoard, ALeavingTargetAcceptsNoCalls) {
  record.leaving = true;
  board.Apply(record, now);
  CHECK(!Usable(Milliseconds(0)));
}

TEST(TargetBoard, ARestartUnderTheSameIdClearsTheSuspicion) {
  board.Suspect(board.Find("t"), now);
  record.started_unix_ms = 2;
  board.Apply(record, now);
  CHECK(Usable(Milliseconds(0)));
}

TEST(TargetBoard, TargetsThatAreNotListedAgainAreRemoved) {
  board.Apply(bbv_test::MakeRecord("u", "s", "a"), now + Milliseconds(10));
  const auto removed = board.RemoveUnlistedSince(now + Milliseconds(5));
  CHECK_EQUAL(1, static_cast<int>(removed.size()));
  CHECK(board.Find("t") == nullptr);
  CHECK(board.Find("u") != nullptr);
}

TEST_GROUP(FleetIndex){};

TEST(FleetIndex, TheLongestPrefixOfTheHostWins) {
  bbv::FleetConfiguration configuration;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    bbv::ServiceRoute route;
    route.host = "h";
    route.path_prefix = prefix;
    route.services = {{"s", 1}};
    configuration.routes.push_back(route);
  }
  const bbv::FleetIndex index(configuration);
  STRCMP_EQUAL("/a/b/", index.FindRoute("h", "/a/b/c")->path_prefix.c_str());
  STRCMP_EQUAL("/a/", index.FindRoute("h", "/a/bc")->path_prefix.c_str());
  STRCMP_EQUAL("/", index.FindRoute("h", "/x")->path_prefix.c_str());
  CHECK(index.FindRoute("other", "/a/b/c") == nullptr);
}

TEST(FleetIndex, WeightsDivideTheCalls) {
  bbv::ServiceRoute route;
  route.services = {{"s", 9}, {"t", 1}};
  int second = 0;
  for (uint64_t random_value = 0; random_value < 100; ++random_value)
    second += bbv::FleetIndex::PickService(route, random_value) == "t" ? 1 : 0;
  CHECK_EQUAL(10, second);
}

TEST(TargetBoard, AFullTargetKeepsItsLayersButAcceptsNoNewCalls) {
  // A lack of memory after a burst of callers must not count as a crash.
  board.MarkFull(board.Find("t"), now);
  CHECK(!board.AcceptsCalls(*board.Find("t"), now));
  CHECK(Usable(Milliseconds(0)));
  CHECK(board.AcceptsCalls(*board.Find("t"), now + Milliseconds(300)));
}

TEST(TargetBoard, RefusalsDespiteFreeMemoryIndicateALeavingTarget) {
  // The list is not available and cannot report that the target is draining.
  bbv::FleetTarget* target = board.Find("t");
  CHECK(!board.RecordRefusal(target, true, now));
  CHECK(board.RecordRefusal(target, true, now + Milliseconds(400)));
}

TEST(TargetBoard, RefusalsForLackOfMemoryDoNotIndicateALeavingTarget) {
  bbv::FleetTarget* target = board.Find("t");
  for (int it = 0; it < 5; ++it)
    CHECK(!board.RecordRefusal(target, false, now + Milliseconds(300 * it)));
  CHECK(!board.RecordRefusal(target, true, now + Milliseconds(1500)));
  CHECK(!board.RecordRefusal(target, true, now + Milliseconds(9000)));
}

TEST(TargetBoard, ANewStartAtAnAddressReplacesTheOldOne) {
  // The old record stays listed for some heartbeats, or for as long as the
  // store is not available.
  bbv::TargetRecord next = bbv_test::MakeRecord("next", "s", "a");
  next.address = record.address;
  next.started_unix_ms = record.started_unix_ms + 5000;
  board.Apply(next, now);
  CHECK(board.Find("t") == nullptr);
  CHECK(board.FindAddress(record.address) == board.Find("next"));
  board.Apply(record, now);
  CHECK(board.Find("t") == nullptr);
  CHECK(board.FindAddress(record.address) == board.Find("next"));
}

TEST(TargetBoard, ALeavingAnnouncementOverridesTheList) {
  CHECK(board.MarkLeaving("t", record.started_unix_ms));
  CHECK_FALSE(board.MarkLeaving("t", record.started_unix_ms));
  CHECK(!Usable(Milliseconds(0)));
  ++record.heartbeat;
  board.Apply(record, now);
  CHECK(!Usable(Milliseconds(9000)));
  // This also holds if the row was removed meanwhile, as during a store outage.
  board.Remove("t");
  ++record.heartbeat;
  board.Apply(record, now);
  CHECK(!Usable(Milliseconds(0)));
  // A new start under the same id counts as another target.
  record.started_unix_ms = 2;
  board.Apply(record, now);
  CHECK(Usable(Milliseconds(0)));
}

TEST(TargetBoard, ALeavingAnnouncementMayPrecedeTheListing) {
  CHECK(board.MarkLeaving("u", 1));
  board.Apply(bbv_test::MakeRecord("u", "s", "a"), now);
  CHECK(!board.IsUsable(*board.Find("u"), now));
  // An announcement of an earlier start does not apply to a later one.
  CHECK_FALSE(board.MarkLeaving("t", 0));
  CHECK(Usable(Milliseconds(0)));
}

// Guards against calls to targets that left: a store restored from an older
// backup lists targets that have left since.
TEST(TargetBoard, AnOlderCopyOfTheListChangesNothing) {
  record.heartbeat = 7;
  record.leaving = true;
  board.Apply(record, now);
  bbv::TargetRecord copy = record;
  copy.heartbeat = 5;
  copy.leaving = false;
  CHECK_FALSE(board.Apply(copy, now));
  CHECK(!Usable(Milliseconds(0)));
  board.Remove("t");
  CHECK_FALSE(board.Apply(copy, now));
  CHECK(board.Find("t") == nullptr);
  // A record written after the removal proves that the target is alive and
  // still leaving.
  copy.heartbeat = 8;
  CHECK(board.Apply(copy, now));
  CHECK(!Usable(Milliseconds(0)));
}

TEST(TargetBoard, ARemovedTargetThatIsAliveReturnsWithItsNextHeartbeat) {
  record.heartbeat = 3;
  board.Apply(record, now);
  board.Remove("t");
  CHECK_FALSE(board.Apply(record, now));
  ++record.heartbeat;
  CHECK(board.Apply(record, now));
  CHECK(Usable(Milliseconds(0)));
}

// Guards against ignoring a live target: a list restored from a backup lacks a
// target until it writes its next record.
TEST(TargetBoard, ATargetThatWasOnlyMissingReturnsAsItWas) {
  board.RemoveUnlistedSince(now + Milliseconds(1));
  CHECK(board.Find("t") == nullptr);
  CHECK(board.Apply(record, now + Milliseconds(2)));
  CHECK(Usable(Milliseconds(2)));
}

TEST(TargetBoard, ATargetInBackoffAcceptsNoCallsUntilItEnds) {
  bbv::FleetTarget* target = board.Find("t");
  board.SetBackoff(target, now + Milliseconds(4000));
  board.SetBackoff(target, now + Milliseconds(1000));
  CHECK(!board.AcceptsCalls(*target, now + Milliseconds(3999)));
  CHECK(board.AcceptsCalls(*target, now + Milliseconds(4000)));
  CHECK(board.EarliestBackoffEnd("s", now) == now + Milliseconds(4000));
  // The backoff survives the removal of the row.
  board.Remove("t");
  ++record.heartbeat;
  board.Apply(record, now);
  CHECK(!board.AcceptsCalls(*board.Find("t"), now + Milliseconds(3999)));
  CHECK(!board.EarliestBackoffEnd("s", now + Milliseconds(4000)).has_value());
}
