#include "bbv_membership/zone_aggregator.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <unordered_map>
#include <utility>

namespace bbv {
namespace {

// The load of an entry not heard from for this time is dropped.
constexpr Milliseconds kMemberTimeout{2500};

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
  digest.engines = std::exchange(engine_reports_, {});
  return digest;
}

}  // namespace bbv
