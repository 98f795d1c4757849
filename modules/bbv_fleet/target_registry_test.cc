#include "bbv_fleet/target_registry.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "bbv_fleet/fleet_index.h"
#include "tests/fleet_fixtures.h"

using bbv::Instant;
using bbv::Milliseconds;

TEST_GROUP(TargetRegistry) {
  bbv::TargetRegistry registry;
  Instant now = Instant() + Milliseconds(1000);
  bbv::TargetRecord record = bbv_test::MakeRecord("t", "s", "a");

  void setup() override {
    registry.SetServices({"s", "other"});
    registry.Apply(record, now);
  }
  // A record of another writer: a service that no configuration names, at the
  // address of "t", with a later start.
  bbv::TargetRecord MakeForeignRecord() {
    bbv::TargetRecord foreign = bbv_test::MakeRecord("foreign", "unnamed", "a");
    foreign.address = record.address;
    foreign.started_unix_ms = record.started_unix_ms + 5000;
    return foreign;
  }
  bool Usable(Milliseconds after) {
    return registry.IsUsable(*registry.Find("t"), now + after);
  }
};

TEST(TargetRegistry, ASuspectedTargetReturnsWithALaterHeartbeat) {
  registry.Suspect(registry.Find("t"), now);
  CHECK(!Usable(Milliseconds(700)));
  ++record.heartbeat;
  registry.Apply(record, now + Milliseconds(650));
  CHECK(Usable(Milliseconds(700)));
}

TEST(TargetRegistry, AListOutageDoesNotExcludeASuspectedTargetForEver) {
  registry.Suspect(registry.Find("t"), now);
  CHECK(!Usable(Milliseconds(3000)));
  CHECK(Usable(Milliseconds(6000)));
}

TEST(TargetRegistry, ASilentTargetThatAnswersAgainIsNotExcludedForLonger) {
  registry.Suspect(registry.Find("t"), now);
  registry.RecordCheck(registry.Find("t"), false);
  CHECK(!Usable(Milliseconds(700)));
  registry.RecordCheck(registry.Find("t"), true);
  CHECK(!Usable(Milliseconds(500)));
  CHECK(Usable(Milliseconds(700)));
}

TEST(TargetRegistry, AnAnswerDoesNotRefuteASuspicionOfATargetThatWasNotSilent) {
  registry.Suspect(registry.Find("t"), now);
  registry.RecordCheck(registry.Find("t"), true);
  CHECK(!Usable(Milliseconds(700)));
}

TEST(TargetRegistry, AnAnswerInAnEarlierSuspicionDoesNotEndTheNextOne) {
  registry.Suspect(registry.Find("t"), now);
  registry.RecordCheck(registry.Find("t"), false);
  registry.RecordCheck(registry.Find("t"), true);
  registry.Suspect(registry.Find("t"), now + Milliseconds(700));
  CHECK(!Usable(Milliseconds(4000)));
}

TEST(TargetRegistry, SuspicionsInARowLastLonger) {
  const Instant first = registry.Suspect(registry.Find("t"), now);
  ++record.heartbeat;
  registry.Apply(record, first);
  const Instant second = registry.Suspect(registry.Find("t"), first);
  CHECK(second - first > first - now);
}

TEST(TargetRegistry, ALeavingTargetAcceptsNoCalls) {
  record.leaving = true;
  registry.Apply(record, now);
  CHECK(!Usable(Milliseconds(0)));
}

TEST(TargetRegistry, ARestartUnderTheSameIdClearsTheSuspicion) {
  registry.Suspect(registry.Find("t"), now);
  record.started_unix_ms = 2;
  registry.Apply(record, now);
  CHECK(Usable(Milliseconds(0)));
}

TEST(TargetRegistry, TargetsThatAreNotListedAgainAreRemoved) {
  registry.Apply(bbv_test::MakeRecord("u", "s", "a"), now + Milliseconds(10));
  const auto removed = registry.RemoveUnlistedSince(now + Milliseconds(5));
  CHECK_EQUAL(1, static_cast<int>(removed.size()));
  CHECK(registry.Find("t") == nullptr);
  CHECK(registry.Find("u") != nullptr);
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

TEST(FleetIndex, PrioritiesOfAServiceAreComparedOverRoutesAndAccounts) {
  bbv::FleetConfiguration configuration;
  bbv::ServiceRoute route;
  route.services = {{"mixed", 1}, {"alike", 1}};
  route.priority = 1;
  configuration.routes.push_back(route);
  route.services = {{"mixed", 1}};
  route.priority = 2;
  configuration.routes.push_back(route);
  const bbv::FleetIndex without_accounts(configuration);
  CHECK(without_accounts.HasSeveralPriorities("mixed"));
  CHECK(!without_accounts.HasSeveralPriorities("alike"));
  CHECK(!without_accounts.HasSeveralPriorities("unknown"));
  configuration.accounts = {{"first", {}, 1}, {"second", {}, 1}};
  CHECK(bbv::FleetIndex(configuration).HasSeveralPriorities("mixed"));
  CHECK(!bbv::FleetIndex(configuration).HasSeveralPriorities("alike"));
  configuration.accounts.push_back({"third", {}, 0});
  CHECK(bbv::FleetIndex(configuration).HasSeveralPriorities("alike"));
}

TEST(FleetIndex, PrioritiesRankByAccountAndThenByRoute) {
  bbv::FleetConfiguration configuration;
  for (const int priority : {0, 2}) {
    bbv::ServiceRoute route;
    route.services = {{"s", 1}};
    route.priority = priority;
    configuration.routes.push_back(route);
  }
  configuration.accounts = {{"first", {}, 0}, {"second", {}, 1}};
  const bbv::FleetIndex index(configuration);
  const auto rank = [&](int route, int account) {
    const bbv::FleetConfiguration& it = index.configuration();
    return index.PriorityRank("s", it.routes[route], &it.accounts[account]);
  };
  CHECK_EQUAL(0, rank(0, 0));
  CHECK_EQUAL(1, rank(1, 0));
  CHECK_EQUAL(2, rank(0, 1));
  CHECK_EQUAL(3, rank(1, 1));
  CHECK_EQUAL(0,
              index.PriorityRank("unknown", configuration.routes[1], nullptr));
}

TEST(FleetIndex, WeightsDivideTheCalls) {
  bbv::ServiceRoute route;
  route.services = {{"s", 9}, {"t", 1}};
  int second = 0;
  for (uint64_t random_value = 0; random_value < 100; ++random_value)
    second += bbv::FleetIndex::PickService(route, random_value) == "t" ? 1 : 0;
  CHECK_EQUAL(10, second);
}

TEST(TargetRegistry, AFullTargetKeepsItsLayersButAcceptsNoNewCalls) {
  // A lack of memory after a burst of callers must not count as a crash.
  registry.MarkFull(registry.Find("t"), now);
  CHECK(!registry.AcceptsCalls(*registry.Find("t"), now));
  CHECK(Usable(Milliseconds(0)));
  CHECK(registry.AcceptsCalls(*registry.Find("t"), now + Milliseconds(300)));
}

TEST(TargetRegistry, RefusalsDespiteFreeMemoryIndicateALeavingTarget) {
  // The list is not available and cannot report that the target is draining.
  bbv::FleetTarget* target = registry.Find("t");
  CHECK(!registry.RecordRefusal(target, true, now));
  CHECK(registry.RecordRefusal(target, true, now + Milliseconds(400)));
}

TEST(TargetRegistry, RefusalsForLackOfMemoryDoNotIndicateALeavingTarget) {
  bbv::FleetTarget* target = registry.Find("t");
  for (int it = 0; it < 5; ++it)
    CHECK(!registry.RecordRefusal(target, false, now + Milliseconds(300 * it)));
  CHECK(!registry.RecordRefusal(target, true, now + Milliseconds(1500)));
  CHECK(!registry.RecordRefusal(target, true, now + Milliseconds(9000)));
}

TEST(TargetRegistry, ANewStartAtAnAddressReplacesTheOldOne) {
  // The old record stays listed for some heartbeats, or for as long as the
  // store is not available.
  bbv::TargetRecord next = bbv_test::MakeRecord("next", "s", "a");
  next.address = record.address;
  next.started_unix_ms = record.started_unix_ms + 5000;
  registry.Apply(next, now);
  CHECK(registry.Find("t") == nullptr);
  CHECK(registry.FindAddress(record.address) == registry.Find("next"));
  registry.Apply(record, now);
  CHECK(registry.Find("t") == nullptr);
  CHECK(registry.FindAddress(record.address) == registry.Find("next"));
}

TEST(TargetRegistry, RecordOfAnUnnamedServiceTakesNoTargetOutOfUse) {
  const bbv::TargetRecord foreign = MakeForeignRecord();
  registry.Apply(foreign, now);
  CHECK(registry.Find("t") != nullptr);
  CHECK(registry.FindAddress(record.address) == registry.Find("t"));
  // Nor does it keep out a target that is listed after it.
  registry.Remove("t");
  registry.Apply(foreign, now);
  ++record.heartbeat;
  CHECK(registry.Apply(record, now));
  CHECK(registry.FindAddress(record.address) == registry.Find("t"));
  CHECK(Usable(Milliseconds(0)));
}

TEST(TargetRegistry, ListReadBeforeTheConfigurationKeepsTargetsInUse) {
  for (const bool foreign_first : {false, true}) {
    bbv::TargetRegistry unconfigured;
    if (foreign_first)
      unconfigured.Apply(MakeForeignRecord(), now);
    unconfigured.Apply(record, now);
    if (!foreign_first)
      unconfigured.Apply(MakeForeignRecord(), now);
    CHECK(unconfigured.SetServices({"s"}).empty());
    CHECK(unconfigured.Find("t") != nullptr);
    CHECK(unconfigured.FindAddress(record.address) == unconfigured.Find("t"));
  }
}

TEST(TargetRegistry, AddressBelongsToTheLaterStartOnceItsServiceIsNamed) {
  registry.Apply(MakeForeignRecord(), now);
  const std::vector<std::string> removed =
      registry.SetServices({"s", "unnamed"});
  CHECK_EQUAL(1U, removed.size());
  STRCMP_EQUAL("t", removed.front().c_str());
  CHECK(registry.FindAddress(record.address) == registry.Find("foreign"));
}

TEST(TargetRegistry, ALeavingAnnouncementOverridesTheList) {
  CHECK(registry.MarkLeaving("t", record.started_unix_ms));
  CHECK_FALSE(registry.MarkLeaving("t", record.started_unix_ms));
  CHECK(!Usable(Milliseconds(0)));
  ++record.heartbeat;
  registry.Apply(record, now);
  CHECK(!Usable(Milliseconds(9000)));
  // This also holds if the row was removed meanwhile, as during a store outage.
  registry.Remove("t");
  ++record.heartbeat;
  registry.Apply(record, now);
  CHECK(!Usable(Milliseconds(0)));
  // A new start under the same id counts as another target.
  record.started_unix_ms = 2;
  registry.Apply(record, now);
  CHECK(Usable(Milliseconds(0)));
}

TEST(TargetRegistry, ALeavingAnnouncementMayPrecedeTheListing) {
  CHECK(registry.MarkLeaving("u", 1));
  registry.Apply(bbv_test::MakeRecord("u", "s", "a"), now);
  CHECK(!registry.IsUsable(*registry.Find("u"), now));
  // An announcement of an earlier start does not apply to a later one.
  CHECK_FALSE(registry.MarkLeaving("t", 0));
  CHECK(Usable(Milliseconds(0)));
}

// Guards against calls to targets that left: a store restored from an older
// backup lists targets that have left since.
TEST(TargetRegistry, AnOlderCopyOfTheListChangesNothing) {
  record.heartbeat = 7;
  record.leaving = true;
  registry.Apply(record, now);
  bbv::TargetRecord copy = record;
  copy.heartbeat = 5;
  copy.leaving = false;
  CHECK_FALSE(registry.Apply(copy, now));
  CHECK(!Usable(Milliseconds(0)));
  registry.Remove("t");
  CHECK_FALSE(registry.Apply(copy, now));
  CHECK(registry.Find("t") == nullptr);
  // A record written after the removal proves that the target is alive and
  // still leaving.
  copy.heartbeat = 8;
  CHECK(registry.Apply(copy, now));
  CHECK(!Usable(Milliseconds(0)));
}

TEST(TargetRegistry, ARemovedTargetThatIsAliveReturnsWithItsNextHeartbeat) {
  record.heartbeat = 3;
  registry.Apply(record, now);
  registry.Remove("t");
  CHECK_FALSE(registry.Apply(record, now));
  ++record.heartbeat;
  CHECK(registry.Apply(record, now));
  CHECK(Usable(Milliseconds(0)));
}

// Guards against ignoring a live target: a list restored from a backup lacks a
// target until it writes its next record.
TEST(TargetRegistry, ATargetThatWasOnlyMissingReturnsAsItWas) {
  registry.RemoveUnlistedSince(now + Milliseconds(1));
  CHECK(registry.Find("t") == nullptr);
  CHECK(registry.Apply(record, now + Milliseconds(2)));
  CHECK(Usable(Milliseconds(2)));
}

TEST(TargetRegistry, ATargetInBackoffAcceptsNoCallsUntilItEnds) {
  bbv::FleetTarget* target = registry.Find("t");
  registry.SetBackoff(target, now + Milliseconds(4000));
  registry.SetBackoff(target, now + Milliseconds(1000));
  CHECK(!registry.AcceptsCalls(*target, now + Milliseconds(3999)));
  CHECK(registry.AcceptsCalls(*target, now + Milliseconds(4000)));
  CHECK(registry.EarliestBackoffEnd("s", now) == now + Milliseconds(4000));
  // The backoff survives the removal of the row.
  registry.Remove("t");
  ++record.heartbeat;
  registry.Apply(record, now);
  CHECK(!registry.AcceptsCalls(*registry.Find("t"), now + Milliseconds(3999)));
  CHECK(
      !registry.EarliestBackoffEnd("s", now + Milliseconds(4000)).has_value());
}

TEST(TargetRegistry, RateLimitOutlivesTheListEntryButNotTheProcess) {
  bbv::TargetRecord record;
  record.id = "t";
  record.service = "plain";
  record.address = "10.0.0.1:80";
  record.started_unix_ms = 5;
  record.heartbeat = 1;
  bbv::TargetRegistry registry;
  const bbv::Instant now = bbv::Instant() + bbv::Milliseconds(1000);
  registry.Apply(record, now);
  registry.Find("t")->rate_limit.RecordResponse(2, now, now);
  CHECK_FALSE(registry.Find("t")->AcceptsRequests(now));
  CHECK_FALSE(registry.EarliestAllowance("plain", now).has_value());
  registry.Remove("t");
  record.heartbeat = 2;
  registry.Apply(record, now);
  CHECK_FALSE(registry.Find("t")->AcceptsRequests(now));
  record.started_unix_ms = 6;
  record.heartbeat = 1;
  registry.Apply(record, now);
  CHECK_TRUE(registry.Find("t")->AcceptsRequests(now));
}

// Guards against requests in the time for which a target wants none: what it
// answered while it was not listed was dropped.
TEST(TargetRegistry, WhatAnUnlistedTargetStatesHoldsOnceItIsListedAgain) {
  registry.Remove("t");
  CHECK(registry.FindAddress(record.address) == nullptr);
  bbv::FleetTarget* answering = registry.FindAnswering(record.address);
  CHECK(answering != nullptr);
  registry.SetBackoff(answering, now + Milliseconds(4000));
  answering->rate_limit.RecordResponse(2, now, now);
  CHECK(registry.MarkLeaving(answering->record.id,
                             answering->record.started_unix_ms));
  ++record.heartbeat;
  registry.Apply(record, now);
  const bbv::FleetTarget* target = registry.Find("t");
  CHECK(registry.FindAnswering(record.address) == target);
  CHECK(target->IsInBackoff(now + Milliseconds(3999)));
  CHECK_EQUAL(2, *target->rate_limit.per_second());
  CHECK(target->IsLeaving());
}

TEST_GROUP(RivalClaims) {
  bbv::TargetRegistry registry;
  Instant now = Instant() + Milliseconds(1000);
  bbv::TargetRecord record = bbv_test::MakeRecord("t", "s", "a");
  // A record of another writer for the address of "t", with a later start.
  bbv::TargetRecord rival = bbv_test::MakeRecord("rival", "s", "a");

  void setup() override {
    record.started_unix_ms = 1000;
    record.heartbeat = 5;
    rival.address = record.address;
    rival.started_unix_ms = 2000;
    registry.SetServices({"s", "other"});
    registry.Apply(record, now);
  }
  bool InUse(const bbv::TargetRecord& expected) {
    const bbv::FleetTarget* row = registry.Find(expected.id);
    return row != nullptr && row->record.address == expected.address &&
           registry.FindAddress(expected.address) == row;
  }
};

// Guards against an outage: a target whose address another record claims was
// out of use for as long as that record was listed.
TEST(RivalClaims, ARefutedRecordGivesTheAddressBackAtOnce) {
  registry.Apply(rival, now);
  CHECK(InUse(rival));
  CHECK(registry.Find("rival")->is_contested);
  CHECK(registry.Refute(registry.Find("rival"), now));
  CHECK(InUse(record));
  // Neither a heartbeat nor a later start of the refuted record takes it again.
  ++rival.heartbeat;
  registry.Apply(rival, now);
  CHECK(InUse(record));
  registry.Confirm(registry.Find("t"));
  rival.started_unix_ms = 3000;
  registry.Apply(rival, now);
  CHECK(InUse(record));
  // The later start may be a true one, so the target is asked again.
  CHECK(registry.Find("t")->is_contested);
  CHECK(registry.Refute(registry.Find("t"), now + Milliseconds(1)));
  CHECK(InUse(rival));
}

TEST(RivalClaims, ADisplacedTargetReturnsWhenTheOtherRecordIsGone) {
  registry.Apply(rival, now);
  ++record.heartbeat;
  registry.Apply(record, now);
  CHECK(InUse(rival));
  registry.Remove("rival");
  CHECK(InUse(record));
  // The other way round too.
  rival.heartbeat = 7;
  registry.Apply(rival, now);
  registry.Remove("t");
  CHECK(InUse(rival));
  registry.Remove("rival");
  CHECK(registry.Find("t") == nullptr);
}

TEST(RivalClaims, HeartbeatsKeepADisplacedTargetListed) {
  registry.Apply(rival, now);
  const bbv::Instant later = now + Milliseconds(1200);
  registry.Apply(rival, later);
  ++record.heartbeat;
  CHECK_FALSE(registry.IsListedAs(record));
  CHECK_FALSE(registry.Apply(record, later));
  CHECK(registry.RemoveUnlistedSince(later).empty());
  registry.Refute(registry.Find("rival"), later);
  CHECK(InUse(record));
}

TEST(RivalClaims, ARecordOfAnotherServiceIsRefutedToo) {
  rival.service = "other";
  registry.Apply(rival, now);
  CHECK(InUse(rival));
  registry.Refute(registry.Find("rival"), now);
  CHECK(InUse(record));
}

// Guards against a target that is called at an address that another writer has
// put into its record.
TEST(RivalClaims, ARefutedAddressOfATargetGivesWayToItsOwn) {
  bbv::TargetRecord moved = record;
  moved.address = bbv_test::MakeRecord("other", "s", "a").address;
  moved.started_unix_ms = 2000;
  registry.Apply(moved, now);
  CHECK(InUse(moved));
  CHECK_FALSE(registry.HasRivalAtAddress(*registry.Find("t")));
  ++record.heartbeat;
  registry.Apply(record, now);
  CHECK_FALSE(registry.IsListedAs(record));
  registry.Refute(registry.Find("t"), now);
  CHECK(InUse(record));
  // Both records have the same key, so that the list removes both.
  registry.Remove("t");
  CHECK(registry.FindAddress(record.address) == nullptr);
  CHECK(registry.FindAddress(moved.address) == nullptr);
}

// Guards against a live target that stays out of use because another writer has
// listed a later start of it.
TEST(RivalClaims, ATargetReturnsWhenAnInventedStartFallsSilent) {
  bbv::TargetRecord invented = record;
  invented.started_unix_ms = 9000;
  for (const bool removed : {false, true}) {
    invented.heartbeat += 10;
    registry.Apply(invented, now);
    if (removed)
      registry.Remove("t");
    // A copy of an old record does not advance.
    ++record.heartbeat;
    CHECK_FALSE(registry.Apply(record, now + Milliseconds(100)));
    CHECK_FALSE(registry.Apply(record, now + Milliseconds(3000)));
    ++record.heartbeat;
    CHECK(registry.Apply(record, now + Milliseconds(3700)));
    CHECK_EQUAL(1000, registry.Find("t")->record.started_unix_ms);
    now += Milliseconds(10'000);
  }
}

TEST(RivalClaims, CallsThatEndMeanwhileDoNotCountAtAReturnedTarget) {
  registry.Find("t")->own_calls = 3;
  registry.Apply(rival, now);
  registry.Refute(registry.Find("rival"), now);
  CHECK_EQUAL(0, registry.Find("t")->own_calls);
}
