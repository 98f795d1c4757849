#ifndef MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_
#define MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "bbv_core/instant.h"

namespace bbv {

// The rate limit that a target has named in its responses, the requests per
// second that it accepts from all entries together, and this entry's share of
// it.
//
// Entries tell each other what they hear. Of two statements the one with the
// higher version is newer; of two of the same version the lower limit holds. A
// response without a limit ends it only if its request was sent after the limit
// was last heard: responses may overtake each other.
//
// The entry's requests take tokens from a bucket that its share fills. The
// bucket is empty when the limit begins, since the target has already received
// requests. Deterministic; reads no clock. Thread safety: none, owned by one
// thread.
class TargetRateLimit {
 public:
  // What an entry knows of a target's limit.
  struct Statement {
    // Requests per second; empty if the limit has ended.
    std::optional<double> per_second;
    // Increases with each change; 0 if the target has never named a limit.
    uint32_t version = 0;
    // When a response last confirmed it.
    Instant heard_at{};
  };

  // Part of a limit that the entries use together. Two sets of entries that
  // hold the limit during a change of hands stay within 1.5 times the limit.
  static constexpr double kUsablePart = 0.75;

  // Handles a response of the target to a request that was sent at `sent_at`,
  // if that is known; `per_second` is the limit that it names, if any. Returns
  // whether the limit has begun, ended or changed noticeably.
  bool RecordResponse(std::optional<double> per_second,
                      std::optional<Instant> sent_at,
                      Instant now);

  // Handles what another entry knows; returns whether it was new.
  bool Merge(const Statement& other, Instant now);

  // Sets this entry's share of the limit, from 0 to 1. A higher share than
  // before applies after `delay`, in which the entry that held it gives it up.
  void SetShare(double share, Milliseconds delay, Instant now);

  // Counts a request that this entry sends to the target; has no effect without
  // a limit.
  void RecordRequest(Instant now);

  // Whether this entry may send a request now; always true without a limit.
  bool HasAllowance(Instant now) const;
  // When this entry may send its next request; empty if its share is 0.
  std::optional<Instant> NextAllowance(Instant now) const;

  const Statement& statement() const { return statement_; }
  // The limit in requests per second; empty if there is none.
  std::optional<double> per_second() const { return statement_.per_second; }
  double share() const { return share_; }
  // Requests that this entry has sent since the limit began.
  int64_t requests() const { return requests_; }

 private:
  // A share that applies from a later time on.
  struct PendingShare {
    double share = 0;
    Instant from{};
  };

  void Replace(const Statement& statement, Instant now);
  // Tokens per second that a share brings.
  double RateOf(double share) const;
  double TokensAt(Instant now) const;
  // Updates the tokens and the share to `now`.
  void Refill(Instant now);

  Statement statement_;
  double share_ = 0;
  std::optional<PendingShare> pending_share_;
  double tokens_ = 0;
  Instant refilled_at_{};
  int64_t requests_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_RATE_LIMIT_H_
