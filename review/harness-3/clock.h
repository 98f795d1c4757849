#ifndef REVIEW_HARNESS_3_CLOCK_H_
#define REVIEW_HARNESS_3_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace review3 {

// Milliseconds of the steady clock, which all processes of the machine share.
inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace review3

#endif  // REVIEW_HARNESS_3_CLOCK_H_
