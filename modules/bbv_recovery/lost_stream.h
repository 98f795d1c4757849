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
};

}  // namespace bbv

#endif  // MODULES_BBV_RECOVERY_LOST_STREAM_H_
