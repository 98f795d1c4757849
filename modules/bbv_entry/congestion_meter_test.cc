#include "bbv_entry/congestion_meter.h"

#include <CppUTest/TestHarness.h>

namespace bbv {

TEST_GROUP(CongestionMeter) {
  CongestionMeter meter;
  Instant now = Instant{} + std::chrono::hours(1);

  // Ticks each 10 ms for `time`; returns the last report.
  std::optional<CongestionReport> Tick(Milliseconds time) {
    std::optional<CongestionReport> last;
    for (const Instant end = now + time; now < end; now += Milliseconds(10)) {
      if (const auto report = meter.OnTick(now))
        last = report;
    }
    return last;
  }
};

TEST(CongestionMeter, ACalmEntryReportsNothing) {
  meter.RecordReceived(1'000'000);
  meter.RecordConnect(Milliseconds(59));
  CHECK_FALSE(Tick(Milliseconds(3000)).has_value());
}

TEST(CongestionMeter, ASlowConnectionIsReportedOnce) {
  Tick(Milliseconds(500));
  meter.RecordReceived(70);
  meter.RecordReceived(30);
  meter.RecordConnect(Milliseconds(60));
  meter.RecordConnect(Milliseconds(20));
  const auto report = Tick(Milliseconds(600));
  CHECK_TRUE(report.has_value());
  CHECK_EQUAL(60, report->slowest_connect.count());
  CHECK_EQUAL(2, report->connects);
  CHECK_EQUAL(100, static_cast<int>(report->bytes_received));
  CHECK_FALSE(Tick(Milliseconds(3000)).has_value());
}

TEST(CongestionMeter, ALoopThatStoodStillIsReported) {
  Tick(Milliseconds(500));
  now += Milliseconds(800);
  const auto report = Tick(Milliseconds(10));
  CHECK_TRUE(report.has_value());
  CHECK_EQUAL(810, report->longest_tick_gap.count());
}

}  // namespace bbv
