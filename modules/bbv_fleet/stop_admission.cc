#include "bbv_fleet/stop_admission.h"

#include <cassert>

namespace bbv {
namespace {

// After this time, callers know of the stop: the load balancer has noticed it,
// and connections that were kept have been closed.
constexpr Milliseconds kCallerNoticeTime{2900};
// Usual upper bound of the duration of a stream.
constexpr Milliseconds kMaxStreamTime{4800};
// Factor between the longest recent duration of a route's calls and the time
// that a new one is given.
constexpr int kDurationFactor = 2;

}  // namespace

StopAdmission::StopAdmission(Instant stop_began,
                             Instant stop_deadline,
                             const CallDurations* durations)
    : stop_deadline_(stop_deadline),
      strict_from_(stop_began + kCallerNoticeTime),
      durations_(durations) {
  assert(durations != nullptr);
}

bool StopAdmission::Accepts(const ServiceRoute& route,
                            Instant call_deadline,
                            Instant now) const {
  if (call_deadline <= stop_deadline_)
    return true;
  if (now >= strict_from_)
    return false;
  if (route.kind == CallKind::kStream && route.resumable)
    return now + kMaxStreamTime <= stop_deadline_;
  const auto longest = durations_->Longest(route.name, now);
  return longest && now + kDurationFactor * *longest <= stop_deadline_;
}

}  // namespace bbv
