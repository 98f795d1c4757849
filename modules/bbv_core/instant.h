#ifndef MODULES_BBV_CORE_INSTANT_H_
#define MODULES_BBV_CORE_INSTANT_H_

#include <chrono>
#include <cstdint>

namespace bbv {

// A point on the process's monotonic clock. Decision logic is handed instants
// and never reads the clock itself; what it stores are deadlines of this type.
using Instant = std::chrono::steady_clock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// Returns the whole milliseconds from `now` to `deadline`, 0 when it has
// passed. Used where a deadline crosses to a process with another clock.
// Thread safe.
inline uint32_t RemainingMilliseconds(Instant deadline, Instant now) {
  if (deadline <= now)
    return 0;
  const auto n = std::chrono::duration_cast<Milliseconds>(deadline - now);
  return static_cast<uint32_t>(n.count());
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_INSTANT_H_
