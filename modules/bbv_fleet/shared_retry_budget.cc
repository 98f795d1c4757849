#include "bbv_fleet/shared_retry_budget.h"

#include <cassert>

namespace bbv {
namespace {

constexpr int kSlicesPerWindow = 20;
// Part of the bound that is spent; the rest covers clocks and arrivals that
// cross the edges of a window.
constexpr double kSpentShare = 0.8;

}  // namespace

SharedRetryBudget::SharedRetryBudget(Limits limits) : limits_(limits) {
  assert(limits.ratio >= 0 && limits.extra >= 0 && limits.window.count() > 0);
}

void SharedRetryBudget::SetEntries(int entries) {
  assert(entries > 0);
  entries_ = entries;
}

void SharedRetryBudget::RecordCall(Instant now) {
  ++CurrentSlice(now).calls;
}

bool SharedRetryBudget::TryTake(Instant now) {
  if (Available(now) < 1)
    return false;
  ++CurrentSlice(now).repeats;
  return true;
}

double SharedRetryBudget::Available(Instant now) {
  CurrentSlice(now);
  double calls = 0;
  double repeats = 0;
  for (const Slice& it : slices_) {
    calls += it.calls;
    repeats += it.repeats;
  }
  return kSpentShare * (limits_.ratio * calls + limits_.extra / entries_) -
         repeats;
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
