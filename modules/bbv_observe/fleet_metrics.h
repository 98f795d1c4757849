#ifndef MODULES_BBV_OBSERVE_FLEET_METRICS_H_
#define MODULES_BBV_OBSERVE_FLEET_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "bbv_core/name_table.h"
#include "bbv_fleet/fleet_call.h"

namespace bbv {

// What became of a call that sought capacity.
enum class AdmissionOutcome : uint8_t {
  kSent,
  // Found none while some was kept for more urgent calls.
  kHeldBack,
  // Gave up its place in the queue to a more urgent call.
  kDisplaced,
  kRefused,
};
inline constexpr NameTable<AdmissionOutcome, 4> kAdmissionOutcomeNames(
    {"sent", "held-back", "displaced", "refused"});

// Metrics of a fleet entry, whose targets forward calls to each other;
// docs/METRICS.md lists them.
//
// Thread safety: none; used only on the event loop's thread.
class FleetMetrics {
 public:
  FleetMetrics();

  void CountServed(const std::string& service);
  void CountFailure(const std::string& service, CallEndReason end);
  void CountBadRequest(int status);
  // Counts a stream that has gone on after it lost a hop of its path.
  void CountMoved(const std::string& service, bool is_in_time);
  // Counts what became of a call that sought capacity.
  void CountAdmission(const std::string& service,
                      const std::string& priority,
                      AdmissionOutcome outcome);
  void ObserveFirstEvent(double seconds);
  void ObserveAnswer(double seconds);
  void SetGauge(const std::string& name, double value);
  // Values of a family of gauges by service and a second label. Gauges that a
  // new set does not contain are removed.
  using GaugeValues = std::map<std::pair<std::string, std::string>, double>;
  // Sets the age in seconds of each quarantine, by service and parts.
  void SetQuarantines(const GaugeValues& ages);
  // Sets the rate limit in requests per second that each target has named, and
  // this entry's requests since then, by service and target.
  void SetRateLimits(const GaugeValues& per_second,
                     const GaugeValues& requests);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  // A family of gauges whose members come and go.
  struct GaugeSet {
    prometheus::Family<prometheus::Gauge>& family;
    std::string second_label;
    std::map<std::pair<std::string, std::string>, prometheus::Gauge*> gauges;

    void Assign(const GaugeValues& values);
  };

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& served_;
  prometheus::Family<prometheus::Counter>& failures_;
  prometheus::Family<prometheus::Counter>& bad_requests_;
  prometheus::Family<prometheus::Counter>& moved_;
  prometheus::Family<prometheus::Counter>& admissions_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  GaugeSet quarantine_ages_;
  GaugeSet rate_limits_;
  GaugeSet rate_limited_requests_;
  prometheus::Histogram& first_event_;
  prometheus::Histogram& answers_;
  // Caches counters by their labels, which saves a registry lookup per call.
  std::map<std::string, prometheus::Counter*> served_by_service_;
  std::map<std::pair<std::string, CallEndReason>, prometheus::Counter*>
      failures_by_end_;
  std::map<std::tuple<std::string, std::string, AdmissionOutcome>,
           prometheus::Counter*>
      admissions_by_outcome_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_FLEET_METRICS_H_
