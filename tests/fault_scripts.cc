// Runs generated fault scripts on the decision code with every check on, and
// prints the seeds that failed. Usage: fault_scripts FIRST COUNT THREADS, or
// fault_scripts show SEED for one seed's script.

#include <glog/logging.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "scenario.h"

namespace {

int ShowScript(uint64_t seed) {
  const std::string script = bbv::MakeScript(bbv::DrawCommands(seed));
  std::printf("%s", script.c_str());
  for (const auto& fault : bbv::RunScenario(script, {}, seed).faults)
    std::printf("# %s\n", fault.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_minloglevel = google::GLOG_ERROR;
  if (argc == 3)
    return ShowScript(std::strtoull(argv[2], nullptr, 10));
  if (argc != 4)
    return 2;
  const auto failed = bbv::RunFaultScripts(std::strtoull(argv[1], nullptr, 10),
                                           std::strtoull(argv[2], nullptr, 10),
                                           std::atoi(argv[3]));
  for (const std::string& line : failed)
    std::printf("%s\n", line.c_str());
  std::printf("%s scripts, %zu failed\n", argv[2], failed.size());
  return failed.empty() ? 0 : 1;
}
