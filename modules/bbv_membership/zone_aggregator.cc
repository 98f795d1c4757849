#include "bbv_membership/zone_aggregator.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <unordered_map>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// The load of an entry not heard from for this time is dropped.
constexpr Milliseconds kMemberTimeout{2500};
// Limit on the claims in a digest.
constexpr std::size_t kMaxClaims = 64;

// Members with calls for each target that has a rate limit.
using Claimants = std::map<uint32_t, std::vector<uint32_t>>;

// Returns the claims within the limits. All relays keep the same targets, and
// those members that rank first for them.
std::vector<wire::RateClaimRow> LimitClaims(const Claimants& claimants) {
  std::vector<wire::RateClaimRow> rows;
  if (claimants.empty())
    return rows;
  const std::size_t most = std::clamp<std::size_t>(
      kMaxClaims / claimants.size(), 1, ZoneAggregator::kMaxClaimsPerTarget);
  for (const auto& [target, claiming] : claimants) {
    std::vector<uint32_t> members = claiming;
    std::sort(members.begin(), members.end(),
              [target = target](uint32_t left, uint32_t right) {
                return RendezvousBefore(target, left, right);
              });
    for (std::size_t it = 0; it < std::min(most, members.size()); ++it) {
      if (rows.size() == kMaxClaims)
        return rows;
      rows.emplace_back(target, members[it]);
    }
  }
  return rows;
}

uint32_t SaturatingSubtract(uint32_t from, uint32_t part) {
  return from - std::min(from, part);
}

}  // namespace

uint32_t ToMemberFlags(const wire::EntryStateT& state) {
  uint32_t flags = 0;
  if (state.plans)
    flags |= static_cast<uint32_t>(MemberFlag::kPlans);
  if (state.leaving)
    flags |= static_cast<uint32_t>(MemberFlag::kLeaving);
  if (state.reads_store)
    flags |= static_cast<uint32_t>(MemberFlag::kReadsStore);
  return flags;
}

void SubtractState(const wire::EntryStateT& part, wire::ZoneDigestT* sums) {
  assert(sums != nullptr);
  std::unordered_map<uint32_t, const wire::LoadRow*> own;
  for (const wire::LoadRow& it : part.own)
    own[it.target()] = &it;
  for (wire::LoadRow& it : sums->loads) {
    const auto row = own.find(it.target());
    if (row == own.end())
      continue;
    it = wire::LoadRow(
        it.target(), SaturatingSubtract(it.calls(), row->second->calls()),
        SaturatingSubtract(it.token_layers(), row->second->token_layers()),
        SaturatingSubtract(it.unread_tokens(), row->second->unread_tokens()));
  }
  for (wire::RetrySpendingT& sum : sums->retries) {
    for (const wire::RetrySpendingT& it : part.retries) {
      if (it.service != sum.service)
        continue;
      sum.calls = SaturatingSubtract(sum.calls, it.calls);
      sum.repeats = SaturatingSubtract(sum.repeats, it.repeats);
    }
  }
}

ZoneAggregator::ZoneAggregator(Milliseconds retry_window)
    : retry_window_(retry_window) {
  assert(retry_window.count() > 0);
}

void ZoneAggregator::RecordState(uint32_t member,
                                 wire::EntryStateT state,
                                 Instant now) {
  engine_reports_.insert(engine_reports_.end(), state.engines.begin(),
                         state.engines.end());
  state.engines.clear();
  reports_[member] = {std::move(state), now};
}

wire::ZoneDigestT ZoneAggregator::Summarize(Instant now) {
  std::erase_if(reports_, [&](const auto& it) {
    return now >
           it.second.received_at + std::max(retry_window_, kMemberTimeout);
  });
  wire::ZoneDigestT digest;
  std::map<uint32_t, wire::LoadRow> loads;
  std::map<std::string, wire::RetrySpendingT> retries;
  Claimants claimants;
  for (const auto& [member, report] : reports_) {
    const wire::EntryStateT& state = report.state;
    for (const wire::RetrySpendingT& it : state.retries) {
      wire::RetrySpendingT& sum = retries[it.service];
      sum.service = it.service;
      sum.calls += it.calls;
      sum.repeats += it.repeats;
    }
    if (now > report.received_at + kMemberTimeout)
      continue;
    digest.members.emplace_back(member, state.sequence, ToMemberFlags(state));
    digest.plans = digest.plans || state.plans;
    digest.configuration_version =
        std::max(digest.configuration_version, state.configuration_version);
    for (const uint32_t target : state.claims)
      claimants[target].push_back(member);
    for (const wire::LoadRow& it : state.own) {
      wire::LoadRow& sum = loads[it.target()];
      sum = wire::LoadRow(it.target(), sum.calls() + it.calls(),
                          sum.token_layers() + it.token_layers(),
                          sum.unread_tokens() + it.unread_tokens());
    }
  }
  for (const auto& [target, row] : loads)
    digest.loads.push_back(row);
  for (auto& [service, spending] : retries)
    digest.retries.push_back(std::move(spending));
  digest.claims = LimitClaims(claimants);
  digest.engines = std::exchange(engine_reports_, {});
  return digest;
}

}  // namespace bbv
