#include "bbv_observe/metrics.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

TEST_GROUP(Metrics){};

TEST(Metrics, EachFamilyIsInTheDocs) {
  bbv::Metrics metrics;
  metrics.CountRequest("model", "ran");
  metrics.CountRefusal(bbv::Reason::kOverloaded);
  metrics.CountClientFault("bad-json");
  metrics.CountPeerFault("frame");
  metrics.ObserveFirstToken(0.1);
  metrics.ObserveBetweenTokens(0.01);
  metrics.ObserveCall(0.02);
  metrics.SetGauge("requests_in_flight", 1);
  metrics.SetCounter("attempts", 2);
  metrics.UpdateProcess();
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
  CHECK_EQUAL(9, families);
}

TEST(Metrics, CountersNeverGoBack) {
  bbv::Metrics metrics;
  metrics.SetCounter("steps", 5);
  metrics.SetCounter("steps", 3);
  CHECK_TRUE(metrics.Serialize().find("{name=\"steps\"} 5") !=
             std::string::npos);
}
