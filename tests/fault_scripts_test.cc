#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "scenario.h"

namespace rc {

template <>
struct Arbitrary<bbv::CommandSeed> {
  static Gen<bbv::CommandSeed> arbitrary() {
    return gen::build<bbv::CommandSeed>(
        gen::set(&bbv::CommandSeed::time, gen::inRange(0U, 6000U)),
        gen::set(&bbv::CommandSeed::kind, gen::inRange(0U, 34U)),
        gen::set(&bbv::CommandSeed::first, gen::inRange(0U, 40U)),
        gen::set(&bbv::CommandSeed::second, gen::inRange(0U, 40U)));
  }
};

}  // namespace rc

TEST_GROUP(FaultScripts){};

TEST(FaultScripts, FixedSeeds) {
  constexpr uint64_t kCount = 1000;
  constexpr int kThreads = 4;
  const auto failed = bbv::RunFaultScripts(1, kCount, kThreads);
  for (const std::string& line : failed)
    UT_PRINT(line.c_str());
  CHECK_TRUE(failed.empty());
}

// RapidCheck shrinks a failing script to its least; RC_PARAMS can set another
// seed than the fixed one.
TEST(FaultScripts, GeneratedAndShrunk) {
  setenv("RC_PARAMS", "seed=20261204 max_success=200 max_size=60", 0);
  const bool holds =
      rc::check("every check holds under generated faults",
                [](const std::vector<bbv::CommandSeed>& seeds) {
                  const std::string script = bbv::MakeScript(seeds);
                  const auto result = bbv::RunScenario(script, {}, 1);
                  if (!result.faults.empty())
                    RC_LOG() << script << result.faults.front() << '\n';
                  RC_ASSERT(result.faults.empty());
                });
  CHECK_TRUE(holds);
}
