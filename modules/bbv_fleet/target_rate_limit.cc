#include "bbv_fleet/target_rate_limit.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <limits>

namespace bbv {
namespace {

// Relative change of a limit below which it counts as the same limit.
constexpr double kNoticeableChange = 0.05;
// A lower limit, such as 0, counts as this many requests per second: without
// any request its end would not be noticed.
constexpr double kMinPerSecond = 0.1;
// Requests that may follow one another at once: at least one, or those of this
// time.
constexpr double kBurstSeconds = 0.25;
// Requests that were sent without an allowance and delay later ones.
constexpr double kMaxDebt = 1;
// Tolerance for sums of fractions of a token.
constexpr double kTokenTolerance = 1e-6;

double SecondsBetween(Instant from, Instant to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double OrUnlimited(std::optional<double> per_second) {
  return per_second.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

bool TargetRateLimit::RecordResponse(std::optional<double> per_second,
                                     std::optional<Instant> sent_at,
                                     Instant now) {
  const std::optional<double> known = statement_.per_second;
  if (!per_second) {
    if (!known || !sent_at || *sent_at <= statement_.heard_at)
      return false;
    Replace({std::nullopt, statement_.version + 1, now}, now);
    return true;
  }
  statement_.heard_at = now;
  if (known && std::abs(*known - *per_second) <= kNoticeableChange * *known)
    return false;
  Replace({per_second, statement_.version + 1, now}, now);
  return true;
}

bool TargetRateLimit::Merge(const Statement& other, Instant now) {
  if (other.version < statement_.version)
    return false;
  const double limit = OrUnlimited(other.per_second);
  const double known = OrUnlimited(statement_.per_second);
  if (other.version == statement_.version && limit >= known) {
    if (limit == known)
      statement_.heard_at = std::max(statement_.heard_at, other.heard_at);
    return false;
  }
  Replace(other, now);
  return true;
}

void TargetRateLimit::Replace(const Statement& statement, Instant now) {
  Refill(now);
  if (!statement_.per_second) {
    requests_ = 0;
    tokens_ = 0;
    share_ = 0;
    pending_share_.reset();
  }
  statement_ = statement;
}

void TargetRateLimit::SetShare(double share, Milliseconds delay, Instant now) {
  assert(share >= 0 && share <= 1);
  Refill(now);
  if (share <= share_) {
    share_ = share;
    pending_share_.reset();
    return;
  }
  if (!pending_share_)
    pending_share_ = PendingShare{share, now + delay};
  pending_share_->share = share;
  Refill(now);
}

void TargetRateLimit::RecordRequest(Instant now) {
  if (!statement_.per_second)
    return;
  ++requests_;
  Refill(now);
  tokens_ = std::max(tokens_ - 1, -kMaxDebt);
}

bool TargetRateLimit::HasAllowance(Instant now) const {
  return !statement_.per_second || TokensAt(now) >= 1 - kTokenTolerance;
}

std::optional<Instant> TargetRateLimit::NextAllowance(Instant now) const {
  if (HasAllowance(now))
    return now;
  const double rate = RateOf(share_);
  if (rate <= 0)
    return pending_share_ ? std::optional(pending_share_->from) : std::nullopt;
  const auto wait = std::chrono::duration<double>((1 - TokensAt(now)) / rate);
  return now + std::chrono::duration_cast<Milliseconds>(wait) + Milliseconds(1);
}

double TargetRateLimit::RateOf(double share) const {
  const double per_second = statement_.per_second.value_or(0);
  return kUsablePart * std::max(per_second, kMinPerSecond) * share;
}

double TargetRateLimit::TokensAt(Instant now) const {
  const auto fill = [this](double tokens, double share, Instant from,
                           Instant to) {
    const double rate = RateOf(share);
    return std::min(tokens + rate * SecondsBetween(from, to),
                    std::max({1.0, kBurstSeconds * rate, tokens}));
  };
  if (!pending_share_ || now < pending_share_->from)
    return fill(tokens_, share_, refilled_at_, now);
  const Instant from = std::max(pending_share_->from, refilled_at_);
  return fill(fill(tokens_, share_, refilled_at_, from), pending_share_->share,
              from, now);
}

void TargetRateLimit::Refill(Instant now) {
  tokens_ = TokensAt(now);
  refilled_at_ = now;
  if (!pending_share_ || now < pending_share_->from)
    return;
  share_ = pending_share_->share;
  pending_share_.reset();
}

}  // namespace bbv
