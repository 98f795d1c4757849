#include "bbv_observe/fleet_metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/metrics_docs.h"

TEST_GROUP(FleetMetrics){};

TEST(FleetMetrics, DocsListEachMetricFamily) {
  bbv::FleetMetrics metrics;
  metrics.CountServed("s");
  metrics.CountFailure("s", bbv::CallEndReason::kNoRoom);
  metrics.CountBadRequest(400);
  metrics.ObserveFirstEvent(0.1);
  metrics.ObserveAnswer(0.1);
  metrics.SetGauge("targets", 1);
  const auto families = bbv_test::CompareWithDocs(metrics.Serialize());
  for (const std::string& name : families.missing)
    FAIL(("docs/METRICS.md lacks " + name).c_str());
  CHECK_EQUAL(6, families.count);
}
