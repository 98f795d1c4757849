#include "bbv_fleet/crash_detector.h"

#include <algorithm>
#include <iterator>

namespace bbv {
namespace {

// Bounds the evidence that one crash can bring.
constexpr std::size_t kMaxSuspects = 256;
constexpr Milliseconds kCheckInterval{300};
// How long a broken connection is remembered. A target that restarts is listed
// again within this time.
constexpr Milliseconds kPendingLifetime{15'000};

}  // namespace

bool CrashDetector::RecordBrokenCall(const FleetTarget& target,
                                     const BrokenCall& call,
                                     Instant now) {
  if (target.IsLeaving())
    return false;
  const TargetRecord& record = target.record;
  PendingCrash& pending = pending_[{record.id, record.started_unix_ms}];
  TargetCrash& crash = pending.crash;
  if (crash.target_id.empty()) {
    crash.target_id = record.id;
    crash.started_unix_ms = record.started_unix_ms;
    crash.service = record.service;
    crash.crashed_at = now;
  }
  pending.last_broken = now;
  ++crash.broken_calls;
  if (!call.began_output) {
    ++crash.silent_calls;
    for (const uint64_t trait : call.traits) {
      if (crash.suspects.size() < kMaxSuspects)
        crash.suspects.push_back({trait, call.call, call.sent_at});
    }
  }
  if (pending.confirmed || now < pending.next_check)
    return false;
  pending.next_check = now + kCheckInterval;
  return true;
}

void CrashDetector::RecordCheck(const std::string& target_id,
                                int64_t started_unix_ms,
                                ListenCheckResult result) {
  const auto it = pending_.find({target_id, started_unix_ms});
  if (it == pending_.end())
    return;
  if (result == ListenCheckResult::kRefused)
    it->second.confirmed = true;
  else if (result == ListenCheckResult::kListening && !it->second.confirmed)
    pending_.erase(it);
}

std::vector<TargetCrash> CrashDetector::TakeCrashes(
    const TargetRegistry& registry,
    Instant now) {
  std::vector<TargetCrash> crashes;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingCrash& pending = it->second;
    const FleetTarget* target = registry.Find(pending.crash.target_id);
    if (target != nullptr &&
        target->record.started_unix_ms > pending.crash.started_unix_ms)
      pending.confirmed = true;
    if (pending.confirmed && pending.crash.broken_calls > 0) {
      crashes.push_back(pending.crash);
      pending.crash.broken_calls = 0;
      pending.crash.silent_calls = 0;
      pending.crash.suspects.clear();
    }
    it = now >= pending.last_broken + kPendingLifetime ? pending_.erase(it)
                                                       : std::next(it);
  }
  return crashes;
}

}  // namespace bbv
