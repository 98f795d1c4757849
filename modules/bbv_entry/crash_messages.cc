#include "bbv_entry/crash_messages.h"

#include <algorithm>
#include <cmath>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Bounds what one message of another entry can bring.
constexpr std::size_t kMaxSuspectsOfMessage = 256;
constexpr std::size_t kMaxTraitsOfRow = 64;
// Longest time taken from a message.
constexpr uint64_t kMaxTimeMs = 30ULL * 24 * 3600 * 1000;

Milliseconds BoundedTime(uint64_t milliseconds) {
  return Milliseconds(static_cast<int64_t>(std::min(milliseconds, kMaxTimeMs)));
}

uint64_t MillisecondsUntil(Instant deadline, Instant now) {
  return deadline <= now
             ? 0
             : static_cast<uint64_t>(
                   std::chrono::duration_cast<Milliseconds>(deadline - now)
                       .count());
}

}  // namespace

CrashReport ToReport(const TargetCrash& crash) {
  return {{HashBytes32(crash.target_id), crash.started_unix_ms},
          crash.crashed_at,
          crash.suspects};
}

wire::TargetCrashT ToMessage(const std::string& service,
                             const CrashReport& report,
                             Instant now) {
  wire::TargetCrashT message;
  message.service = service;
  message.target = report.key.target;
  message.started_unix_ms = report.key.started_unix_ms;
  message.age_ms = RemainingMilliseconds(now, report.crashed_at);
  for (const CrashSuspect& it : report.suspects) {
    message.suspects.emplace_back(
        it.trait, it.call,
        RemainingMilliseconds(report.crashed_at, it.sent_at));
  }
  message.silent_calls = report.silent_calls;
  message.outputs_since = report.outputs_since;
  return message;
}

CrashReport FromMessage(const wire::TargetCrashT& message, Instant now) {
  CrashReport report;
  report.key = {message.target, message.started_unix_ms};
  report.crashed_at = now - BoundedTime(message.age_ms);
  for (const wire::SuspectRow& it : message.suspects) {
    if (report.suspects.size() == kMaxSuspectsOfMessage)
      break;
    report.suspects.push_back(
        {it.part(), it.call(), report.crashed_at - BoundedTime(it.sent_ms())});
  }
  report.silent_calls = message.silent_calls;
  if (std::isfinite(message.outputs_since))
    report.outputs_since = std::max(0.0, message.outputs_since);
  return report;
}

wire::QuarantinedPartsT ToMessage(const QuarantineRow& row, Instant now) {
  wire::QuarantinedPartsT message;
  message.service = row.service;
  message.parts = row.traits;
  message.crashes = static_cast<uint32_t>(row.crashes);
  message.age_ms = MillisecondsUntil(now, row.since);
  message.probe_in_ms = MillisecondsUntil(row.probe_at, now);
  message.idle_ms = MillisecondsUntil(now, row.last_refused);
  message.failed_probes = static_cast<uint32_t>(row.failed_probes);
  message.version = row.version;
  message.lifted = row.lifted;
  return message;
}

QuarantineRow FromMessage(const wire::QuarantinedPartsT& message, Instant now) {
  QuarantineRow row;
  row.service = message.service;
  row.traits = message.parts;
  row.crashes = static_cast<int>(message.crashes);
  row.since = now - BoundedTime(message.age_ms);
  row.probe_at = now + BoundedTime(message.probe_in_ms);
  row.last_refused = now - BoundedTime(message.idle_ms);
  row.failed_probes = static_cast<int>(message.failed_probes);
  row.version = message.version;
  row.lifted = message.lifted;
  return row;
}

bool IsValid(const wire::QuarantinedPartsT& message) {
  return !message.parts.empty() && message.parts.size() <= kMaxTraitsOfRow &&
         std::is_sorted(message.parts.begin(), message.parts.end());
}

}  // namespace bbv
