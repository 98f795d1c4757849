#include "bbv_fleet/shared_retry_budget.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

constexpr int kSlicesPerWindow = 20;
// Part of the bound that is spent; the rest covers clocks and arrivals that
// cross the edges of a window.
constexpr double kSpentShare = 0.8;
// For how many rounds a part is believed when nothing more is told.
constexpr int kBelievedRounds = 3;

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
  shared_allowance_ -= 1;
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

void SharedRetryBudget::SetOthers(const Spending& others, Instant now) {
  if (now >= told_until_)
    told_since_ = now;
  told_until_ = now + kBelievedRounds * limits_.round;
  if (now < next_grant_ || now < told_since_ + limits_.round)
    return;
  next_grant_ = now + limits_.round;
  const Spending own = Spent(now);
  const double bound =
      kSpentShare *
      (limits_.ratio * (own.calls + others.calls) + limits_.extra);
  const double part = (bound - own.repeats - others.repeats) / entries_;
  // Halfway, so that entries which are granted at the same moment do not all
  // take and give back the same.
  const double held =
      now < shared_until_ ? std::max(0.0, shared_allowance_) : 0;
  shared_allowance_ = (held + part) / 2;
  shared_until_ = now + kBelievedRounds * limits_.round;
}

double SharedRetryBudget::Available(Instant now) {
  if (now < shared_until_)
    return shared_allowance_;
  const Spending own = Spent(now);
  return kSpentShare * (limits_.ratio * own.calls + limits_.extra / entries_) -
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
