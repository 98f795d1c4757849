#include "bbv_membership/zone_ledger.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <unordered_map>
#include <utility>

namespace bbv {
namespace {

// An entry that was not heard for this time adds no loads.
constexpr Milliseconds kSilence{2500};

uint32_t Less(uint32_t from, uint32_t part) {
  return from - std::min(from, part);
}

}  // namespace

uint32_t FlagsOf(const wire::EntryStateT& state) {
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
    it = wire::LoadRow(it.target(), Less(it.calls(), row->second->calls()),
                       Less(it.token_layers(), row->second->token_layers()),
                       Less(it.unread_tokens(), row->second->unread_tokens()));
  }
  for (wire::RetrySpendingT& sum : sums->retries) {
    for (const wire::RetrySpendingT& it : part.retries) {
      if (it.service != sum.service)
        continue;
      sum.calls = Less(sum.calls, it.calls);
      sum.repeats = Less(sum.repeats, it.repeats);
    }
  }
}

ZoneLedger::ZoneLedger(Milliseconds spending_lifetime)
    : spending_lifetime_(spending_lifetime) {
  assert(spending_lifetime.count() > 0);
}

void ZoneLedger::Take(uint32_t member, wire::EntryStateT state, Instant now) {
  engines_.insert(engines_.end(), state.engines.begin(), state.engines.end());
  state.engines.clear();
  accounts_[member] = {std::move(state), now};
}

wire::ZoneDigestT ZoneLedger::Sum(Instant now) {
  std::erase_if(accounts_, [&](const auto& it) {
    return now > it.second.taken_at + std::max(spending_lifetime_, kSilence);
  });
  wire::ZoneDigestT digest;
  std::map<uint32_t, wire::LoadRow> loads;
  std::map<std::string, wire::RetrySpendingT> retries;
  for (const auto& [member, account] : accounts_) {
    const wire::EntryStateT& state = account.state;
    for (const wire::RetrySpendingT& it : state.retries) {
      wire::RetrySpendingT& sum = retries[it.service];
      sum.service = it.service;
      sum.calls += it.calls;
      sum.repeats += it.repeats;
    }
    if (now > account.taken_at + kSilence)
      continue;
    digest.members.emplace_back(member, state.sequence, FlagsOf(state));
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
  digest.engines = std::exchange(engines_, {});
  return digest;
}

}  // namespace bbv
