#include "bbv_admission/account_shares.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

#include "bbv_admission/max_min.h"

namespace bbv {
namespace {

constexpr Milliseconds kDivisionInterval{200};
// Time in which accounts above their share make up for what the others lack.
constexpr double kRoundSeconds = 0.5;
// An account yields only if it has taken more than its share by this fraction.
constexpr double kTolerance = 0.1;
// Nothing yields if the others lack less than this fraction of the capacity.
constexpr double kMinLack = 0.02;
// By this fraction a yielding account may take more than it took lately, so
// that capacity which the others leave is used again.
constexpr double kGrowth = 0.25;
// What a limit may save up.
constexpr double kBurstSeconds = 0.25;

double Seconds(Milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

double TakenPerSecond(const Demand& demand) {
  return demand.taken / Seconds(DemandMeter::kWindow);
}

double AskedPerSecond(const Demand& demand) {
  return std::max(demand.asked, demand.taken) / Seconds(DemandMeter::kWindow);
}

// Returns which part of `sum` is `own`, from 0 to 1.
double PartOf(const Demand& own, const Demand& sum) {
  if (sum.asked > 0)
    return std::min(1.0, own.asked / sum.asked);
  return sum.taken > 0 ? std::min(1.0, own.taken / sum.taken) : 0;
}

}  // namespace

void AccountShares::SetWeight(uint32_t account, double weight) {
  assert(weight > 0);
  weights_[account] = weight;
}

void AccountShares::SetPeerDemand(const std::string& peer,
                                  DemandTable rows,
                                  Instant now) {
  Peer& row = peers_[peer];
  if (row.is_silent) {
    peer_changes_.push_back(
        {peer, false,
         std::chrono::duration_cast<Milliseconds>(now - row.reported_at)});
  }
  row = {std::move(rows), now, false};
}

DemandTable AccountShares::Report(Instant now) {
  const DemandTable& own = meter_.Rows(now);
  const bool has_unmet =
      HasUnmet(own) ||
      std::any_of(peers_.begin(), peers_.end(),
                  [this](const auto& it) { return HasUnmet(it.second.rows); });
  return has_unmet ? LimitRows(own, kMaxOwnRows) : DemandTable();
}

bool AccountShares::HasUnmet(const DemandTable& rows) const {
  return std::any_of(rows.begin(), rows.end(),
                     [](const auto& it) { return it.second.unmet > 0; });
}

void AccountShares::DropSilentPeers(Instant now) {
  for (auto& [peer, row] : peers_) {
    if (row.is_silent || now <= row.reported_at + kMaxReportAge)
      continue;
    row.is_silent = true;
    row.rows.clear();
    peer_changes_.push_back(
        {peer, true,
         std::chrono::duration_cast<Milliseconds>(now - row.reported_at)});
  }
}

void AccountShares::OnTick(Instant now) {
  if (now < next_division_)
    return;
  next_division_ = now + kDivisionInterval;
  DropSilentPeers(now);
  own_ = meter_.Rows(now);
  sums_ = own_;
  for (const auto& [peer, row] : peers_)
    AddDemand(row.rows, &sums_);
  yielding_.clear();
  Rows group;
  for (auto it = sums_.begin(); it != sums_.end(); ++it) {
    group.push_back(*it);
    const auto next = std::next(it);
    if (next != sums_.end() && next->first.group == it->first.group)
      continue;
    DivideGroup(group, now);
    group.clear();
  }
  for (auto it = limits_.begin(); it != limits_.end();) {
    if (yielding_.contains(it->first)) {
      ++it;
      continue;
    }
    yield_changes_.push_back({it->first, false, 0, 0, 0});
    it = limits_.erase(it);
  }
}

double AccountShares::WeightOf(uint32_t account) const {
  const auto it = weights_.find(account);
  return it == weights_.end() ? 1 : it->second;
}

double AccountShares::Level(const Rows& rows) const {
  double capacity = 0;
  for (const auto& [key, demand] : rows)
    capacity += TakenPerSecond(demand);
  std::vector<CapacityClaim> claims;
  for (const auto& [key, demand] : rows) {
    // Each of these accounts asks for less than those with rows of their own.
    if (key.account == kOtherAccounts)
      capacity -= std::min(capacity, AskedPerSecond(demand));
    else
      claims.push_back({AskedPerSecond(demand), WeightOf(key.account)});
  }
  return MaxMinLevel(std::move(claims), capacity);
}

void AccountShares::DivideGroup(const Rows& rows, Instant now) {
  if (rows.size() < 2)
    return;
  const double level = Level(rows);
  double capacity = 0;
  double unmet = 0;
  double excess = 0;
  std::vector<std::pair<DemandTable::value_type, double>> above;
  for (const DemandTable::value_type& it : rows) {
    const double taken = TakenPerSecond(it.second);
    const double share = WeightOf(it.first.account) * level;
    capacity += taken;
    if (it.first.account == kOtherAccounts ||
        taken <= share * (1 + kTolerance)) {
      unmet += it.second.unmet;
      continue;
    }
    excess += taken - share;
    above.emplace_back(it, share);
  }
  const double lack = unmet / kRoundSeconds;
  if (lack <= kMinLack * capacity)
    return;
  for (const auto& [row, share] : above) {
    const auto& [key, demand] = row;
    const auto own = own_.find(key);
    if (own == own_.end())
      continue;
    const double part = PartOf(own->second, demand);
    const double left = lack * (TakenPerSecond(demand) - share) / excess * part;
    const double limit = std::max(
        share * part, (1 + kGrowth) * TakenPerSecond(own->second) - left);
    yielding_[key] = {key, true, limit, share, unmet};
    SetLimit(key, limit, now);
  }
}

void AccountShares::SetLimit(const DemandKey& key,
                             double per_second,
                             Instant now) {
  const auto [it, is_new] = limits_.try_emplace(key);
  Limit& limit = it->second;
  if (is_new)
    yield_changes_.push_back(yielding_.at(key));
  else
    limit.balance = Balance(limit, now);
  limit.per_second = per_second;
  limit.updated_at = now;
}

double AccountShares::Balance(const Limit& limit, Instant now) {
  const double seconds =
      std::chrono::duration<double>(now - limit.updated_at).count();
  return std::min(limit.per_second * kBurstSeconds,
                  limit.balance + limit.per_second * seconds);
}

bool AccountShares::Yields(const DemandKey& key, Instant now) const {
  const auto it = limits_.find(key);
  return it != limits_.end() && Balance(it->second, now) <= 0;
}

void AccountShares::RecordTaken(const DemandKey& key,
                                double tokens,
                                Instant now) {
  meter_.RecordTaken(key, tokens, now);
  const auto it = limits_.find(key);
  if (it == limits_.end())
    return;
  it->second.balance = Balance(it->second, now) - tokens;
  it->second.updated_at = now;
}

double AccountShares::OwnPart(const DemandGroup& group) const {
  Demand own;
  Demand sum;
  for (auto it = sums_.lower_bound({group, 0});
       it != sums_.end() && it->first.group == group; ++it) {
    sum += it->second;
    const auto row = own_.find(it->first);
    if (row != own_.end())
      own += row->second;
  }
  return sum.asked > 0 ? PartOf(own, sum) : 1;
}

std::vector<AccountShares::PeerChange> AccountShares::TakePeerChanges() {
  return std::exchange(peer_changes_, {});
}

std::vector<AccountShares::YieldChange> AccountShares::TakeYieldChanges() {
  return std::exchange(yield_changes_, {});
}

}  // namespace bbv
