#include "bbv_fleet/target_board.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// First and longest time for which a suspected target takes no calls.
constexpr Milliseconds kFirstSuspicion{600};
constexpr Milliseconds kLongestSuspicion{5000};
constexpr Milliseconds kFullPause{250};
// Unexplained refusals in a row, and the longest time between two of them, that
// tell a leaving target.
constexpr int kRefusalsOfLeaving = 2;
constexpr Milliseconds kRefusalMemory{1500};
constexpr int kLongestStreak = 4;
// Weight of the newest call in the moving averages.
constexpr double kAverageWeight = 0.1;
// For how long a report is believed.
constexpr Milliseconds kReportLifetime{2500};
// Targets stay slow for longer than an entry may be without reports.
constexpr Milliseconds kPaceLifetime{6000};
// For how long a report's layers go before those of the list, which lags.
constexpr Milliseconds kReportedLayersLead{2000};
constexpr double kSlowPace = 2.5;
// Targets without a row of which something is remembered, at most.
constexpr std::size_t kMostRemembered = 4096;

bool SameButHeartbeat(const TargetRecord& left, const TargetRecord& right) {
  return left.service == right.service && left.address == right.address &&
         left.zone == right.zone && left.accelerator == right.accelerator &&
         left.slots == right.slots && left.leaving == right.leaving &&
         left.layers == right.layers &&
         left.started_unix_ms == right.started_unix_ms;
}

}  // namespace

bool TargetBoard::Apply(const TargetRecord& record, Instant now) {
  if (IsOutdated(record))
    return false;
  // One process listens at an address: the one that started last.
  const FleetTarget* holder = FindAddress(record.address);
  if (holder != nullptr && holder->record.id != record.id) {
    if (record.started_unix_ms < holder->record.started_unix_ms)
      return false;
    Drop(std::string(holder->record.id), kNeverRemoved);
  }
  std::unique_ptr<FleetTarget>& row = rows_[record.id];
  const bool added = row == nullptr;
  if (added) {
    row = std::make_unique<FleetTarget>();
    const auto before = remembered_.find(record.id);
    if (before != remembered_.end() &&
        before->second.started_unix_ms == record.started_unix_ms) {
      row->told_leaving = before->second.leaving;
      row->rests_until = before->second.rests_until;
    }
    if (before != remembered_.end())
      remembered_.erase(before);
  }
  by_hash_[HashBytes32(record.id)] = row.get();
  const bool restarted =
      !added && row->record.started_unix_ms != record.started_unix_ms;
  const bool changed = added || !SameButHeartbeat(row->record, record);
  if (!added && row->record.address != record.address) {
    const auto it = by_address_.find(row->record.address);
    if (it != by_address_.end() && it->second == row.get())
      by_address_.erase(it);
  }
  const std::optional<LayerRange> reported = row->record.layers;
  const bool reported_lately =
      !added && !restarted && now < row->reported_at + kReportedLayersLead;
  row->record = record;
  row->listed_layers = record.layers;
  if (reported_lately)
    row->record.layers = reported;
  row->listed_at = now;
  by_address_[record.address] = row.get();
  if (restarted) {
    row->fault_streak = 0;
    row->failure_share = 0;
    row->health = TargetHealth::kGood;
    row->suspected_until = {};
    row->told_leaving = false;
    row->rests_until = {};
  }
  row->told_leaving = row->IsLeaving();
  const bool still_suspected = row->health == TargetHealth::kSuspected &&
                               (now < row->suspected_until ||
                                record.heartbeat == row->suspected_heartbeat);
  if (row->told_leaving)
    row->health = TargetHealth::kLeaving;
  else if (!still_suspected)
    row->health = TargetHealth::kGood;
  return changed;
}

bool TargetBoard::ApplyHeartbeat(uint32_t hash,
                                 int64_t heartbeat,
                                 Instant now) {
  const FleetTarget* row = FindByHash(hash);
  if (row == nullptr)
    return false;
  TargetRecord record = row->record;
  record.layers = row->listed_layers;
  record.heartbeat = heartbeat;
  Apply(record, now);
  return true;
}

bool TargetBoard::IsListedAs(const TargetRecord& record) const {
  const FleetTarget* row = Find(record.id);
  if (row == nullptr)
    return false;
  TargetRecord listed = row->record;
  listed.layers = row->listed_layers;
  return SameButHeartbeat(listed, record);
}

bool TargetBoard::Remove(std::string_view id) {
  const FleetTarget* row = Find(id);
  if (row == nullptr)
    return false;
  Drop(id, row->record.heartbeat);
  return true;
}

void TargetBoard::Drop(std::string_view id, int64_t removed_at_heartbeat) {
  const auto it = rows_.find(id);
  assert(it != rows_.end());
  const FleetTarget& row = *it->second;
  Remember(it->first, {row.record.started_unix_ms, removed_at_heartbeat,
                       row.told_leaving, row.rests_until});
  const auto address = by_address_.find(it->second->record.address);
  if (address != by_address_.end() && address->second == it->second.get())
    by_address_.erase(address);
  const auto hash = by_hash_.find(HashBytes32(id));
  if (hash != by_hash_.end() && hash->second == it->second.get())
    by_hash_.erase(hash);
  rows_.erase(it);
}

void TargetBoard::Remember(const std::string& id, const Remembered& what) {
  remembered_[id] = what;
  if (remembered_.size() <= kMostRemembered)
    return;
  remembered_.erase(std::min_element(remembered_.begin(), remembered_.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second.started_unix_ms <
                                              right.second.started_unix_ms;
                                     }));
}

bool TargetBoard::IsOutdated(const TargetRecord& record) const {
  if (const FleetTarget* row = Find(record.id)) {
    const TargetRecord& known = row->record;
    return record.started_unix_ms < known.started_unix_ms ||
           (record.started_unix_ms == known.started_unix_ms &&
            record.heartbeat < known.heartbeat);
  }
  const auto it = remembered_.find(record.id);
  if (it == remembered_.end())
    return false;
  return record.started_unix_ms < it->second.started_unix_ms ||
         (record.started_unix_ms == it->second.started_unix_ms &&
          record.heartbeat <= it->second.removed_at_heartbeat);
}

bool TargetBoard::MarkLeaving(const std::string& id, int64_t started_unix_ms) {
  FleetTarget* row = Find(id);
  if (row == nullptr) {
    Remembered what{started_unix_ms, kNeverRemoved, true, {}};
    const auto it = remembered_.find(id);
    if (it != remembered_.end()) {
      if (it->second.started_unix_ms > started_unix_ms || it->second.leaving)
        return false;
      if (it->second.started_unix_ms == started_unix_ms)
        what.removed_at_heartbeat = it->second.removed_at_heartbeat;
    }
    Remember(id, what);
    return true;
  }
  if (row->record.started_unix_ms != started_unix_ms || row->told_leaving)
    return false;
  row->told_leaving = true;
  row->health = TargetHealth::kLeaving;
  return true;
}

void TargetBoard::Rest(FleetTarget* target, Instant until) {
  assert(target != nullptr);
  target->rests_until = std::max(target->rests_until, until);
}

std::optional<Instant> TargetBoard::FirstRestEnd(std::string_view service,
                                                 Instant now) const {
  std::optional<Instant> first;
  for (const auto& [id, row] : rows_) {
    if (row->record.service != service || !row->IsResting(now) ||
        !IsUsable(*row, now))
      continue;
    if (!first || row->rests_until < *first)
      first = row->rests_until;
  }
  return first;
}

std::vector<std::string> TargetBoard::RemoveUnlistedSince(Instant since) {
  std::vector<std::string> removed;
  for (const auto& [id, row] : rows_) {
    if (row->listed_at < since)
      removed.push_back(id);
  }
  // What is only missing may be listed again as it was.
  for (const std::string& id : removed)
    Drop(id, kNeverRemoved);
  return removed;
}

FleetTarget* TargetBoard::Find(std::string_view id) {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : it->second.get();
}

const FleetTarget* TargetBoard::Find(std::string_view id) const {
  const auto it = rows_.find(id);
  return it == rows_.end() ? nullptr : it->second.get();
}

FleetTarget* TargetBoard::FindByHash(uint32_t hash) {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : it->second;
}

FleetTarget* TargetBoard::FindAddress(std::string_view address) {
  const auto it = by_address_.find(std::string(address));
  return it == by_address_.end() ? nullptr : it->second;
}

Instant TargetBoard::Suspect(FleetTarget* target, Instant now) {
  assert(target != nullptr);
  // Several calls fail together when one target does; they count once.
  if (target->health == TargetHealth::kSuspected &&
      now < target->suspected_until)
    return target->suspected_until;
  const auto pause = std::min<Milliseconds>(
      kLongestSuspicion, kFirstSuspicion * (1 << target->fault_streak));
  target->fault_streak = std::min(target->fault_streak + 1, kLongestStreak);
  target->suspected_until = now + pause;
  target->suspected_heartbeat = target->record.heartbeat;
  if (target->health != TargetHealth::kLeaving)
    target->health = TargetHealth::kSuspected;
  return target->suspected_until;
}

void TargetBoard::RecordOutcome(FleetTarget* target,
                                bool failed,
                                double answer_ms) {
  assert(target != nullptr);
  target->failure_share +=
      kAverageWeight * ((failed ? 1.0 : 0.0) - target->failure_share);
  if (failed)
    return;
  target->fault_streak = 0;
  if (target->answer_ms == 0)
    target->answer_ms = answer_ms;
  target->answer_ms += kAverageWeight * (answer_ms - target->answer_ms);
}

void TargetBoard::MarkFull(FleetTarget* target, Instant now) {
  assert(target != nullptr);
  target->full_until = now + kFullPause;
}

bool TargetBoard::RecordRefusal(FleetTarget* target,
                                bool has_room,
                                Instant now) {
  assert(target != nullptr);
  if (!has_room || now > target->refused_at + kRefusalMemory)
    target->unexplained_refusals = 0;
  target->refused_at = now;
  if (!has_room)
    return false;
  return ++target->unexplained_refusals >= kRefusalsOfLeaving;
}

bool TargetBoard::MayTake(const FleetTarget& target, Instant now) const {
  return now >= target.full_until && !target.IsResting(now) &&
         IsUsable(target, now);
}

bool TargetBoard::IsUsable(const FleetTarget& target, Instant now) const {
  if (target.health == TargetHealth::kGood)
    return true;
  if (target.health == TargetHealth::kLeaving)
    return false;
  // Without a heartbeat since, it stays out for the longest pause, so that a
  // target is tried again also while the list is not to be had.
  const bool heard = target.record.heartbeat != target.suspected_heartbeat;
  return heard ? now >= target.suspected_until
               : now >= target.suspected_until + kLongestSuspicion;
}

bool TargetBoard::IsSlow(const FleetTarget& target, Instant now) {
  return target.Pace(now) >= kSlowPace;
}

bool TargetBoard::ApplyReport(std::string_view id,
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

void TargetBoard::SetPeerLoad(const std::string& peer,
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

double FleetTarget::Pace(Instant now) const {
  return now < reported_at + kPaceLifetime ? std::max(1.0, report.pace) : 1.0;
}

double FleetTarget::UsedTokenLayers(Instant now) const {
  const double known = own_token_layers + peer_token_layers;
  return now < reported_at + kReportLifetime
             ? std::max(known, report.used_token_layers)
             : known;
}

}  // namespace bbv
