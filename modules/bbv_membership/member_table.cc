#include "bbv_membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// An entry that was not heard for this time counts as dead.
constexpr Milliseconds kSilence{2500};
// After this time without a word an entry is forgotten.
constexpr Milliseconds kForgetAfter{30'000};
// A relay that sends no digest for this time is passed over.
constexpr Milliseconds kRelaySilence{900};
// Smallest capacity that is told from none.
constexpr double kLeastCapacity = 0.01;

// Instances within a factor of two of each other share duties by hash.
int CapacityClass(double capacity) {
  return static_cast<int>(
      std::floor(std::log2(std::max(capacity, kLeastCapacity))));
}

bool RanksBefore(const Member& left, const Member& right) {
  if (left.capacity_class != right.capacity_class)
    return left.capacity_class > right.capacity_class;
  if (left.hash != right.hash)
    return left.hash < right.hash;
  return left.record.address < right.record.address;
}

void SortByRank(MemberTable::Ranking* ranking) {
  std::sort(ranking->begin(), ranking->end(),
            [](const Member* left, const Member* right) {
              return RanksBefore(*left, *right);
            });
}

}  // namespace

MemberTable::MemberTable(const MemberRecord& own) {
  assert(!own.address.empty());
  const std::string address = own.address;
  Learn(own, Instant{});
  own_ = members_[address].get();
  zone_ranking_.push_back(own_);
}

void MemberTable::Learn(const MemberRecord& record, Instant now) {
  if (record.address.empty())
    return;
  std::unique_ptr<Member>& member = members_[record.address];
  if (member == nullptr) {
    member = std::make_unique<Member>();
    member->hash = HashBytes32(record.address);
    // Given the time of an entry just heard to speak up.
    member->heard_at = now;
    by_hash_[member->hash] = member.get();
  }
  member->record = record;
  member->capacity_class = CapacityClass(record.capacity);
}

bool MemberTable::Hear(uint32_t hash,
                       const MemberSignals& signals,
                       Instant now) {
  const auto it = by_hash_.find(hash);
  if (it == by_hash_.end())
    return false;
  Member* member = it->second;
  if (member == own_)
    return true;
  member->heard_at = now;
  member->signals = signals;
  return true;
}

void MemberTable::HearDigest(std::string_view address, Instant now) {
  const auto it = members_.find(address);
  if (it == members_.end())
    return;
  it->second->heard_at = now;
  it->second->digest_at = now;
}

void MemberTable::HearZone(const std::string& zone, const ZoneWord& word) {
  zone_words_[zone] = word;
  for (const auto& [address, member] : members_) {
    if (member->record.zone == zone)
      member->zone_heard_at = word.heard_at;
  }
}

bool MemberTable::IsOfOwnZone(const Member& member) const {
  return member.record.zone == own_->record.zone;
}

int MemberTable::known() const {
  std::map<std::string_view, int> counts;
  for (const auto& [address, member] : members_)
    ++counts[member->record.zone];
  for (const auto& [zone, word] : zone_words_)
    counts[zone] = word.known;
  int n = 0;
  for (const auto& [zone, count] : counts)
    n += count;
  return n;
}

bool MemberTable::IsAlive(const Member& member, Instant now) const {
  return &member == own_ || now <= member.heard_at + kSilence;
}

bool MemberTable::TakesDuties(const Member& member, Instant now) const {
  return IsAlive(member, now) && !member.signals.leaving;
}

std::vector<std::string> MemberTable::OnTick(Instant now) {
  std::vector<std::string> lost;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = *it->second;
    bool& was_alive = was_alive_[it->first];
    const bool alive = IsAlive(member, now);
    if (std::exchange(was_alive, alive) && !alive && IsOfOwnZone(member))
      lost.push_back(it->first);
    const Instant told_of = std::max(member.heard_at, member.zone_heard_at);
    if (&member == own_ || now <= told_of + kForgetAfter) {
      ++it;
      continue;
    }
    was_alive_.erase(it->first);
    by_hash_.erase(member.hash);
    it = members_.erase(it);
  }
  // A zone of which nothing was heard for so long has no say any more.
  std::erase_if(zone_words_, [now](const auto& it) {
    return now > it.second.heard_at + kForgetAfter;
  });
  RankZone(now);
  return lost;
}

void MemberTable::RankZone(Instant now) {
  Ranking candidates;
  for (const auto& [address, member] : members_) {
    if (IsOfOwnZone(*member) && TakesDuties(*member, now))
      candidates.push_back(member.get());
  }
  SortByRank(&candidates);
  zone_ranking_.clear();
  // Only the first is expected to send digests; whoever follows it is expected
  // to once it is passed over.
  bool has_relay = false;
  for (const Member* it : candidates) {
    Member* member = members_.find(it->record.address)->second.get();
    if (has_relay || member == own_) {
      member->expected_since = {};
      has_relay = true;
      zone_ranking_.push_back(member);
      continue;
    }
    if (member->expected_since == Instant{})
      member->expected_since = now;
    const Instant since = std::max(member->digest_at, member->expected_since);
    if (now > since + kRelaySilence)
      continue;
    has_relay = true;
    zone_ranking_.push_back(member);
  }
}

std::size_t MemberTable::own_rank() const {
  const auto it = std::find(zone_ranking_.begin(), zone_ranking_.end(), own_);
  return static_cast<std::size_t>(it - zone_ranking_.begin());
}

std::size_t MemberTable::own_reader_rank() const {
  std::size_t rank = 0;
  for (const Member* it : zone_ranking_) {
    if (it == own_)
      return rank;
    if (it->signals.reads_store)
      ++rank;
  }
  return rank;
}

MemberTable::Ranking MemberTable::FirstOfZone(const std::string& zone,
                                              std::size_t count,
                                              Instant now) const {
  Ranking heard;
  Ranking known;
  for (const auto& [address, member] : members_) {
    if (member.get() == own_ || member->record.zone != zone)
      continue;
    known.push_back(member.get());
    if (TakesDuties(*member, now))
      heard.push_back(member.get());
  }
  Ranking& first = heard.empty() ? known : heard;
  SortByRank(&first);
  if (first.size() > count)
    first.resize(count);
  return first;
}

MemberTable::Ranking MemberTable::ZoneMembers() const {
  Ranking members;
  for (const auto& [address, member] : members_) {
    if (member.get() != own_ && IsOfOwnZone(*member))
      members.push_back(member.get());
  }
  return members;
}

std::vector<std::string> MemberTable::Zones() const {
  std::set<std::string> zones;
  for (const auto& [address, member] : members_)
    zones.insert(member->record.zone);
  return {zones.begin(), zones.end()};
}

bool MemberTable::IsFirstOfFleet(Instant now) const {
  return is_relay() &&
         std::none_of(members_.begin(), members_.end(), [&](const auto& it) {
           return it.second.get() != own_ && TakesDuties(*it.second, now) &&
                  RanksBefore(*it.second, *own_);
         });
}

bool MemberTable::AnotherPlans(Instant now) const {
  const bool in_other_zone =
      std::any_of(zone_words_.begin(), zone_words_.end(), [&](const auto& it) {
        return it.second.plans && now <= it.second.heard_at + kSilence;
      });
  return in_other_zone ||
         std::any_of(members_.begin(), members_.end(), [&](const auto& it) {
           return it.second.get() != own_ && it.second->signals.plans &&
                  IsAlive(*it.second, now);
         });
}

int MemberTable::live(Instant now) const {
  auto n = static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& it) {
        return IsOfOwnZone(*it.second) && IsAlive(*it.second, now);
      }));
  for (const auto& [zone, word] : zone_words_) {
    if (now <= word.heard_at + kSilence)
      n += word.live;
  }
  return n;
}

const Member* MemberTable::Find(std::string_view address) const {
  const auto it = members_.find(address);
  return it == members_.end() ? nullptr : it->second.get();
}

}  // namespace bbv
