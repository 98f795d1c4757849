#include "bbv_fleet/target_registry.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Shortest and longest time for which a suspected target gets no calls.
constexpr Milliseconds kMinSuspicion{600};
constexpr Milliseconds kMaxSuspicion{5000};
constexpr Milliseconds kFullTargetBackoff{250};
// Number of consecutive unexplained rejections, and the maximum time between
// two of them, after which a target counts as leaving.
constexpr int kLeavingRefusalCount = 2;
constexpr Milliseconds kRefusalWindow{1500};
constexpr int kMaxConsecutiveFaults = 4;
// Weight of the latest call in the moving averages.
constexpr double kAverageWeight = 0.1;
// How long the layers of a report take precedence over those of the list, which
// lags behind.
constexpr Milliseconds kReportedLayersPrecedence{2000};
constexpr double kSlowPace = 2.5;
// Limit on the targets in `unlisted_`.
constexpr std::size_t kMaxUnlisted = 4096;

bool EqualExceptHeartbeat(const TargetRecord& left, const TargetRecord& right) {
  return left.service == right.service && left.address == right.address &&
         left.zone == right.zone && left.accelerator == right.accelerator &&
         left.slots == right.slots && left.leaving == right.leaving &&
         left.layers == right.layers &&
         left.started_unix_ms == right.started_unix_ms;
}

}  // namespace

std::vector<std::string> TargetRegistry::SetServices(
    std::set<std::string, std::less<>> services) {
  services_ = std::move(services);
  std::vector<std::string> named;
  for (const auto& [id, row] : rows_) {
    if (IsNamed(row->record))
      named.push_back(id);
  }
  DisplaceSharedAddresses();
  SettleClaims();
  std::erase_if(named,
                [this](const std::string& id) { return rows_.contains(id); });
  return named;
}

bool TargetRegistry::IsNamed(const TargetRecord& record) const {
  return services_.contains(record.service);
}

bool TargetRegistry::Apply(const TargetRecord& record, Instant now) {
  FleetTarget* claim = FindClaim(record.id, record.address);
  if (IsOutdated(record, claim, now))
    return false;
  const bool added = claim == nullptr;
  if (added) {
    std::unique_ptr<FleetTarget> target = MakeTarget(record);
    target->listed_at = now;
    claim = target.get();
    rivals_.Add(std::move(target));
  }
  const bool changed = UpdateTarget(claim, record, now);
  if (changed && !rivals_.empty()) {
    MarkContested(*claim);
    SettleClaims();
  }
  return (added || changed) && Find(record.id) == claim;
}

std::unique_ptr<FleetTarget> TargetRegistry::MakeTarget(
    const TargetRecord& record) {
  auto target = std::make_unique<FleetTarget>();
  target->record.id = record.id;
  target->record.address = record.address;
  target->record.started_unix_ms = record.started_unix_ms;
  const auto before = unlisted_.find(record.id);
  if (before == unlisted_.end())
    return target;
  const FleetTarget& known = before->second.target;
  target->refuted_at = known.refuted_at;
  if (known.record.started_unix_ms == record.started_unix_ms) {
    target->known_leaving = known.known_leaving;
    target->backoff_until = known.backoff_until;
    target->rate_limit = known.rate_limit;
  }
  unlisted_.erase(before);
  return target;
}

bool TargetRegistry::UpdateTarget(FleetTarget* target,
                                  const TargetRecord& record,
                                  Instant now) {
  const bool restarted =
      target->record.started_unix_ms != record.started_unix_ms;
  const bool changed = !EqualExceptHeartbeat(target->record, record);
  const std::optional<LayerRange> reported = target->record.layers;
  const bool recently_reported =
      !restarted && target->reported_at != Instant() &&
      now < target->reported_at + kReportedLayersPrecedence;
  target->record = record;
  target->listed_layers = record.layers;
  if (recently_reported)
    target->record.layers = reported;
  target->listed_at = now;
  if (restarted) {
    target->consecutive_faults = 0;
    target->failure_rate = 0;
    target->health = TargetHealth::kHealthy;
    target->suspected_until = {};
    target->known_leaving = false;
    target->backoff_until = {};
    target->rate_limit = {};
  }
  target->known_leaving = target->IsLeaving();
  const bool still_suspected =
      target->health == TargetHealth::kSuspected &&
      (now < target->suspected_until || LacksSignOfLife(*target));
  if (target->known_leaving)
    target->health = TargetHealth::kLeaving;
  else if (!still_suspected)
    target->health = TargetHealth::kHealthy;
  return changed;
}

FleetTarget* TargetRegistry::FindClaim(std::string_view id,
                                       std::string_view address) {
  FleetTarget* row = Find(id);
  return row != nullptr && row->record.address == address
             ? row
             : rivals_.Find(id, address);
}

bool TargetRegistry::Outranks(const FleetTarget& left,
                              const FleetTarget& right) const {
  const bool is_named = IsNamed(left.record);
  if (is_named != IsNamed(right.record))
    return is_named;
  if (left.refuted_at != right.refuted_at)
    return left.refuted_at < right.refuted_at;
  return left.record.started_unix_ms > right.record.started_unix_ms;
}

std::vector<FleetTarget*> TargetRegistry::HoldersAgainst(
    const FleetTarget& claim) {
  std::vector<FleetTarget*> holders;
  FleetTarget* of_id = Find(claim.record.id);
  FleetTarget* of_address = FindAddress(claim.record.address);
  if (of_id != nullptr)
    holders.push_back(of_id);
  if (of_address != nullptr && of_address != of_id &&
      (IsNamed(claim.record) || IsNamed(of_address->record)))
    holders.push_back(of_address);
  return holders;
}

void TargetRegistry::DisplaceSharedAddresses() {
  std::vector<FleetTarget*> rows;
  for (const auto& [id, row] : rows_)
    rows.push_back(row.get());
  std::stable_sort(rows.begin(), rows.end(),
                   [this](const FleetTarget* left, const FleetTarget* right) {
                     return Outranks(*left, *right);
                   });
  by_address_.clear();
  for (FleetTarget* it : rows) {
    FleetTarget*& holder = by_address_[it->record.address];
    if (holder == nullptr) {
      holder = it;
    } else if (IsNamed(holder->record)) {
      RecordChange(*holder, *it);
      Displace(it);
    }
  }
}

void TargetRegistry::RecordChange(const FleetTarget& target,
                                  const FleetTarget& displaced) {
  claim_changes_.push_back({target.record.id, target.record.address,
                            displaced.record.id, displaced.record.address,
                            displaced.refuted_at != Instant()});
}

void TargetRegistry::SettleClaims() {
  bool settled = false;
  while (!settled) {
    settled = true;
    std::vector<FleetTarget*> claims;
    for (const auto& it : rivals_.all())
      claims.push_back(it.get());
    std::stable_sort(claims.begin(), claims.end(),
                     [this](const FleetTarget* left, const FleetTarget* right) {
                       return Outranks(*left, *right);
                     });
    for (const FleetTarget* claim : claims) {
      const std::vector<FleetTarget*> holders = HoldersAgainst(*claim);
      const bool is_best = std::all_of(
          holders.begin(), holders.end(),
          [&](const FleetTarget* it) { return Outranks(*claim, *it); });
      if (!is_best)
        continue;
      PutToUse(claim);
      if (holders.empty())
        continue;
      // What the displaced targets held may be free for other claims.
      settled = false;
      break;
    }
  }
}

void TargetRegistry::PutToUse(const FleetTarget* claim) {
  std::unique_ptr<FleetTarget> target = rivals_.Take(claim);
  FleetTarget* row = target.get();
  for (const FleetTarget* it : HoldersAgainst(*row)) {
    RecordChange(*row, *it);
    Displace(it);
  }
  by_hash_[HashBytes32(row->record.id)] = row;
  by_address_[row->record.address] = row;
  rows_[row->record.id] = std::move(target);
  row->is_contested = HasNamedRival(*row);
}

void TargetRegistry::Displace(const FleetTarget* holder) {
  const auto it = rows_.find(holder->record.id);
  assert(it != rows_.end() && it->second.get() == holder);
  Unlink(*holder);
  std::unique_ptr<FleetTarget> claim = std::move(it->second);
  rows_.erase(it);
  // Calls that end meanwhile do not find the row, so it counts from zero.
  claim->own_calls = 0;
  claim->own_token_layers = 0;
  claim->own_unread_tokens = 0;
  claim->expected_peer_tokens = 0;
  claim->peer_calls = 0;
  claim->peer_token_layers = 0;
  claim->peer_unread_tokens = 0;
  rivals_.Add(std::move(claim));
}

void TargetRegistry::MarkContested(const FleetTarget& claim) {
  for (FleetTarget* it : HoldersAgainst(claim))
    it->is_contested |=
        it == &claim ? HasNamedRival(claim) : IsNamed(claim.record);
}

bool TargetRegistry::HasNamedRival(const FleetTarget& target) const {
  const std::vector<FleetTarget*> rivals = rivals_.RivalsOf(target);
  return std::any_of(
      rivals.begin(), rivals.end(),
      [this](const FleetTarget* it) { return IsNamed(it->record); });
}

void TargetRegistry::Unlink(const FleetTarget& target) {
  const auto address = by_address_.find(target.record.address);
  if (address != by_address_.end() && address->second == &target)
    by_address_.erase(address);
  const auto hash = by_hash_.find(HashBytes32(target.record.id));
  if (hash != by_hash_.end() && hash->second == &target)
    by_hash_.erase(hash);
}

bool TargetRegistry::Refute(FleetTarget* target, Instant now) {
  assert(target != nullptr && Find(target->record.id) == target);
  target->refuted_at = now;
  target->is_contested = false;
  const std::string id = target->record.id;
  SettleClaims();
  return Find(id) != target;
}

void TargetRegistry::Confirm(FleetTarget* target) {
  assert(target != nullptr);
  target->is_contested = false;
}

bool TargetRegistry::HasRivalAtAddress(const FleetTarget& target) const {
  const std::vector<FleetTarget*> rivals = rivals_.RivalsOf(target);
  return std::any_of(rivals.begin(), rivals.end(), [&](const FleetTarget* it) {
    return it->record.address == target.record.address;
  });
}

bool TargetRegistry::ApplyHeartbeat(uint32_t hash,
                                    int64_t heartbeat,
                                    Instant now) {
  const FleetTarget* row = FindByHash(hash);
  if (row == nullptr)
    row = rivals_.FindByHash(hash);
  if (row == nullptr)
    return false;
  TargetRecord record = row->record;
  record.layers = row->listed_layers;
  record.heartbeat = heartbeat;
  Apply(record, now);
  return true;
}

bool TargetRegistry::IsListedAs(const TargetRecord& record) const {
  const FleetTarget* row = Find(record.id);
  if (row == nullptr || rivals_.HasId(record.id))
    return false;
  TargetRecord listed = row->record;
  listed.layers = row->listed_layers;
  return EqualExceptHeartbeat(listed, record);
}

bool TargetRegistry::Remove(std::string_view id) {
  rivals_.RemoveId(id);
  const FleetTarget* row = Find(id);
  if (row == nullptr)
    return false;
  RemoveRow(id, row->record.heartbeat);
  SettleClaims();
  return true;
}

void TargetRegistry::RemoveRow(std::string_view id,
                               int64_t removed_at_heartbeat) {
  const auto it = rows_.find(id);
  assert(it != rows_.end());
  Unlink(*it->second);
  RememberUnlisted(it->first, {*it->second, removed_at_heartbeat});
  rows_.erase(it);
}

void TargetRegistry::RememberUnlisted(const std::string& id,
                                      UnlistedTarget unlisted) {
  unlisted_[id] = std::move(unlisted);
  if (unlisted_.size() <= kMaxUnlisted)
    return;
  unlisted_.erase(
      std::min_element(unlisted_.begin(), unlisted_.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.target.record.started_unix_ms <
                                right.second.target.record.started_unix_ms;
                       }));
}

bool TargetRegistry::IsOutdated(const TargetRecord& record,
                                const FleetTarget* claim,
                                Instant now) {
  int64_t known_start = 0;
  int64_t oldest_heartbeat = 0;
  std::optional<Instant> renewed_at;
  if (claim != nullptr) {
    known_start = claim->record.started_unix_ms;
    oldest_heartbeat = claim->record.heartbeat;
    renewed_at = claim->listed_at;
  } else if (const auto it = unlisted_.find(record.id); it != unlisted_.end()) {
    known_start = it->second.target.record.started_unix_ms;
    oldest_heartbeat = it->second.removed_at_heartbeat + 1;
  } else {
    return false;
  }
  if (record.started_unix_ms == known_start)
    return record.heartbeat < oldest_heartbeat;
  return record.started_unix_ms < known_start &&
         !outdated_.ShowsLife(record.id, record.started_unix_ms,
                              record.heartbeat, renewed_at, now);
}

bool TargetRegistry::MarkLeaving(const std::string& id,
                                 int64_t started_unix_ms) {
  FleetTarget* row = Find(id);
  for (const auto& it : rivals_.all()) {
    if (it->record.id == id && it->record.started_unix_ms == started_unix_ms)
      it->known_leaving = true;
  }
  if (row == nullptr) {
    UnlistedTarget unlisted;
    const auto it = unlisted_.find(id);
    if (it != unlisted_.end()) {
      const FleetTarget& known = it->second.target;
      const int64_t known_start = known.record.started_unix_ms;
      if (known_start > started_unix_ms || known.known_leaving)
        return false;
      if (known_start == started_unix_ms)
        unlisted = it->second;
    }
    unlisted.target.record.id = id;
    unlisted.target.record.started_unix_ms = started_unix_ms;
    unlisted.target.known_leaving = true;
    RememberUnlisted(id, std::move(unlisted));
    return true;
  }
  if (row->record.started_unix_ms != started_unix_ms || row->known_leaving)
    return false;
  row->known_leaving = true;
  row->health = TargetHealth::kLeaving;
  return true;
}

void TargetRegistry::SetBackoff(FleetTarget* target, Instant until) {
  assert(target != nullptr);
  target->backoff_until = std::max(target->backoff_until, until);
}

std::optional<Instant> TargetRegistry::EarliestBackoffEnd(
    std::string_view service,
    Instant now) const {
  std::optional<Instant> first;
  for (const auto& [id, row] : rows_) {
    if (row->record.service != service || !row->IsInBackoff(now) ||
        !IsUsable(*row, now))
      continue;
    if (!first || row->backoff_until < *first)
      first = row->backoff_until;
  }
  return first;
}

std::optional<Instant> TargetRegistry::EarliestAllowance(
    std::string_view service,
    Instant now) const {
  std::optional<Instant> first;
  for (const auto& [id, row] : rows_) {
    if (row->record.service != service || !row->rate_limit.per_second() ||
        !IsUsable(*row, now))
      continue;
    const auto next = row->rate_limit.NextAllowance(now);
    if (next && (!first || *next < *first))
      first = next;
  }
  return first;
}

std::vector<std::string> TargetRegistry::RemoveUnlistedSince(Instant since) {
  std::vector<std::string> removed;
  for (const auto& [id, row] : rows_) {
    if (row->listed_at < since)
      removed.push_back(id);
  }
  rivals_.RemoveUnlistedSince(since);
  // A target that is merely missing may be listed again with the same record.
  for (const std::string& id : removed)
    RemoveRow(id, kNeverRemoved);
  if (!removed.empty())
    SettleClaims();
  return removed;
}

FleetTarget* TargetRegistry::Find(std::string_view id) {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : it->second.get();
}

const FleetTarget* TargetRegistry::Find(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : it->second.get();
}

FleetTarget* TargetRegistry::FindByHash(uint32_t hash) {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : it->second;
}

FleetTarget* TargetRegistry::FindAnswering(std::string_view address) {
  FleetTarget* found = FindAddress(address);
  if (found != nullptr)
    return found;
  for (auto& [id, unlisted] : unlisted_) {
    FleetTarget& target = unlisted.target;
    if (target.record.address == address &&
        (found == nullptr ||
         target.record.started_unix_ms > found->record.started_unix_ms))
      found = &target;
  }
  return found;
}

FleetTarget* TargetRegistry::FindAddress(std::string_view address) {
  const auto it = by_address_.find(std::string(address));
  return it == by_address_.end() ? nullptr : it->second;
}

Instant TargetRegistry::Suspect(FleetTarget* target, Instant now) {
  assert(target != nullptr);
  // Several calls fail together when a target fails; they count as one fault.
  if (target->health == TargetHealth::kSuspected &&
      now < target->suspected_until)
    return target->suspected_until;
  const auto duration = std::min<Milliseconds>(
      kMaxSuspicion, kMinSuspicion * (1 << target->consecutive_faults));
  target->consecutive_faults =
      std::min(target->consecutive_faults + 1, kMaxConsecutiveFaults);
  target->suspected_until = now + duration;
  target->suspected_heartbeat = target->record.heartbeat;
  target->is_silent = false;
  target->has_answered_again = false;
  if (target->health != TargetHealth::kLeaving)
    target->health = TargetHealth::kSuspected;
  return target->suspected_until;
}

void TargetRegistry::RecordCheck(FleetTarget* target, bool answered) {
  assert(target != nullptr);
  if (target->health != TargetHealth::kSuspected)
    return;
  target->has_answered_again = answered && target->is_silent;
  target->is_silent = target->is_silent || !answered;
}

void TargetRegistry::RecordOutcome(FleetTarget* target,
                                   bool failed,
                                   double answer_ms) {
  assert(target != nullptr);
  target->failure_rate +=
      kAverageWeight * ((failed ? 1.0 : 0.0) - target->failure_rate);
  if (failed)
    return;
  target->consecutive_faults = 0;
  if (target->answer_ms == 0)
    target->answer_ms = answer_ms;
  target->answer_ms += kAverageWeight * (answer_ms - target->answer_ms);
}

void TargetRegistry::MarkFull(FleetTarget* target, Instant now) {
  assert(target != nullptr);
  target->full_until = now + kFullTargetBackoff;
}

bool TargetRegistry::RecordRefusal(FleetTarget* target,
                                   bool has_capacity,
                                   Instant now) {
  assert(target != nullptr);
  if (!has_capacity || now > target->refused_at + kRefusalWindow)
    target->unexplained_refusals = 0;
  target->refused_at = now;
  if (!has_capacity)
    return false;
  return ++target->unexplained_refusals >= kLeavingRefusalCount;
}

bool TargetRegistry::AcceptsCalls(const FleetTarget& target,
                                  Instant now) const {
  return now >= target.full_until && !target.IsInBackoff(now) &&
         IsUsable(target, now);
}

bool TargetRegistry::IsUsable(const FleetTarget& target, Instant now) const {
  if (target.health == TargetHealth::kHealthy)
    return true;
  if (target.health == TargetHealth::kLeaving)
    return false;
  // Without a sign of life since the suspicion, the target stays excluded for
  // the maximum time in addition, so that it is tried again even if it is not
  // reached and the list is not available.
  return LacksSignOfLife(target) ? now >= target.suspected_until + kMaxSuspicion
                                 : now >= target.suspected_until;
}

bool TargetRegistry::LacksSignOfLife(const FleetTarget& target) {
  return target.health == TargetHealth::kSuspected &&
         target.record.heartbeat == target.suspected_heartbeat &&
         !target.has_answered_again;
}

bool TargetRegistry::IsSlow(const FleetTarget& target, Instant now) {
  return target.Pace(now) >= kSlowPace;
}

bool TargetRegistry::ApplyReport(std::string_view id,
                                 const EngineLoadReport& report,
                                 Instant at) {
  FleetTarget* target = Find(id);
  if (target == nullptr || at <= target->reported_at ||
      report.started_unix_ms != target->record.started_unix_ms)
    return false;
  target->report = report;
  target->reported_at = at;
  if (target->record.layers == report.layers)
    return false;
  target->record.layers = report.layers;
  return true;
}

void TargetRegistry::SetPeerLoad(const std::string& peer,
                                 std::vector<PeerLoad> loads) {
  if (loads.empty())
    peers_.erase(peer);
  else
    peers_[peer] = std::move(loads);
  for (const auto& [id, row] : rows_) {
    row->peer_calls = 0;
    row->peer_token_layers = 0;
    row->peer_unread_tokens = 0;
  }
  for (const auto& [name, list] : peers_) {
    for (const PeerLoad& it : list) {
      FleetTarget* target = Find(it.target_id);
      if (target == nullptr)
        continue;
      target->peer_calls += it.calls;
      target->peer_token_layers += it.token_layers;
      target->peer_unread_tokens += it.unread_tokens;
    }
  }
}

}  // namespace bbv
