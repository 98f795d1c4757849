#ifndef MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_
#define MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "bbv_core/instant.h"

namespace bbv {

// The rate limit that a target has named in its responses: the requests per
// second that it accepts from all entries together.
//
// A response without a limit ends it only if its request was sent after the
// limit was last heard: responses may overtake each other. Deterministic; reads
// no clock. Thread safety: none, owned by one thread.
class TargetRateLimit {
 public:
  // Handles a response of the target to a request that was sent at `sent_at`,
  // if that is known; `per_second` is the limit that it names, if any. Returns
  // whether the limit has begun, ended or changed noticeably.
  bool RecordResponse(std::optional<double> per_second,
                      std::optional<Instant> sent_at,
                      Instant now);

  // Counts a request that this entry sends to the target.
  void RecordRequest();

  // The limit in requests per second; empty if there is none.
  std::optional<double> per_second() const { return per_second_; }
  // Requests that this entry has sent since the limit began.
  int64_t requests() const { return requests_; }

 private:
  std::optional<double> per_second_;
  Instant heard_at_{};
  int64_t requests_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_
