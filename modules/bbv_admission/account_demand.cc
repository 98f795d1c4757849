#include "bbv_admission/account_demand.h"

#include <algorithm>
#include <cassert>

#include "bbv_admission/decay.h"

namespace bbv {
namespace {

// Time constant of the decay of refused tokens. Their callers soon ask again,
// so that older refusals would count the same demand twice.
constexpr Milliseconds kRefusedWindow{1000};
// A row with fewer tokens than this is forgotten.
constexpr double kMinTokens = 0.5;

// The rows of one group, by falling demand.
using GroupRows = std::vector<DemandTable::const_iterator>;

double TotalOf(const GroupRows& rows) {
  double total = 0;
  for (const auto& it : rows)
    total += it->second.total();
  return total;
}

std::vector<GroupRows> ByGroup(const DemandTable& rows) {
  std::vector<GroupRows> groups;
  for (auto it = rows.begin(); it != rows.end(); ++it) {
    if (groups.empty() || groups.back().front()->first.group != it->first.group)
      groups.emplace_back();
    groups.back().push_back(it);
  }
  for (GroupRows& group : groups) {
    std::stable_sort(group.begin(), group.end(),
                     [](const auto& left, const auto& right) {
                       return left->second.total() > right->second.total();
                     });
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const GroupRows& left, const GroupRows& right) {
                     return TotalOf(left) > TotalOf(right);
                   });
  return groups;
}

}  // namespace

Demand& Demand::operator+=(const Demand& other) {
  asked += other.asked;
  taken += other.taken;
  unmet += other.unmet;
  return *this;
}

void AddDemand(const DemandTable& part, DemandTable* sums) {
  assert(sums != nullptr);
  for (const auto& [key, demand] : part)
    (*sums)[key] += demand;
}

DemandTable LimitRows(const DemandTable& rows, std::size_t max_rows) {
  assert(max_rows > 0);
  if (rows.size() <= max_rows)
    return rows;
  std::vector<GroupRows> groups = ByGroup(rows);
  groups.resize(std::min(groups.size(), max_rows));
  DemandTable limited;
  std::size_t left = max_rows;
  for (std::size_t n = 0; n < groups.size(); ++n) {
    const std::size_t part = left / (groups.size() - n);
    const std::size_t named =
        groups[n].size() <= part ? groups[n].size() : part - 1;
    for (std::size_t it = 0; it < groups[n].size(); ++it) {
      DemandKey key = groups[n][it]->first;
      if (it >= named)
        key.account = kOtherAccounts;
      limited[key] += groups[n][it]->second;
    }
    left = max_rows - limited.size();
  }
  return limited;
}

void DemandMeter::Decay(Instant now) {
  if (now <= updated_at_)
    return;
  const double factor = DecayFactor(updated_at_, now, kWindow);
  const double refused_factor = DecayFactor(updated_at_, now, kRefusedWindow);
  updated_at_ = now;
  for (auto& [key, it] : recent_) {
    it.asked *= factor;
    it.taken *= factor;
    it.unmet *= refused_factor;
  }
  std::erase_if(recent_, [](const auto& it) {
    const Demand& demand = it.second;
    return std::max({demand.asked, demand.taken, demand.unmet}) < kMinTokens;
  });
}

void DemandMeter::RecordAsked(const DemandKey& key,
                              double tokens,
                              Instant now) {
  Decay(now);
  recent_[key].asked += tokens;
}

void DemandMeter::RecordTaken(const DemandKey& key,
                              double tokens,
                              Instant now) {
  Decay(now);
  recent_[key].taken += tokens;
}

void DemandMeter::RecordRefused(const DemandKey& key,
                                double tokens,
                                Instant now) {
  Decay(now);
  recent_[key].unmet += tokens;
}

void DemandMeter::AddWaiting(const DemandKey& key, double tokens) {
  waiting_[key] += tokens;
}

void DemandMeter::RemoveWaiting(const DemandKey& key, double tokens) {
  const auto it = waiting_.find(key);
  if (it == waiting_.end())
    return;
  it->second -= tokens;
  if (it->second < kMinTokens)
    waiting_.erase(it);
}

const DemandTable& DemandMeter::Rows(Instant now) {
  Decay(now);
  rows_ = recent_;
  for (const auto& [key, tokens] : waiting_)
    rows_[key].unmet += tokens;
  return rows_;
}

}  // namespace bbv
