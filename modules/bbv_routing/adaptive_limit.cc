#include "bbv_routing/adaptive_limit.h"

#include <algorithm>
#include <cassert>

namespace bbv {

AdaptiveLimit::AdaptiveLimit(uint32_t batch, uint32_t maximum)
    : batch_(batch),
      maximum_(maximum),
      minimum_(std::min(maximum, std::max<uint32_t>(batch / 2, 1))),
      limit_(std::min(maximum, batch * 2)) {
  assert(batch > 0 && maximum > 0);
}

void AdaptiveLimit::Observe(std::size_t in_batch,
                            std::size_t unscheduled,
                            std::size_t admitted) {
  if (unscheduled > batch_ / 4) {
    // While more sequences are admitted than the limit allows, its last
    // decrease has not taken effect yet.
    if (admitted <= limit_)
      limit_ = std::max(minimum_, limit_ - 1);
    return;
  }
  // Utilization below the limit does not show that the limit is too low.
  const bool is_binding = admitted + admitted / 8 + 1 >= limit_;
  if (is_binding && in_batch < batch_)
    limit_ = std::min(maximum_, limit_ + 1);
}

}  // namespace bbv
