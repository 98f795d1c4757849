#include "free_port.h"

#include <CppUTest/TestHarness.h>

#include <set>

TEST_GROUP(FreePort){};

// A floor of processes takes some thirty ports; a number that stands twice
// among them keeps one process from starting.
TEST(FreePort, NoNumberIsGivenTwice) {
  constexpr int kPorts = 600;
  std::set<int> ports;
  for (int it = 0; it < kPorts; ++it)
    ports.insert(bbv::FreePort());
  CHECK_EQUAL(kPorts, static_cast<int>(ports.size()));
  CHECK_FALSE(ports.contains(0));
}
