#include "bbv_observe/fleet_metrics.h"

#include <prometheus/text_serializer.h>

namespace bbv {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.85, 1.5, 3, 6, 12};

prometheus::Histogram& MakeHistogram(prometheus::Registry* registry,
                                     const char* name,
                                     const char* help) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(*registry)
      .Add({}, kSecondsBuckets);
}

}  // namespace

FleetMetrics::FleetMetrics()
    : served_(prometheus::BuildCounter()
                  .Name("bbv_fleet_calls_served_total")
                  .Help("Calls whose whole answer was relayed")
                  .Register(registry_)),
      failures_(prometheus::BuildCounter()
                    .Name("bbv_fleet_calls_failed_total")
                    .Help("Calls that ended without a target's answer")
                    .Register(registry_)),
      bad_requests_(prometheus::BuildCounter()
                        .Name("bbv_fleet_bad_requests_total")
                        .Help("Requests that were rejected by their form")
                        .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("bbv_fleet_state")
                  .Help("State of the entry, by name")
                  .Register(registry_)),
      quarantine_ages_(prometheus::BuildGauge()
                           .Name("bbv_fleet_quarantine_seconds")
                           .Help("Age of each quarantine of prompt parts")
                           .Register(registry_)),
      first_event_(MakeHistogram(&registry_,
                                 "bbv_fleet_first_event_seconds",
                                 "From a stream's arrival to its first event")),
      answers_(MakeHistogram(&registry_,
                             "bbv_fleet_answer_seconds",
                             "From a plain call's arrival to its answer")) {}

void FleetMetrics::CountServed(const std::string& service) {
  prometheus::Counter*& counter = served_by_service_[service];
  if (counter == nullptr)
    counter = &served_.Add({{"service", service}});
  counter->Increment();
}

void FleetMetrics::CountFailure(const std::string& service, CallEndReason end) {
  prometheus::Counter*& counter = failures_by_end_[{service, end}];
  if (counter == nullptr) {
    counter =
        &failures_.Add({{"service", service},
                        {"cause", std::string(kCallEndReasonNames.Name(end))}});
  }
  counter->Increment();
}

void FleetMetrics::CountBadRequest(int status) {
  bad_requests_.Add({{"status", std::to_string(status)}}).Increment();
}

void FleetMetrics::ObserveFirstEvent(double seconds) {
  first_event_.Observe(seconds);
}

void FleetMetrics::ObserveAnswer(double seconds) {
  answers_.Observe(seconds);
}

void FleetMetrics::SetGauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

void FleetMetrics::SetQuarantines(const QuarantineAges& ages) {
  std::erase_if(quarantines_, [&](const auto& it) {
    if (ages.contains(it.first))
      return false;
    quarantine_ages_.Remove(it.second);
    return true;
  });
  for (const auto& [key, seconds] : ages) {
    prometheus::Gauge*& gauge = quarantines_[key];
    if (gauge == nullptr) {
      gauge = &quarantine_ages_.Add(
          {{"service", key.first}, {"parts", key.second}});
    }
    gauge->Set(seconds);
  }
}

std::string FleetMetrics::Serialize() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_.Collect());
}

}  // namespace bbv
