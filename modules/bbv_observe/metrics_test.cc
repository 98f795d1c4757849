#include "bbv_observe/metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/metrics_docs.h"

TEST_GROUP(Metrics){};

TEST(Metrics, DocsListEachMetricFamily) {
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
  metrics.UpdateProcessMetrics();
  const auto families = bbv_test::CompareWithDocs(metrics.Serialize());
  for (const std::string& name : families.missing)
    FAIL(("docs/METRICS.md lacks " + name).c_str());
  CHECK_EQUAL(9, families.count);
}

TEST(Metrics, CountersNeverDecrease) {
  bbv::Metrics metrics;
  metrics.SetCounter("steps", 5);
  metrics.SetCounter("steps", 3);
  CHECK_TRUE(metrics.Serialize().find("{name=\"steps\"} 5") !=
             std::string::npos);
}
