#include "bbv_entry/rate_limit_exchange.h"

#include <cassert>
#include <string>

namespace bbv {

RateLimitExchange::RateLimitExchange(DecisionLog* log, TargetRegistry* registry)
    : log_(log), registry_(registry) {
  assert(log != nullptr && registry != nullptr);
}

void RateLimitExchange::OnResponse(FleetTarget* target,
                                   const platform::TargetNotice& notice,
                                   std::optional<Instant> sent_at,
                                   Instant now) {
  assert(target != nullptr);
  if (notice.rate_limit_invalid) {
    log_->Write(
        Event::kTargetLimited, now,
        {{"target", target->record.id}, {"odd", notice.rate_limit_invalid}});
    if (!notice.rate_limit)
      return;
  }
  const std::optional<double> before = target->rate_limit.per_second();
  if (target->rate_limit.RecordResponse(notice.rate_limit, sent_at, now))
    LogLimit(*target, before, "its answer", now);
}

void RateLimitExchange::LogLimit(const FleetTarget& target,
                                 std::optional<double> before,
                                 std::string_view source,
                                 Instant now) {
  const TargetRateLimit& limit = target.rate_limit;
  if (!limit.per_second()) {
    log_->Write(Event::kTargetLimitEnded, now,
                {{"target", target.record.id},
                 {"source", std::string(source)},
                 {"requests", limit.requests()}});
    return;
  }
  log_->Write(Event::kTargetLimited, now,
              {{"target", target.record.id},
               {"per_second", *limit.per_second()},
               {"before", before.value_or(0)},
               {"source", std::string(source)}});
}

}  // namespace bbv
