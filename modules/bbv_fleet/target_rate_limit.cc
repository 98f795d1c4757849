#include "bbv_fleet/target_rate_limit.h"

#include <cmath>

namespace bbv {
namespace {

// Relative change of a limit below which it counts as the same limit.
constexpr double kNoticeableChange = 0.05;

}  // namespace

bool TargetRateLimit::RecordResponse(std::optional<double> per_second,
                                     std::optional<Instant> sent_at,
                                     Instant now) {
  if (!per_second) {
    if (!per_second_ || !sent_at || *sent_at <= heard_at_)
      return false;
    per_second_.reset();
    return true;
  }
  heard_at_ = now;
  if (per_second_ &&
      std::abs(*per_second_ - *per_second) <= kNoticeableChange * *per_second_)
    return false;
  if (!per_second_)
    requests_ = 0;
  per_second_ = per_second;
  return true;
}

void TargetRateLimit::RecordRequest() {
  ++requests_;
}

}  // namespace bbv
