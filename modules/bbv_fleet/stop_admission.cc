#include "bbv_fleet/stop_admission.h"

#include <cassert>

namespace bbv {
namespace {

// After this time, callers know of the stop: the load balancer has noticed it,
// and connections that were kept have been closed.
constexpr Milliseconds kCallerNoticeTime{2900};
// Share of a route's recent streams that ended within the time that a new one
// would have. Those that do not end are cut and have to be resumed.
constexpr int kEndingStreamsPercent = 98;
// Time that a stream must have left if its usual duration is not known, or if
// no other entry serves.
constexpr Milliseconds kMinStreamTime{4800};
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
                            bool others_serve,
                            Instant now) const {
  if (call_deadline <= stop_deadline_)
    return true;
  if (now >= strict_from_)
    return false;
  if (route.kind == CallKind::kStream && route.resumable)
    return now + RequiredStreamTime(route, others_serve, now) <= stop_deadline_;
  const auto longest = durations_->Longest(route.name, now);
  return longest && now + kDurationFactor * *longest <= stop_deadline_;
}

Milliseconds StopAdmission::RequiredStreamTime(const ServiceRoute& route,
                                               bool others_serve,
                                               Instant now) const {
  if (!others_serve)
    return kMinStreamTime;
  return durations_->Percentile(route.name, kEndingStreamsPercent, now)
      .value_or(kMinStreamTime);
}

}  // namespace bbv
