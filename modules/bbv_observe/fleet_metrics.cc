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
      moved_(prometheus::BuildCounter()
                 .Name("bbv_fleet_streams_moved_total")
                 .Help("Streams that went on after they lost a hop")
                 .Register(registry_)),
      admissions_(prometheus::BuildCounter()
                      .Name("bbv_fleet_admissions_total")
                      .Help("Calls that sought capacity, by what became of it")
                      .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("bbv_fleet_state")
                  .Help("State of the entry, by name")
                  .Register(registry_)),
      quarantine_ages_{prometheus::BuildGauge()
                           .Name("bbv_fleet_quarantine_seconds")
                           .Help("Age of each quarantine of prompt parts")
                           .Register(registry_),
                       "parts",
                       {}},
      rate_limits_{prometheus::BuildGauge()
                       .Name("bbv_fleet_target_rate_limit")
                       .Help("Requests per second that a target accepts")
                       .Register(registry_),
                   "target",
                   {}},
      rate_limited_requests_{
          prometheus::BuildGauge()
              .Name("bbv_fleet_rate_limited_requests")
              .Help("Requests of this entry since a target named its limit")
              .Register(registry_),
          "target",
          {}},
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

void FleetMetrics::CountMoved(const std::string& service, bool is_in_time) {
  moved_
      .Add({{"service", service}, {"outcome", is_in_time ? "in-time" : "late"}})
      .Increment();
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

void FleetMetrics::CountAdmission(const std::string& service,
                                  const std::string& priority,
                                  AdmissionOutcome outcome) {
  prometheus::Counter*& counter =
      admissions_by_outcome_[{service, priority, outcome}];
  if (counter == nullptr) {
    counter = &admissions_.Add(
        {{"service", service},
         {"priority", priority},
         {"outcome", std::string(kAdmissionOutcomeNames.Name(outcome))}});
  }
  counter->Increment();
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

void FleetMetrics::GaugeSet::Assign(const GaugeValues& values) {
  std::erase_if(gauges, [&](const auto& it) {
    if (values.contains(it.first))
      return false;
    family.Remove(it.second);
    return true;
  });
  for (const auto& [key, value] : values) {
    prometheus::Gauge*& gauge = gauges[key];
    if (gauge == nullptr) {
      gauge = &family.Add({{"service", key.first}, {second_label, key.second}});
    }
    gauge->Set(value);
  }
}

void FleetMetrics::SetQuarantines(const GaugeValues& ages) {
  quarantine_ages_.Assign(ages);
}

void FleetMetrics::SetRateLimits(const GaugeValues& per_second,
                                 const GaugeValues& requests) {
  rate_limits_.Assign(per_second);
  rate_limited_requests_.Assign(requests);
}

std::string FleetMetrics::Serialize() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_.Collect());
}

}  // namespace bbv
