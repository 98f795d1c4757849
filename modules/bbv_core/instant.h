#ifndef MODULES_BBV_CORE_INSTANT_H_
#define MODULES_BBV_CORE_INSTANT_H_

#include <chrono>
#include <cstdint>

namespace bbv {

// A point in time on the process's monotonic clock. Decision logic receives the
// current time as a parameter, never reads the clock itself and stores absolute
// deadlines.
using Instant = std::chrono::steady_clock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// Returns the milliseconds from `now` to `deadline`, rounded down, or 0 if the
// deadline has passed. Deadlines are sent to other processes in this form
// because monotonic clocks of different processes are not comparable. Thread
// safe.
inline uint32_t RemainingMilliseconds(Instant deadline, Instant now) {
  if (deadline <= now)
    return 0;
  const auto n = std::chrono::duration_cast<Milliseconds>(deadline - now);
  return static_cast<uint32_t>(n.count());
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_INSTANT_H_
