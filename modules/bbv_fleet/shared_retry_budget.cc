#include "bbv_fleet/shared_retry_budget.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

constexpr int kSlicesPerWindow = 20;
// Fraction of the bound that is used. The rest covers clock differences and
// calls that arrive across the edge of a window.
constexpr double kUsableShare = 0.8;
// Number of rounds for which a report and a grant stay valid without a new
// report.
constexpr int kReportLifetimeRounds = 3;

}  // namespace

SharedRetryBudget::SharedRetryBudget(Limits limits) : limits_(limits) {
  assert(limits.ratio >= 0 && limits.extra >= 0 && limits.window.count() > 0);
}

void SharedRetryBudget::SetEntries(int entries, Milliseconds round) {
  assert(entries > 0 && round.count() > 0);
  entries_ = entries;
  limits_.round = round;
}

void SharedRetryBudget::RecordCall(Instant now) {
  ++CurrentSlice(now).calls;
}

bool SharedRetryBudget::TryTake(Instant now) {
  if (Available(now) < 1)
    return false;
  ++CurrentSlice(now).repeats;
  granted_allowance_ -= 1;
  return true;
}

SharedRetryBudget::Spending SharedRetryBudget::Spent(Instant now) {
  CurrentSlice(now);
  Spending spent;
  for (const Slice& it : slices_) {
    spent.calls += it.calls;
    spent.repeats += it.repeats;
  }
  return spent;
}

SharedRetryBudget::Spending SharedRetryBudget::Committed(Instant now) {
  Spending committed = Spent(now);
  committed.repeats += std::max(0.0, Available(now));
  return committed;
}

void SharedRetryBudget::SetOthersSpending(const Spending& others, Instant now) {
  if (now >= reported_until_)
    reported_since_ = now;
  reported_until_ = now + kReportLifetimeRounds * limits_.round;
  if (now < next_grant_ || now < reported_since_ + limits_.round)
    return;
  next_grant_ = now + limits_.round;
  const Spending own = Spent(now);
  const double bound =
      kUsableShare *
      (limits_.ratio * (own.calls + others.calls) + limits_.extra);
  const double grant = (bound - own.repeats - others.repeats) / entries_;
  // Averages the previous and the new grant. Otherwise entries that receive a
  // grant at the same time would all take and return the same amount in turn.
  const double previous =
      now < granted_until_ ? std::max(0.0, granted_allowance_) : 0;
  granted_allowance_ = (previous + grant) / 2;
  granted_until_ = now + kReportLifetimeRounds * limits_.round;
}

double SharedRetryBudget::Available(Instant now) {
  if (now < granted_until_)
    return granted_allowance_;
  const Spending own = Spent(now);
  return kUsableShare * (limits_.ratio * own.calls + limits_.extra / entries_) -
         own.repeats;
}

SharedRetryBudget::Slice& SharedRetryBudget::CurrentSlice(Instant now) {
  while (!slices_.empty() && slices_.front().start + limits_.window <= now)
    slices_.pop_front();
  if (slices_.empty() ||
      slices_.back().start + limits_.window / kSlicesPerWindow <= now)
    slices_.push_back({now, 0, 0});
  return slices_.back();
}

}  // namespace bbv
