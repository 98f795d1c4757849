#include "bbv_config/configuration_log.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "bbv_config/intent.h"

namespace {

using bbv::ConfigurationFold;
using bbv::ConfigurationLog;
using bbv::LogRecords;

void IgnoreError(const bbv::Error&) {}

// An in-memory log. ReadFrom() simulates retention: records before `start` have
// been removed.
class TestLog {
 public:
  void Append(const std::string& record) { records_.push_back(record); }

  LogRecords ReadFrom(uint64_t offset, uint64_t start = 0) const {
    LogRecords result;
    result.log_start = start;
    result.log_end = records_.size();
    result.first_offset = std::max(offset, start);
    for (uint64_t it = result.first_offset; it < records_.size(); ++it)
      result.records.push_back(records_[it]);
    return result;
  }

  // Appends a plan that sets the weight of an account, and its confirmation.
  void ChangeWeight(const ConfigurationFold& fold, uint32_t weight) {
    bbv::Configuration desired = fold.configuration();
    desired.accounts["a"] = {"a", std::string(64, '0'), weight, 5};
    const std::string id = "p-" + std::to_string(records_.size());
    Append(bbv::MakePlanRecord(bbv::MakeImportPlan(fold, desired, id)));
    Append(bbv::MakeConfirmRecord(id));
  }

 private:
  std::vector<std::string> records_;
};

// The record of a plan that sets the model "m" to `value`.
std::string MakeModelPlan(const std::string& id, const std::string& value) {
  return R"({"type":"plan","plan":")" + id +
         R"(","summary":"","reads":[],"changes":[{"kind":"model","name":"m",)" +
         R"("value":)" + value + "}]}";
}

uint32_t WeightOf(const ConfigurationLog& log) {
  const auto& accounts = log.fold().configuration().accounts;
  const auto it = accounts.find("a");
  return it == accounts.end() ? 0 : it->second.weight;
}

}  // namespace

TEST_GROUP(ConfigurationLog) {
  TestLog log;
  ConfigurationLog writer{IgnoreError};

  void ChangeWeight(uint32_t weight) {
    log.ChangeWeight(writer.fold(), weight);
    writer.ApplyLogRecords(log.ReadFrom(writer.read_offset()));
  }
};

TEST(ConfigurationLog, RestoresFromCheckpointAfterRetention) {
  ChangeWeight(1);
  ChangeWeight(2);
  log.Append(bbv::MakeCheckpointRecord(writer.fold().Snapshot()));
  writer.ApplyLogRecords(log.ReadFrom(writer.read_offset()));
  ChangeWeight(3);
  ConfigurationLog late{IgnoreError};
  late.ApplyLogRecords(log.ReadFrom(0, 4));
  CHECK_EQUAL(3, WeightOf(late));
  CHECK_EQUAL(writer.fold().digest(), late.fold().digest());
  CHECK_TRUE(late.caught_up());
}

TEST(ConfigurationLog, GapWithoutCheckpointIsNotSkipped) {
  ChangeWeight(1);
  ChangeWeight(2);
  ConfigurationLog late{IgnoreError};
  late.ApplyLogRecords(log.ReadFrom(0, 2));
  CHECK_EQUAL(0, WeightOf(late));
  CHECK_FALSE(late.caught_up());
  // An update from a peer with the complete state closes the gap.
  const auto update = writer.MakeUpdate(0);
  late.ApplyPeerUpdate(update);
  CHECK_EQUAL(2, WeightOf(late));
}

TEST(ConfigurationLog, PeerUpdatesNeverLowerTheVersion) {
  ChangeWeight(1);
  ConfigurationLog behind{IgnoreError};
  behind.ApplyLogRecords(log.ReadFrom(0));
  const auto old = behind.MakeUpdate(0);
  bbv::ConfigurationUpdate old_snapshot;
  old_snapshot.snapshot = behind.fold().Snapshot();
  ChangeWeight(2);
  CHECK_FALSE(writer.ApplyPeerUpdate(old));
  CHECK_FALSE(writer.ApplyPeerUpdate(old_snapshot));
  CHECK_EQUAL(2, WeightOf(writer));
  CHECK_TRUE(behind.ApplyPeerUpdate(writer.MakeUpdate(behind.read_offset())));
  CHECK_EQUAL(2, WeightOf(behind));
}

TEST(ConfigurationLog, InvalidRecordsAreSkipped) {
  ChangeWeight(1);
  log.Append("{not json");
  log.Append(R"({"type":"confirm","plan":"none"})");
  log.Append(R"({"type":"weather"})");
  ChangeWeight(2);
  int faults = 0;
  ConfigurationLog reader([&faults](const bbv::Error&) { ++faults; });
  reader.ApplyLogRecords(log.ReadFrom(0));
  CHECK_EQUAL(3, faults);
  CHECK_EQUAL(2, WeightOf(reader));
}

TEST(ConfigurationLog, RepeatedRecordsChangeNothing) {
  ChangeWeight(1);
  const uint64_t version = writer.fold().version();
  log.Append(log.ReadFrom(0).records[0]);
  log.Append(log.ReadFrom(0).records[1]);
  writer.ApplyLogRecords(log.ReadFrom(writer.read_offset()));
  CHECK_EQUAL(version, writer.fold().version());
}

TEST(ConfigurationLog, InconsistentPlansAreRejected) {
  ChangeWeight(1);
  const bbv::Intent intent{"add-target",
                           {"t", "127.0.0.1:1", "zone", "nowhere"}};
  const auto plan = bbv::MakePlan(writer.fold(), intent, "p-bad");
  CHECK_TRUE(plan.has_value());
  log.Append(bbv::MakePlanRecord(*plan));
  log.Append(bbv::MakeConfirmRecord("p-bad"));
  writer.ApplyLogRecords(log.ReadFrom(writer.read_offset()));
  CHECK_TRUE(writer.fold().FindOutcome("p-bad")->state ==
             bbv::PlanState::kRejected);
  CHECK_TRUE(writer.fold().configuration().targets.empty());
}

TEST(ConfigurationLog, InvalidIntentsAreRejected) {
  ChangeWeight(1);
  const std::vector<bbv::Intent> bad = {{"dance", {}},
                                        {"drain", {"nobody"}},
                                        {"drain", {}},
                                        {"share", {"a", "0"}},
                                        {"share", {"a", "x"}},
                                        {"share", {"b", "1"}},
                                        {"add-version", {"m", "v"}}};
  for (const auto& intent : bad)
    CHECK_FALSE(bbv::MakePlan(writer.fold(), intent, "p").has_value());
}

TEST(ConfigurationLog, SkipsDeeplyNestedRecords) {
  const std::string deep =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  bbv::ConfigurationFold fold;
  CHECK(!fold.Apply(0, MakeModelPlan("deep", deep)).has_value());
  CHECK(!fold.Apply(1, R"({"type":)" + deep + "}").has_value());
  STRCMP_EQUAL("", bbv::CheckpointSnapshot(deep).c_str());
  CHECK(!bbv::ConfigurationFold().Restore(deep).has_value());
  CHECK(fold.Apply(2, MakeModelPlan("good", "null")).has_value());
}

TEST(ConfigurationLog, SkipsRecordsWithNumbersOutOfRange) {
  bbv::ConfigurationFold fold;
  uint64_t offset = 0;
  for (const std::string layers :
       {"4294967304", "-1", "0.5", "18446744073709551616", "1e999"}) {
    const std::string id = "p" + layers;
    fold.Apply(offset++,
               MakeModelPlan(id, R"({"version":"v","layers":)" + layers + "}"));
    fold.Apply(offset++, bbv::MakeConfirmRecord(id));
    CHECK(fold.configuration().models.empty());
  }
  fold.Apply(offset++, MakeModelPlan("good", R"({"version":"v","layers":8})"));
  CHECK(fold.Apply(offset++, bbv::MakeConfirmRecord("good")).has_value());
  CHECK_EQUAL(8, static_cast<int>(fold.configuration().models.at("m").layers));
}
