#include "bbv_observe/metrics.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>

namespace bbv {
namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,   0.35,  0.5,   0.85, 1.5,  3,    10};
  return kBuckets;
}

prometheus::Family<prometheus::Counter>& AddCounters(
    prometheus::Registry* registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Histogram& AddHistogram(prometheus::Registry* registry,
                                    const std::string& name,
                                    const std::string& help) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(*registry)
      .Add({}, LatencyBuckets());
}

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

Metrics::Metrics()
    : requests_(AddCounters(&registry_,
                            "bbv_requests_total",
                            "Requests ended, by kind and outcome")),
      refusals_(AddCounters(&registry_,
                            "bbv_refusals_total",
                            "Requests refused, by reason")),
      client_faults_(AddCounters(&registry_,
                                 "bbv_client_faults_total",
                                 "Malformed or forbidden requests, by fault")),
      peer_faults_(AddCounters(&registry_,
                               "bbv_peer_faults_total",
                               "Connections and frames rejected, by fault")),
      totals_(AddCounters(&registry_,
                          "bbv_node_events_total",
                          "Counts of the node's parts, by name")),
      gauges_(prometheus::BuildGauge()
                  .Name("bbv_node")
                  .Help("State of the node, by name")
                  .Register(registry_)),
      first_token_(AddHistogram(&registry_,
                                "bbv_first_token_seconds",
                                "From a request's arrival to its first token")),
      between_tokens_(AddHistogram(&registry_,
                                   "bbv_between_tokens_seconds",
                                   "Between two tokens of one request")),
      calls_(AddHistogram(&registry_,
                          "bbv_call_seconds",
                          "From a service call's arrival to its answer")) {}

void Metrics::CountRequest(const std::string& kind,
                           const std::string& outcome) {
  requests_.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
}

void Metrics::CountRefusal(Reason reason) {
  refusals_.Add({{"reason", std::string(kReasonNames.Name(reason))}})
      .Increment();
}

void Metrics::CountClientFault(const std::string& fault) {
  client_faults_.Add({{"fault", fault}}).Increment();
}

void Metrics::CountPeerFault(const std::string& fault) {
  peer_faults_.Add({{"fault", fault}}).Increment();
}

void Metrics::ObserveFirstToken(double seconds) {
  first_token_.Observe(seconds);
}

void Metrics::ObserveBetweenTokens(double seconds) {
  between_tokens_.Observe(seconds);
}

void Metrics::ObserveCall(double seconds) {
  calls_.Observe(seconds);
}

void Metrics::SetGauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

void Metrics::SetCounter(const std::string& name, double value) {
  auto& counter = totals_.Add({{"name", name}});
  if (value > counter.Value())
    counter.Increment(value - counter.Value());
}

void Metrics::UpdateProcessMetrics() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  SetCounter("cpu_seconds", Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  SetGauge("peak_memory_bytes", static_cast<double>(usage.ru_maxrss) * 1024);
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace bbv
