#ifndef MODULES_BBV_RECOVERY_LOST_STREAM_H_
#define MODULES_BBV_RECOVERY_LOST_STREAM_H_

#include "bbv_core/instant.h"

namespace bbv {

// A stream that waits for a replacement of a lost hop.
struct LostStream {
  // Effective priority; 0 is the highest.
  int priority = 0;
  // Tokens of the prompt and of the output so far, which the replacement
  // prefills.
  double unread_tokens = 0;
  // When its next event is due by the route's objective.
  Instant event_deadline{};
  // When its caller is expected to disconnect.
  Instant caller_deadline{};
};

// Expected prefill of a lost stream at its best replacement, in milliseconds.
struct PrefillEstimate {
  // Time for the prompts that are queued there already.
  double backlog_ms = 0;
  // Time until the stream's own tokens are prefilled behind them.
  double total_ms = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_RECOVERY_LOST_STREAM_H_
