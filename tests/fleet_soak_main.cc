// Runs the soak test with the seeds from FIRST to LAST and prints the violated
// guarantees of each seed. Usage: fleet_soak FIRST [LAST]
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fleet_soak.h"

int main(int argc, char** argv) {
  if (argc < 2 || argc > 3) {
    std::fputs("usage: fleet_soak FIRST [LAST]\n", stderr);
    return 2;
  }
  const uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const uint64_t last = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : first;
  int failed = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    bbv::FleetSoak soak(seed);
    const auto faults = soak.Run();
    failed += faults.empty() ? 0 : 1;
    std::printf("seed %s: %s; %s\n", std::to_string(seed).c_str(),
                faults.empty() ? "passed" : "failed", soak.summary().c_str());
    for (const std::string& it : faults)
      std::printf("  %s\n", it.c_str());
    std::fflush(stdout);
  }
  std::printf("%s seeds, %d failed\n", std::to_string(last - first + 1).c_str(),
              failed);
  return failed == 0 ? 0 : 1;
}
