#ifndef TESTS_SCENARIO_H_
#define TESTS_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "virtual_floor.h"

namespace bbv {

// A small test language: one command a line, '#' starts a comment.
//
//   at MS COMMAND ...            runs a command at that time
//   expect WHAT ...              checked at the end
//   run MS                       when the end is (default 30000)
//
// Commands: request NAME ENTRY TOKENS, resume NAME ENTRY,
// call CALLER ENTRY KEY|-, read CALLER ENTRY, kill NODE, kill-target NODE,
// restart NODE, freeze NODE, thaw NODE, cut A B, heal A B, silence A B,
// repeat A B, // log outage|back|lose|delay, lose-answer TARGET, refuse-call
// TARGET, stop NODE, leave TARGET LAG_MS, plan NAME ENTRY INTENT..., confirm
// NAME ENTRY, forbid TARGET, trim OFFSET, mend. `mend` undoes every fault that
// lasts.
//
// Expectations: request NAME STATE, call CALLER STATE, runs CALLER COUNT,
// plan NAME NODE STATE, agree.
struct ScenarioResult {
  // Violations and failed expectations; empty when all is well.
  std::vector<std::string> faults;
};

// Runs the script on a floor of the given shape. Malformed lines are faults.
// Thread safe.
ScenarioResult RunScenario(const std::string& script,
                           const FloorShape& shape,
                           uint64_t seed);

// One generated command: numbers that MakeCommand() maps onto commands.
struct CommandSeed {
  uint32_t time = 0;
  uint32_t kind = 0;
  uint32_t first = 0;
  uint32_t second = 0;
};

// Returns the script for `seeds`, ended by mending and common expectations.
// Equal input gives an equal script. Thread safe.
std::string MakeScript(const std::vector<CommandSeed>& seeds);

// The scripts that failed, as "seed N: first fault".
std::vector<std::string> RunFaultScripts(uint64_t first_seed,
                                         uint64_t count,
                                         int threads);

// Returns the command seeds that `seed` stands for.
std::vector<CommandSeed> DrawCommands(uint64_t seed);

}  // namespace bbv

#endif  // TESTS_SCENARIO_H_
