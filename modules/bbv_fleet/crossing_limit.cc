#include "bbv_fleet/crossing_limit.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

// Part of the links' time that calls may take; the rest serves their tokens.
constexpr double kLinkShare = 0.5;
// Link time that may be saved up for calls that come together.
constexpr double kMostSavedMs = 400;

}  // namespace

void ZoneLinkLimiter::SetEntries(int entries) {
  assert(entries > 0);
  entries_ = entries;
}

bool ZoneLinkLimiter::HasCapacity(Instant now) {
  const double passed =
      std::chrono::duration<double, std::milli>(now - refilled_at_).count();
  refilled_at_ = now;
  balance_ms_ = std::min(kMostSavedMs / entries_,
                         balance_ms_ + kLinkShare * passed / entries_);
  return balance_ms_ > 0;
}

void ZoneLinkLimiter::Consume(double link_ms) {
  balance_ms_ -= link_ms;
}

}  // namespace bbv
