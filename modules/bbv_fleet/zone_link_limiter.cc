#include "bbv_fleet/zone_link_limiter.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

// Fraction of the link time available to prompts. The rest is left for the
// activations of generated tokens.
constexpr double kLinkShare = 0.5;
// Bucket size of all entries together: unused link time that may accumulate for
// bursts of calls.
constexpr double kMaxBurstMs = 400;

}  // namespace

void ZoneLinkLimiter::SetEntries(int entries) {
  assert(entries > 0);
  entries_ = entries;
}

bool ZoneLinkLimiter::HasCapacity(Instant now, double kept_share) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - refilled_at_).count();
  refilled_at_ = now;
  balance_ms_ = std::min(kMaxBurstMs / entries_,
                         balance_ms_ + kLinkShare * elapsed_ms / entries_);
  return balance_ms_ > kept_share * kMaxBurstMs / entries_;
}

void ZoneLinkLimiter::Consume(double link_ms) {
  balance_ms_ -= link_ms;
}

}  // namespace bbv
