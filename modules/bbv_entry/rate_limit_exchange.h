#ifndef MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_
#define MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_

#include <optional>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_observe/decision_log.h"
#include "platform/call_codec.h"

namespace bbv {

// Follows the rate limits that targets name in their responses.
//
// Thread safety: none, the loop's thread.
class RateLimitExchange {
 public:
  // All arguments must outlive this object.
  RateLimitExchange(DecisionLog* log, TargetRegistry* registry);

  // Handles the head of a response of `target` to a request that was sent at
  // `sent_at`, if that is known.
  void OnResponse(FleetTarget* target,
                  const platform::TargetNotice& notice,
                  std::optional<Instant> sent_at,
                  Instant now);

 private:
  void LogLimit(const FleetTarget& target,
                std::optional<double> before,
                std::string_view source,
                Instant now);

  DecisionLog* log_;
  TargetRegistry* registry_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_
