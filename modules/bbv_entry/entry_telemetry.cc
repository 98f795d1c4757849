#include "bbv_entry/entry_telemetry.h"

#include <sys/resource.h>

#include <chrono>

namespace bbv {
namespace {

constexpr Milliseconds kGaugeInterval{500};

double Seconds(const timeval& it) {
  return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
}

}  // namespace

EntryTelemetry::EntryTelemetry(const Parts& parts) : parts_(parts) {}

void EntryTelemetry::LogCongestion(bool is_stopping, Instant now) {
  const std::optional<CongestionReport> seen = parts_.congestion->OnTick(now);
  if (!seen)
    return;
  parts_.log->Write(
      Event::kNodeCongested, now,
      {{"tick_gap_ms", static_cast<int64_t>(seen->longest_tick_gap.count())},
       {"connect_ms", static_cast<int64_t>(seen->slowest_connect.count())},
       {"connects", static_cast<int64_t>(seen->connects)},
       {"received_bytes", static_cast<int64_t>(seen->bytes_received)},
       {"unsent_bytes", static_cast<int64_t>(parts_.intake->queued_bytes())},
       {"calls", static_cast<int64_t>(parts_.calls->size())},
       {"stopping", is_stopping}});
}

void EntryTelemetry::OnTick(Instant now) {
  if (now < next_gauges_)
    return;
  next_gauges_ = now + kGaugeInterval;
  UpdateTraffic();
  UpdateControl(now);
  UpdateQuarantines(now);
  UpdateRateLimits();
  UpdateProcess();
}

void EntryTelemetry::UpdateTraffic() {
  FleetMetrics* metrics = parts_.metrics;
  metrics->SetGauge("caller_connections",
                    static_cast<double>(parts_.intake->connections()));
  metrics->SetGauge("callers_evicted",
                    static_cast<double>(parts_.intake->evicted()));
  metrics->SetGauge("calls_under_way",
                    static_cast<double>(parts_.calls->size()));
  metrics->SetGauge("calls_waiting",
                    static_cast<double>(parts_.admission_control->waiting()));
  metrics->SetGauge("held_bytes",
                    static_cast<double>(parts_.memory_ledger->held_bytes()));
  metrics->SetGauge("log_lines_dropped",
                    static_cast<double>(parts_.log->dropped()));
  metrics->SetGauge("target_connections_opened",
                    static_cast<double>(parts_.client->connections_opened()));
}

void EntryTelemetry::UpdateControl(Instant now) {
  FleetMetrics* metrics = parts_.metrics;
  metrics->SetGauge("targets",
                    static_cast<double>(parts_.registry->rows().size()));
  metrics->SetGauge("rejected_target_records",
                    static_cast<double>(parts_.targets->rejected_records()));
  metrics->SetGauge("plans", parts_.planner->plans() ? 1 : 0);
  const MemberTable& members = parts_.peers->members();
  metrics->SetGauge("live_entries", members.live(now));
  metrics->SetGauge("zone_rank", static_cast<double>(members.own_rank()));
  metrics->SetGauge("store_reachable", parts_.store->reachable() ? 1 : 0);
  metrics->SetGauge("store_calls", static_cast<double>(parts_.store->calls()));
  if (const FleetIndex* index = parts_.configuration->current().get()) {
    metrics->SetGauge("configuration_version",
                      static_cast<double>(index->configuration().version));
  }
}

void EntryTelemetry::UpdateProcess() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0)
    return;
  parts_.metrics->SetGauge("processor_seconds",
                           Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  parts_.metrics->SetGauge("peak_memory_kilobytes",
                           static_cast<double>(usage.ru_maxrss));
}

void EntryTelemetry::UpdateQuarantines(Instant now) {
  FleetMetrics::GaugeValues ages;
  for (const QuarantineRow& it : parts_.crash_guard->quarantine().Rows()) {
    if (!it.lifted) {
      ages[{it.service, FormatTraits(it.traits)}] =
          std::chrono::duration<double>(now - it.since).count();
    }
  }
  parts_.metrics->SetGauge("quarantines", static_cast<double>(ages.size()));
  parts_.metrics->SetQuarantines(ages);
}

void EntryTelemetry::UpdateRateLimits() {
  FleetMetrics::GaugeValues limits;
  FleetMetrics::GaugeValues requests;
  for (const auto& [id, row] : parts_.registry->rows()) {
    const TargetRateLimit& limit = row->rate_limit;
    if (!limit.per_second())
      continue;
    limits[{row->record.service, id}] = *limit.per_second();
    requests[{row->record.service, id}] = static_cast<double>(limit.requests());
  }
  parts_.metrics->SetRateLimits(limits, requests);
}

}  // namespace bbv
