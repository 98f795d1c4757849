#include "bbv_routing/target_table.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "bbv_routing/retry_budget.h"
#include "bbv_routing/target_chooser.h"

namespace {

using bbv::Milliseconds;

constexpr char kModelName[] = "m";
constexpr auto kAny = bbv::CapacityPolicy::kAnyUsable;

bbv::Target MakeTarget(const std::string& name, uint32_t first, uint32_t end) {
  bbv::Target target;
  target.name = name;
  target.zone = "z";
  target.model = kModelName;
  target.first_layer = first;
  target.end_layer = end;
  return target;
}

}  // namespace

TEST_GROUP(TargetTable) {
  bbv::Configuration configuration;
  bbv::TargetTable table;
  const bbv::Model model{kModelName, 4, "v2"};
  bbv::Instant now = bbv::Instant() + std::chrono::hours(1);

  void Add(const std::string& name, uint32_t first, uint32_t end,
           const std::vector<std::string>& versions) {
    configuration.targets[name] = MakeTarget(name, first, end);
    table.Rebuild(configuration);
    table.SetConnected(name, true);
    bbv::wire::HeartbeatT heartbeat;
    heartbeat.ready = true;
    heartbeat.limit = 100;
    heartbeat.loaded_versions = versions;
    table.ApplyHeartbeat(name, heartbeat);
  }
};

TEST(TargetTable, LeavingIsTakenFromListAndHeartbeat) {
  Add("a", 0, 4, {"v2"});
  CHECK_TRUE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
  table.ApplyInstanceList({"a"});
  CHECK_FALSE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
  table.ApplyInstanceList({});
  bbv::wire::HeartbeatT heartbeat;
  heartbeat.ready = true;
  heartbeat.leaving = true;
  table.ApplyHeartbeat("a", heartbeat);
  CHECK_FALSE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
}

TEST(TargetTable, ConsecutiveFaultsExtendTheEjection) {
  Add("a", 0, 4, {"v2"});
  table.RecordFault("a", now);
  CHECK_TRUE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
  table.RecordFault("a", now);
  CHECK_FALSE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
  const auto first = table.Find("a")->ejected_until;
  table.RecordFault("a", now);
  CHECK_TRUE(table.Find("a")->ejected_until > first);
  CHECK_TRUE(bbv::TargetTable::IsUsable(*table.Find("a"),
                                        table.Find("a")->ejected_until));
}

TEST(TargetTable, NewConnectionDiscardsTheOldHeartbeat) {
  Add("a", 0, 4, {"v2"});
  table.SetConnected("a", false);
  table.SetConnected("a", true);
  CHECK_FALSE(bbv::TargetTable::IsUsable(*table.Find("a"), now));
}

TEST(TargetTable, ChainCoversTheModelWithOneVersion) {
  Add("a", 0, 2, {"v1", "v2"});
  Add("b", 2, 4, {"v1"});
  Add("dead-end", 0, 3, {"v2"});
  bbv::TargetChooser chooser(&table, "z", 1);
  bbv::Chain chain = chooser.ChooseChain(model, {}, kAny, now);
  STRCMP_EQUAL("v1", chain.version.c_str());
  CHECK_EQUAL(2, chain.stages.size());
  Add("c", 2, 4, {"v2"});
  chain = chooser.ChooseChain(model, {}, kAny, now);
  STRCMP_EQUAL("v2", chain.version.c_str());
  STRCMP_EQUAL("c", chain.stages[1].name.c_str());
  CHECK_TRUE(chooser.ChooseChain(model, {"a"}, kAny, now).empty());
}

TEST(TargetTable, LoadedTargetIsChosenLessOften) {
  Add("a", 0, 4, {"v2"});
  Add("b", 0, 4, {"v2"});
  for (int it = 0; it < 50; ++it)
    table.AddOutstanding("a");
  bbv::TargetChooser chooser(&table, "z", 1);
  int chosen_a = 0;
  for (int it = 0; it < 200; ++it)
    chosen_a += chooser.ChooseChain(model, {}, kAny, now).stages[0].name == "a";
  // "a" is chosen only if both random choices select it, one time in four.
  CHECK_TRUE(chosen_a > 20 && chosen_a < 80);
}

TEST(TargetTable, FullTargetIsDistinguishedFromMissingTarget) {
  Add("a", 0, 4, {"v2"});
  bbv::TargetChooser chooser(&table, "z", 1);
  for (int it = 0; it < 200; ++it)
    table.AddOutstanding("a");
  constexpr auto kWithCapacity = bbv::CapacityPolicy::kOnlyWithCapacity;
  CHECK_TRUE(chooser.ChooseChain(model, {}, kWithCapacity, now).lacks_capacity);
  CHECK_FALSE(chooser.ChooseChain(model, {}, kAny, now).empty());
  CHECK_FALSE(
      chooser.ChooseChain(model, {"a"}, kWithCapacity, now).lacks_capacity);
}

TEST(TargetTable, RetriesAreLimitedToAShareOfAttempts) {
  bbv::RetryBudget budget(0.2, 2);
  CHECK_TRUE(budget.TryTakeRetry());
  CHECK_TRUE(budget.TryTakeRetry());
  CHECK_FALSE(budget.TryTakeRetry());
  for (int it = 0; it < 6; ++it)
    budget.RecordAttempt();
  CHECK_TRUE(budget.TryTakeRetry());
  CHECK_FALSE(budget.TryTakeRetry());
}
