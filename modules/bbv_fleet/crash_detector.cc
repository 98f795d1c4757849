#include "bbv_fleet/crash_detector.h"

#include <algorithm>
#include <iterator>

namespace bbv {
namespace {

// Bounds the evidence that one crash can bring.
constexpr std::size_t kMaxSuspects = 256;
constexpr Milliseconds kCheckInterval{300};
// Successive checks that must find a target listening, and the time between
// them, until it is taken for alive.
constexpr int kChecksOfLiveTarget = 3;
constexpr Milliseconds kRepeatedCheckInterval{100};
// Checks without an answer, which prove nothing, after which no other follows.
constexpr int kMaxUnansweredChecks = 10;
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
  pending.repeat_check_at = now + kRepeatedCheckInterval;
  return true;
}

void CrashDetector::RecordCheck(const std::string& target_id,
                                int64_t started_unix_ms,
                                ListenCheckResult result) {
  const auto it = pending_.find({target_id, started_unix_ms});
  if (it == pending_.end())
    return;
  PendingCrash& pending = it->second;
  if (result == ListenCheckResult::kRefused) {
    pending.confirmed = true;
    return;
  }
  if (pending.confirmed)
    return;
  if (result == ListenCheckResult::kNoAnswer) {
    pending.is_repeat_due = ++pending.unanswered_checks < kMaxUnansweredChecks;
    return;
  }
  if (++pending.listening_checks == kChecksOfLiveTarget)
    pending_.erase(it);
  else
    pending.is_repeat_due = true;
}

std::vector<CrashDetector::ProcessKey> CrashDetector::TakeDueChecks(
    Instant now) {
  std::vector<ProcessKey> due;
  for (auto& [key, pending] : pending_) {
    if (!pending.is_repeat_due || now < pending.repeat_check_at)
      continue;
    pending.is_repeat_due = false;
    pending.repeat_check_at = now + kRepeatedCheckInterval;
    due.push_back(key);
  }
  return due;
}

std::vector<TargetCrash> CrashDetector::TakeCrashes(
    const TargetRegistry& registry,
    Instant now) {
  std::vector<TargetCrash> crashes;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingCrash& pending = it->second;
    const FleetTarget* target = registry.Find(pending.crash.target_id);
    // A target that was found listening may be started again for any reason.
    if (target != nullptr && pending.listening_checks == 0 &&
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
