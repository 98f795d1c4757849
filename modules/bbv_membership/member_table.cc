#include "bbv_membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// An entry not heard from for this time is considered dead.
constexpr Milliseconds kMemberTimeout{2500};
// An entry not heard from for this time is removed.
constexpr Milliseconds kMemberRetention{30'000};
// A relay that sends no digest for this time is skipped in the ranking.
constexpr Milliseconds kRelayTimeout{900};
// Smallest capacity that is distinguished from zero.
constexpr double kMinCapacity = 0.01;

// One class per power of two, so that instances of similar capacity share the
// roles by hash.
int CapacityClass(double capacity) {
  return static_cast<int>(
      std::floor(std::log2(std::max(capacity, kMinCapacity))));
}

bool RanksBefore(const Member& left, const Member& right) {
  if (left.capacity_class != right.capacity_class)
    return left.capacity_class > right.capacity_class;
  if (left.hash != right.hash)
    return left.hash < right.hash;
  return left.record.address < right.record.address;
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& own) {
  assert(!own.address.empty());
  const std::string address = own.address;
  AddOrUpdate(own, Instant{});
  own_ = members_[address].get();
  zone_ranking_.push_back(own_);
}

void MemberTable::AddOrUpdate(const MemberRecord& record, Instant now) {
  if (record.address.empty())
    return;
  std::unique_ptr<Member>& member = members_[record.address];
  if (member == nullptr) {
    member = std::make_unique<Member>();
    member->hash = HashBytes32(record.address);
    // A new entry is given the same timeout as one just heard from. One that
    // was removed has to be heard from first, since its record stays listed
    // after its end.
    member->last_contact_at = removed_.contains(member->hash)
                                  ? now - kMemberTimeout - Milliseconds(1)
                                  : now;
    by_hash_[member->hash] = member.get();
  }
  member->record = record;
  member->capacity_class = CapacityClass(record.capacity);
}

bool MemberTable::RecordContact(uint32_t hash,
                                const MemberStatus& current_status,
                                Instant now) {
  const auto it = by_hash_.find(hash);
  if (it == by_hash_.end())
    return false;
  Member* member = it->second;
  if (member == own_)
    return true;
  removed_.erase(hash);
  member->last_contact_at = now;
  member->current_status = current_status;
  return true;
}

void MemberTable::RecordDigest(std::string_view address, Instant now) {
  const auto it = members_.find(address);
  if (it == members_.end())
    return;
  removed_.erase(it->second->hash);
  it->second->last_contact_at = now;
  it->second->last_digest_at = now;
}

void MemberTable::RecordZoneSummary(const std::string& zone,
                                    const ZoneSummary& zone_summary) {
  zone_summaries_[zone] = zone_summary;
  for (const auto& [address, member] : members_) {
    if (member->record.zone == zone)
      member->zone_last_contact_at = zone_summary.last_contact_at;
  }
}

bool MemberTable::IsInOwnZone(const Member& member) const {
  return member.record.zone == own_->record.zone;
}

int MemberTable::known() const {
  std::map<std::string_view, int> counts;
  for (const auto& [address, member] : members_)
    ++counts[member->record.zone];
  for (const auto& [zone, zone_summary] : zone_summaries_)
    counts[zone] = zone_summary.known;
  int n = 0;
  for (const auto& [zone, count] : counts)
    n += count;
  return n;
}

bool MemberTable::IsAlive(const Member& member, Instant now) const {
  return &member == own_ || now <= member.last_contact_at + kMemberTimeout;
}

std::vector<std::string> MemberTable::OnTick(Instant now) {
  std::vector<std::string> lost;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = *it->second;
    bool& was_alive = was_alive_[it->first];
    const bool alive = IsAlive(member, now);
    if (std::exchange(was_alive, alive) && !alive && IsInOwnZone(member))
      lost.push_back(it->first);
    const Instant last_reported_at =
        std::max(member.last_contact_at, member.zone_last_contact_at);
    if (&member == own_ || now <= last_reported_at + kMemberRetention) {
      ++it;
      continue;
    }
    was_alive_.erase(it->first);
    by_hash_.erase(member.hash);
    removed_.insert(member.hash);
    it = members_.erase(it);
  }
  // Summaries expire after the same time as entries.
  std::erase_if(zone_summaries_, [now](const auto& it) {
    return now > it.second.last_contact_at + kMemberRetention;
  });
  UpdateZoneRanking(now);
  return lost;
}

void MemberTable::UpdateZoneRanking(Instant now) {
  Ranking in_zone;
  for (const auto& [address, member] : members_) {
    if (IsInOwnZone(*member))
      in_zone.push_back(member.get());
  }
  const Ranking candidates = SelectCandidates(in_zone, now);
  zone_ranking_.clear();
  // Only the highest ranked candidate is expected to send digests. The next one
  // is expected to once its predecessor has been skipped.
  bool has_relay = false;
  for (const Member* it : candidates) {
    Member* member = members_.find(it->record.address)->second.get();
    if (has_relay || member == own_) {
      member->digests_expected_since = {};
      has_relay = true;
      zone_ranking_.push_back(member);
      continue;
    }
    if (member->digests_expected_since == Instant{})
      member->digests_expected_since = now;
    const Instant since =
        std::max(member->last_digest_at, member->digests_expected_since);
    if (now > since + kRelayTimeout)
      continue;
    has_relay = true;
    zone_ranking_.push_back(member);
  }
}

MemberTable::Ranking MemberTable::SelectCandidates(const Ranking& members,
                                                   Instant now) const {
  Ranking candidates;
  for (const Member* it : members) {
    if (IsAlive(*it, now))
      candidates.push_back(it);
  }
  if (candidates.empty())
    candidates = members;
  std::sort(candidates.begin(), candidates.end(),
            [](const Member* left, const Member* right) {
              const bool left_leaves = left->current_status.leaving;
              if (left_leaves != right->current_status.leaving)
                return !left_leaves;
              return RanksBefore(*left, *right);
            });
  return candidates;
}

std::size_t MemberTable::own_rank() const {
  const auto it = std::find(zone_ranking_.begin(), zone_ranking_.end(), own_);
  return static_cast<std::size_t>(it - zone_ranking_.begin());
}

std::size_t MemberTable::own_reader_rank() const {
  const bool any_reads = std::any_of(
      zone_ranking_.begin(), zone_ranking_.end(),
      [](const Member* it) { return it->current_status.reads_store; });
  if (!any_reads)
    return own_rank();
  std::size_t rank = 0;
  for (const Member* it : zone_ranking_) {
    if (it == own_)
      return rank;
    if (it->current_status.reads_store)
      ++rank;
  }
  return rank;
}

MemberTable::Ranking MemberTable::HighestRankedOfZone(const std::string& zone,
                                                      std::size_t count,
                                                      Instant now) const {
  Ranking known;
  for (const auto& [address, member] : members_) {
    if (member.get() != own_ && member->record.zone == zone)
      known.push_back(member.get());
  }
  Ranking first = SelectCandidates(known, now);
  if (first.size() > count)
    first.resize(count);
  return first;
}

MemberTable::Ranking MemberTable::ZoneMembers() const {
  Ranking members;
  for (const auto& [address, member] : members_) {
    if (member.get() != own_ && IsInOwnZone(*member))
      members.push_back(member.get());
  }
  return members;
}

bool MemberTable::MostOfZoneServes(Instant now) const {
  std::size_t known = 0;
  std::size_t serving = 0;
  for (const auto& [address, member] : members_) {
    if (!IsInOwnZone(*member))
      continue;
    ++known;
    if (IsAlive(*member, now) && !member->current_status.leaving)
      ++serving;
  }
  return 2 * serving >= known;
}

std::vector<std::string> MemberTable::Zones() const {
  std::set<std::string> zones;
  for (const auto& [address, member] : members_)
    zones.insert(member->record.zone);
  return {zones.begin(), zones.end()};
}

bool MemberTable::IsFleetLeader(Instant now) const {
  if (!is_relay())
    return false;
  Ranking all;
  for (const auto& [address, member] : members_)
    all.push_back(member.get());
  return SelectCandidates(all, now).front() == own_;
}

bool MemberTable::HasOtherPlanner(Instant now) const {
  const bool in_other_zone = std::any_of(
      zone_summaries_.begin(), zone_summaries_.end(), [&](const auto& it) {
        return it.second.plans &&
               now <= it.second.last_contact_at + kMemberTimeout;
      });
  return in_other_zone ||
         std::any_of(members_.begin(), members_.end(), [&](const auto& it) {
           return it.second.get() != own_ && it.second->current_status.plans &&
                  IsAlive(*it.second, now);
         });
}

int MemberTable::live(Instant now) const {
  auto n = static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& it) {
        return IsInOwnZone(*it.second) && IsAlive(*it.second, now);
      }));
  for (const auto& [zone, zone_summary] : zone_summaries_) {
    if (now <= zone_summary.last_contact_at + kMemberTimeout)
      n += zone_summary.live;
  }
  return n;
}

const Member* MemberTable::Find(std::string_view address) const {
  const auto it = members_.find(address);
  return it == members_.end() ? nullptr : it->second.get();
}

}  // namespace bbv
