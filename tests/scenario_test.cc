#include "scenario.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace {

constexpr uint64_t kSeeds = 20;

// Runs every scenario file whose name starts with `prefix` under fixed seeds.
void RunScenarioFiles(const std::string& prefix) {
  int files = 0;
  const std::filesystem::path folder =
      std::filesystem::path(BBV_SOURCE_DIR) / "tests/scenarios";
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const std::string name = file.path().filename().string();
    if (!name.starts_with(prefix))
      continue;
    ++files;
    std::ostringstream script;
    script << std::ifstream(file.path()).rdbuf();
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto result = bbv::RunScenario(script.str(), {}, seed);
      for (const std::string& fault : result.faults) {
        std::string text = name;
        text.append(" seed ").append(std::to_string(seed)).append(": ");
        text.append(fault);
        UT_PRINT(text.c_str());
      }
      CHECK_TRUE(result.faults.empty());
    }
  }
  CHECK_TRUE(files > 0);
}

}  // namespace

TEST_GROUP(Scenario){};

TEST(Scenario, EachLayerOnceInOrder) {
  RunScenarioFiles("layers-");
}

TEST(Scenario, WholeAnswerToItsCaller) {
  RunScenarioFiles("answers-");
}

TEST(Scenario, RefusedAsNotRunIsNotRun) {
  RunScenarioFiles("not-run-");
}

TEST(Scenario, NonIdempotentAtMostOnce) {
  RunScenarioFiles("once-");
}

TEST(Scenario, LeavingTargetGetsNoNewWork) {
  RunScenarioFiles("leaving-");
}

TEST(Scenario, ConfigurationNeverReverts) {
  RunScenarioFiles("configuration-");
}

TEST(Scenario, SilentConnectionsAreReplaced) {
  RunScenarioFiles("silent-");
}

TEST(Scenario, FailuresFoundBefore) {
  RunScenarioFiles("found-");
}

TEST(Scenario, MalformedLinesAreFaults) {
  for (const char* script : {"at 0 explode t0-0", "at 0 kill", "at x kill e0",
                             "expect weather e0 fine"})
    CHECK_FALSE(bbv::RunScenario(script, {}, 1).faults.empty());
}
