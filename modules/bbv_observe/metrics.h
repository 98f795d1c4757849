#ifndef MODULES_BBV_OBSERVE_METRICS_H_
#define MODULES_BBV_OBSERVE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "bbv_core/reason.h"

namespace bbv {

// All metrics of a node. docs/METRICS.md lists them; a test checks that the
// list is complete.
//
// Thread safety: all methods may be called from any thread.
class Metrics {
 public:
  Metrics();

  void CountRequest(const std::string& kind, const std::string& outcome);
  void CountRefusal(Reason reason);
  void CountClientFault(const std::string& fault);
  void CountPeerFault(const std::string& fault);
  void ObserveFirstToken(double seconds);
  void ObserveBetweenTokens(double seconds);
  void ObserveCall(double seconds);

  // Sets a gauge of the node, for example "requests_in_flight",
  // "connected_peers" or "configuration_version".
  void SetGauge(const std::string& name, double value);

  // Raises a counter of the node to `value`; a lower value has no effect.
  void SetCounter(const std::string& name, double value);

  // Updates the processor time and peak memory of this process.
  void UpdateProcessMetrics();

  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& client_faults_;
  prometheus::Family<prometheus::Counter>& peer_faults_;
  prometheus::Family<prometheus::Counter>& totals_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Histogram& first_token_;
  prometheus::Histogram& between_tokens_;
  prometheus::Histogram& calls_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_METRICS_H_
