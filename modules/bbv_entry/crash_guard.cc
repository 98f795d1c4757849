#include "bbv_entry/crash_guard.h"

#include <algorithm>
#include <cassert>
#include <vector>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Parts named in one log line.
constexpr std::size_t kMaxLoggedParts = 32;

// Returns the distinct parts of the suspects, in the order of the calls.
std::vector<uint64_t> SuspectParts(const TargetCrash& crash) {
  std::vector<uint64_t> parts;
  for (const CrashSuspect& it : crash.suspects) {
    if (parts.size() < kMaxLoggedParts &&
        std::find(parts.begin(), parts.end(), it.part) == parts.end())
      parts.push_back(it.part);
  }
  return parts;
}

}  // namespace

CrashGuard::CrashGuard(EventLoop* loop,
                       DecisionLog* log,
                       const TargetRegistry* registry)
    : log_(log), registry_(registry), listen_checker_(loop) {
  assert(log != nullptr && registry != nullptr);
}

void CrashGuard::OnCallBroken(const CallRequest& request,
                              const std::string& target_id,
                              Instant sent_at,
                              bool began_output,
                              Instant now) {
  const FleetTarget* target = registry_->Find(target_id);
  if (target == nullptr)
    return;
  const BrokenCall call{HashBytes32(request.attempt_id), request.shared_parts,
                        sent_at, began_output};
  if (crash_detector_.RecordBrokenCall(*target, call, now))
    CheckTarget(*target, now);
}

void CrashGuard::CheckTarget(const FleetTarget& target, Instant now) {
  const auto address = ParseSocketAddress(target.record.address);
  if (!address)
    return;
  listen_checker_.Check(
      *address, now,
      [this, id = target.record.id,
       started = target.record.started_unix_ms](ListenCheckResult result) {
        crash_detector_.RecordCheck(id, started, result);
      });
}

void CrashGuard::OnTick(Instant now) {
  listen_checker_.OnTick(now);
  for (const TargetCrash& it : crash_detector_.TakeCrashes(*registry_, now))
    OnCrash(it, now);
}

void CrashGuard::OnCrash(const TargetCrash& crash, Instant now) {
  log_->Write(Event::kTargetCrashed, now,
              {{"target", crash.target_id},
               {"service", crash.service},
               {"calls", static_cast<int64_t>(crash.broken_calls)},
               {"silent", static_cast<int64_t>(crash.silent_calls)},
               {"parts", FormatParts(SuspectParts(crash))},
               {"age_ms", static_cast<int64_t>(
                              RemainingMilliseconds(now, crash.crashed_at))}});
}

}  // namespace bbv
