#include "bbv_entry/target_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr double kPercent = 100;
// Rate limits travel as requests per this many seconds.
constexpr double kRateLimitScale = 1000;

// Returns the nearest value that fits into `Narrow`. Reports come from other
// processes and may exceed its range.
template <typename Narrow>
Narrow Saturate(double value) {
  constexpr auto kMax = static_cast<double>(std::numeric_limits<Narrow>::max());
  return static_cast<Narrow>(std::clamp(std::round(value), 0.0, kMax));
}

}  // namespace

wire::ListedTargetT ToMessage(const TargetRecord& record) {
  wire::ListedTargetT message;
  message.id = record.id;
  message.service = record.service;
  message.address = record.address;
  message.zone = record.zone;
  message.accelerator = record.accelerator;
  message.slots = static_cast<uint32_t>(std::max(0, record.slots));
  message.leaving = record.leaving;
  if (record.layers) {
    message.from_layer = static_cast<uint32_t>(record.layers->from);
    message.to_layer = static_cast<uint32_t>(record.layers->to);
  }
  message.started_unix_ms = record.started_unix_ms;
  message.heartbeat = record.heartbeat;
  return message;
}

std::optional<TargetRecord> FromMessage(const wire::ListedTargetT& message) {
  if (message.to_layer > kMaxLayers)
    return std::nullopt;
  TargetRecord record;
  record.id = message.id;
  record.service = message.service;
  record.address = message.address;
  record.zone = message.zone;
  record.accelerator = message.accelerator;
  record.slots = static_cast<int>(message.slots);
  record.leaving = message.leaving;
  if (message.from_layer < message.to_layer) {
    record.layers = LayerRange{static_cast<int>(message.from_layer),
                               static_cast<int>(message.to_layer)};
  }
  record.started_unix_ms = message.started_unix_ms;
  record.heartbeat = message.heartbeat;
  return IsWellFormed(record) ? std::optional(record) : std::nullopt;
}

wire::EngineRow ToMessage(const FleetTarget& target, Milliseconds age) {
  const EngineLoadReport& report = target.report;
  const LayerRange layers = report.layers.value_or(LayerRange{});
  return {HashBytes32(target.record.id),
          static_cast<uint32_t>(report.started_unix_ms),
          Saturate<uint32_t>(report.used_token_layers),
          Saturate<uint16_t>(layers.from),
          Saturate<uint16_t>(layers.to),
          Saturate<uint16_t>(report.pace * kPercent),
          Saturate<uint16_t>(report.active),
          Saturate<uint16_t>(report.queued),
          Saturate<uint16_t>(static_cast<double>(age.count()))};
}

EngineLoadReport FromMessage(const wire::EngineRow& row,
                             int64_t started_unix_ms) {
  EngineLoadReport report;
  report.pace = row.pace_percent() / kPercent;
  report.active = row.active();
  report.queued = row.queued();
  report.used_token_layers = row.used_token_layers();
  report.started_unix_ms = started_unix_ms;
  if (row.to_layer() > row.from_layer())
    report.layers = LayerRange{row.from_layer(), row.to_layer()};
  return report;
}

wire::RateLimitRow ToRateLimitMessage(const FleetTarget& target, Instant now) {
  const TargetRateLimit::Statement& known = target.rate_limit.statement();
  const uint32_t limit =
      known.per_second
          ? std::min(Saturate<uint32_t>(*known.per_second * kRateLimitScale),
                     kNoRateLimit - 1)
          : kNoRateLimit;
  return {HashBytes32(target.record.id),
          static_cast<uint32_t>(target.record.started_unix_ms), known.version,
          limit, RemainingMilliseconds(now, known.heard_at)};
}

TargetRateLimit::Statement FromMessage(const wire::RateLimitRow& row,
                                       Instant now) {
  TargetRateLimit::Statement known;
  if (row.per_1000_seconds() != kNoRateLimit)
    known.per_second = row.per_1000_seconds() / kRateLimitScale;
  known.version = row.version();
  known.heard_at = now - Milliseconds(row.age_ms());
  return known;
}

}  // namespace bbv
