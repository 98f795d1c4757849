#include "bbv_observe/fleet_metrics.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

TEST_GROUP(FleetMetrics){};

TEST(FleetMetrics, EachFamilyIsInTheDocs) {
  bbv::FleetMetrics metrics;
  metrics.CountServed("s");
  metrics.CountFailure("s", bbv::CallEnd::kNoRoom);
  metrics.CountBadRequest(400);
  metrics.ObserveFirstEvent(0.1);
  metrics.ObserveAnswer(0.1);
  metrics.SetGauge("targets", 1);
  std::ostringstream docs;
  docs << std::ifstream(std::string(BBV_SOURCE_DIR) + "/docs/METRICS.md")
              .rdbuf();
  std::istringstream text(metrics.Serialize());
  int families = 0;
  for (std::string line; std::getline(text, line);) {
    if (!line.starts_with("# TYPE "))
      continue;
    ++families;
    const std::string name = line.substr(7, line.find(' ', 7) - 7);
    if (docs.str().find("`" + name + "`") == std::string::npos)
      FAIL(("docs/METRICS.md lacks " + name).c_str());
  }
  CHECK_EQUAL(6, families);
}
