#include "bbv_entry/rate_limit_exchange.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/target_messages.h"

namespace bbv {
namespace {

constexpr Milliseconds kUpdateInterval{100};
// How long an entry claims a target after the last call for its service.
constexpr Milliseconds kClaimTime{3000};
// Limit on the targets that an entry claims.
constexpr std::size_t kMaxClaims = 32;
// A grant lapses this long after the last digest of the relay.
constexpr Milliseconds kGrantLifetime{1500};
// Interval at which limits are sent again, how many at a time, and for how long
// after they have ended.
constexpr Milliseconds kShareInterval{1000};
constexpr std::size_t kMaxSharedLimits = 32;
constexpr Milliseconds kEndedLimitLifetime{30'000};
static_assert(ZoneAggregator::kMaxClaimsPerTarget >=
                  RateLimitAllocator::kMaxHolders,
              "one zone's claims suffice for all holders of a limit");

// Whether other entries that missed the news need to hear of the limit.
bool IsWorthSharing(const TargetRateLimit& limit, Instant now) {
  const TargetRateLimit::Statement& known = limit.statement();
  return known.version > 0 &&
         (known.per_second || now < known.heard_at + kEndedLimitLifetime);
}

bool IsUntil(const std::map<std::string, Instant, std::less<>>& deadlines,
             const std::string& service,
             Instant now) {
  const auto it = deadlines.find(service);
  return it != deadlines.end() && now < it->second;
}

}  // namespace

RateLimitExchange::RateLimitExchange(DecisionLog* log,
                                     TargetRegistry* registry,
                                     const MemberRecord& own,
                                     Announce announce)
    : log_(log),
      registry_(registry),
      own_zone_(own.zone),
      own_hash_(HashBytes32(own.address)),
      announce_(std::move(announce)) {
  assert(log != nullptr && registry != nullptr);
}

void RateLimitExchange::OnResponse(FleetTarget* target,
                                   const platform::TargetNotice& notice,
                                   std::optional<Instant> sent_at,
                                   Instant now) {
  assert(target != nullptr);
  if (notice.rate_limit_invalid) {
    log_->Write(Event::kTargetLimited, now,
                {{"target", target->record.id}, {"odd", true}});
    if (!notice.rate_limit)
      return;
  }
  const std::optional<double> before = target->rate_limit.per_second();
  if (!target->rate_limit.RecordResponse(notice.rate_limit, sent_at, now))
    return;
  LogLimit(*target, before, "its answer", now);
  wire::RateLimitNoticeT message;
  message.limits.push_back(ToRateLimitMessage(*target, now));
  announce_(std::move(message), now);
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
               {"source", std::string(source)},
               {"age_ms", static_cast<int64_t>(RemainingMilliseconds(
                              now, limit.statement().heard_at))}});
}

void RateLimitExchange::RecordCall(const std::string& service, Instant now) {
  called_until_[service] = now + kClaimTime;
}

void RateLimitExchange::RecordShortage(const std::string& service,
                                       Instant now) {
  short_until_[service] = now + kClaimTime;
}

void RateLimitExchange::OnTick(int entries,
                               Milliseconds propagation_time,
                               Instant now) {
  assert(entries > 0);
  entries_ = entries;
  propagation_time_ = propagation_time;
  if (now < next_update_)
    return;
  next_update_ = now + kUpdateInterval;
  UpdateShares(now);
}

void RateLimitExchange::UpdateShares(Instant now) {
  const bool has_grants = now < grants_lapse_at_;
  for (const auto& [id, row] : registry_->rows()) {
    if (!row->rate_limit.per_second())
      continue;
    const auto grant = grants_.find(HashBytes32(id));
    if (!has_grants || grant == grants_.end())
      row->rate_limit.SetShare(1.0 / entries_, Milliseconds(0), now);
    else if (!grant->second.is_own)
      row->rate_limit.SetShare(0, Milliseconds(0), now);
    else
      row->rate_limit.SetShare(1.0 / grant->second.holders, propagation_time_,
                               now);
  }
}

bool RateLimitExchange::IsClaimed(const FleetTarget& target,
                                  Instant now) const {
  const TargetRecord& record = target.record;
  if (!target.rate_limit.per_second() ||
      !IsUntil(called_until_, record.service, now) ||
      !registry_->IsUsable(target, now))
    return false;
  // Calls of engines stay in the caller's zone unless it has no path for them,
  // and begin at the targets with the first layers.
  const bool is_engine = !record.accelerator.empty();
  return !is_engine || (record.layers && record.layers->from == 0 &&
                        (record.zone == own_zone_ ||
                         IsUntil(short_until_, record.service, now)));
}

std::vector<uint32_t> RateLimitExchange::Claims(Instant now) const {
  std::vector<uint32_t> claims;
  for (const auto& [id, row] : registry_->rows()) {
    if (IsClaimed(*row, now))
      claims.push_back(HashBytes32(id));
  }
  // Entries that cannot claim all targets claim different ones.
  std::sort(claims.begin(), claims.end(),
            [this](uint32_t left, uint32_t right) {
              return RendezvousBefore(own_hash_, left, right);
            });
  if (claims.size() > kMaxClaims)
    claims.resize(kMaxClaims);
  return claims;
}

std::vector<wire::RateLimitRow> RateLimitExchange::TakeDueLimits(Instant now) {
  std::vector<wire::RateLimitRow> limits;
  if (now < next_share_)
    return limits;
  next_share_ = now + kShareInterval;
  const auto& rows = registry_->rows();
  auto it = rows.upper_bound(last_sent_);
  for (std::size_t n = 0; n < rows.size(); ++n, ++it) {
    if (it == rows.end())
      it = rows.begin();
    if (!IsWorthSharing(it->second->rate_limit, now))
      continue;
    limits.push_back(ToRateLimitMessage(*it->second, now));
    last_sent_ = it->first;
    if (limits.size() == kMaxSharedLimits)
      break;
  }
  return limits;
}

bool RateLimitExchange::OnLimits(const std::vector<wire::RateLimitRow>& limits,
                                 Instant now) {
  bool is_new = false;
  for (const wire::RateLimitRow& it : limits) {
    FleetTarget* target = registry_->FindByHash(it.target());
    if (target == nullptr ||
        static_cast<uint32_t>(target->record.started_unix_ms) != it.started())
      continue;
    const std::optional<double> before = target->rate_limit.per_second();
    if (!target->rate_limit.Merge(FromMessage(it, now), now))
      continue;
    is_new = true;
    LogLimit(*target, before, "peer", now);
  }
  return is_new;
}

std::vector<wire::RateClaimRow> RateLimitExchange::Allocate(
    const GossipDelegate::ClaimsByZone& claims) {
  std::vector<RateClaim> all;
  for (const auto& [zone, rows] : claims) {
    for (const wire::RateClaimRow& it : rows) {
      const FleetTarget* target = registry_->FindByHash(it.target());
      if (target != nullptr) {
        all.push_back({it.target(), it.member(), target->record.zone == zone});
      }
    }
  }
  std::vector<wire::RateClaimRow> grants;
  const auto limit_of = [this](uint32_t target) {
    return registry_->FindByHash(target)->rate_limit.per_second();
  };
  for (const RateClaim& it :
       RateLimitAllocator::Allocate(std::move(all), limit_of))
    grants.emplace_back(it.target, it.member);
  return grants;
}

void RateLimitExchange::OnGrants(const std::vector<wire::RateClaimRow>& grants,
                                 Instant now) {
  grants_.clear();
  for (const wire::RateClaimRow& it : grants) {
    Grant& grant = grants_[it.target()];
    ++grant.holders;
    grant.is_own |= it.member() == own_hash_;
  }
  grants_lapse_at_ = now + kGrantLifetime;
  UpdateShares(now);
}

}  // namespace bbv
