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
                            std::size_t left_behind,
                            std::size_t held) {
  if (left_behind > batch_ / 4) {
    // While more are held than the limit allows, its effect is still to come.
    if (held <= limit_)
      limit_ = std::max(minimum_, limit_ - 1);
    return;
  }
  // Only a limit that binds says anything about being too low.
  const bool binds = held + held / 8 + 1 >= limit_;
  if (binds && in_batch < batch_)
    limit_ = std::min(maximum_, limit_ + 1);
}

}  // namespace bbv
