#include "bbv_fleet/fleet_target.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "bbv_settings/socket_address.h"

namespace bbv {
namespace {

// How long a report is valid.
constexpr Milliseconds kReportLifetime{2500};
// The slowdown outlives the report: targets stay slow for longer than an entry
// may be without reports.
constexpr Milliseconds kPaceLifetime{6000};
// Limit on the length of each text in a record.
constexpr std::size_t kMaxTextBytes = 255;

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char it) { return it > ' ' && it <= '~'; });
}

}  // namespace

bool IsWellFormed(const TargetRecord& record) {
  for (const std::string* it : {&record.id, &record.service, &record.address,
                                &record.zone, &record.accelerator}) {
    if (it->size() > kMaxTextBytes)
      return false;
  }
  const LayerRange layers = record.layers.value_or(LayerRange{0, 1});
  return !record.id.empty() && IsPrintable(record.id) &&
         ParseSocketAddress(record.address) && record.slots >= 0 &&
         record.started_unix_ms >= 0 && record.heartbeat >= 0 &&
         record.heartbeat <= kMaxHeartbeat && layers.from >= 0 &&
         layers.from < layers.to && layers.to <= kMaxLayers;
}

double FleetTarget::Pace(Instant now) const {
  return now < reported_at + kPaceLifetime ? std::max(1.0, report.pace) : 1.0;
}

double FleetTarget::UsedTokenLayers(Instant now) const {
  const double known = own_token_layers + peer_token_layers;
  return now < reported_at + kReportLifetime
             ? std::max(known, report.used_token_layers)
             : known;
}

}  // namespace bbv
