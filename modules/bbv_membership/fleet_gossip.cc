#include "bbv_membership/fleet_gossip.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr Milliseconds kShortestRound{200};
// Bytes a second that an entry is told of loads; longer pictures come less
// often.
constexpr double kBytesPerSecond = 8000;
constexpr double kMillisecondsPerSecond = 1000;
constexpr Milliseconds kLongestRound{600};
// Pause between two pictures of another zone that entries are handed: they
// matter to calls that cross zones only.
constexpr Milliseconds kOtherZonesPause{600};
// Relays of a zone that hear every entry of it: one acts, one can take over.
constexpr std::size_t kRelays = 2;
// Entries to which every entry of a zone keeps a connection.
constexpr std::size_t kLinkedRanks = 3;
// A zone of which nothing was heard for this time has told nothing.
constexpr Milliseconds kSilence{2500};
// States that digests may still count.
constexpr std::size_t kStatesKept = 16;
// For how long a fault that was told is not told again.
constexpr Milliseconds kFaultIsKnown{1000};

MemberSignals SignalsOf(uint32_t flags) {
  const auto has = [flags](MemberFlag flag) {
    return (flags & static_cast<uint32_t>(flag)) != 0;
  };
  return {has(MemberFlag::kPlans), has(MemberFlag::kLeaving),
          has(MemberFlag::kReadsStore)};
}

}  // namespace

FleetGossip::FleetGossip(MemberTable* members,
                         GossipPorts* ports,
                         Milliseconds spending_lifetime)
    : members_(members), ports_(ports), ledger_(spending_lifetime) {
  assert(members != nullptr && ports != nullptr);
}

Milliseconds FleetGossip::round() const {
  std::size_t rows = 0;
  for (const auto& [zone, picture] : zones_)
    rows += picture.digest.loads.size();
  const auto pause = Milliseconds(
      static_cast<int64_t>(static_cast<double>(rows * sizeof(wire::LoadRow)) /
                           kBytesPerSecond * kMillisecondsPerSecond));
  return std::clamp(pause, kShortestRound, kLongestRound);
}

Milliseconds FleetGossip::spread_time() const {
  // Entry to relay, relay to relay, the pause before it is handed down, and one
  // round for what just missed its turn.
  return 3 * round() + kOtherZonesPause + round();
}

void FleetGossip::OnTick(Instant now) {
  if (now < next_round_)
    return;
  next_round_ = now + round();
  std::erase_if(known_faults_, [now](const auto& it) {
    return now >= it.second + kFaultIsKnown;
  });
  for (auto it = zones_.begin(); it != zones_.end();) {
    if (now <= it->second.taken_at + kSilence) {
      ++it;
      continue;
    }
    ports_->LoseZone(it->first);
    it = zones_.erase(it);
  }
  TellState(now);
  if (members_->is_relay())
    Relay(now);
  else
    ledger_.DropReports();
}

MemberTable::Ranking FleetGossip::OwnRelays() const {
  const MemberTable::Ranking& ranking = members_->zone_ranking();
  MemberTable::Ranking relays(
      ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(std::min(
                                             kRelays, ranking.size())));
  std::erase(relays, &members_->own());
  return relays;
}

void FleetGossip::TellState(Instant now) {
  wire::EntryStateT state = ports_->MakeState(now);
  state.sequence = ++sequence_;
  const MemberSignals& signals = members_->own().signals;
  state.plans = signals.plans;
  state.leaving = signals.leaving;
  state.reads_store = signals.reads_store;
  ledger_.Take(members_->own().hash, state, now);
  const wire::FrameT frame = MakeFrame(state);
  ports_->Send(OwnRelays(), frame);
  state.engines.clear();
  told_.push_back(std::move(state));
  if (told_.size() > kStatesKept)
    told_.pop_front();
}

void FleetGossip::Relay(Instant now) {
  const std::string& own_zone = members_->own().record.zone;
  wire::ZoneDigestT digest = ledger_.Sum(now);
  digest.zone = own_zone;
  digest.sequence = sequence_;
  digest.known = static_cast<uint32_t>(members_->ZoneMembers().size() + 1);
  digest.live = static_cast<uint32_t>(digest.members.size());
  wire::ZoneDigestsT across;
  across.zones.push_back(digest);
  const wire::FrameT across_frame = MakeFrame(std::move(across));
  for (const std::string& zone : members_->Zones()) {
    if (zone != own_zone)
      SendToRelays(zone, across_frame, now);
  }
  wire::ZoneDigestsT down;
  down.zones.push_back(digest);
  for (auto& [zone, picture] : zones_) {
    // An old picture handed on would pass for a new one.
    if (zone == own_zone || picture.handed_down || now < picture.next_hand_down)
      continue;
    picture.handed_down = true;
    picture.next_hand_down = now + kOtherZonesPause;
    down.zones.push_back(picture.digest);
    // Other zones' entries concern relays alone.
    down.zones.back().members.clear();
    picture.digest.engines.clear();
  }
  TellZone(MakeFrame(std::move(down)));
  SubtractState(told_.back(), &digest);
  ports_->TakeZone(own_zone, digest, now);
  ZonePicture& picture = zones_[own_zone];
  picture.digest = std::move(digest);
  picture.taken_at = now;
}

void FleetGossip::SendToRelays(const std::string& zone,
                               const wire::FrameT& frame,
                               Instant now) {
  ports_->Send(members_->FirstOfZone(zone, kRelays, now), frame);
}

void FleetGossip::TellZone(const wire::FrameT& frame) {
  ports_->Send(members_->ZoneMembers(), frame);
}

std::set<std::string> FleetGossip::WantedLinks(Instant now) const {
  std::set<std::string> wanted;
  const std::size_t rank = members_->own_rank();
  const bool serves_zone =
      rank < kLinkedRanks || members_->own_reader_rank() < kRelays;
  if (serves_zone) {
    for (const Member* it : members_->ZoneMembers())
      wanted.insert(it->record.address);
  }
  if (rank < kRelays) {
    for (const std::string& zone : members_->Zones()) {
      if (zone == members_->own().record.zone)
        continue;
      for (const Member* it : members_->FirstOfZone(zone, kRelays, now))
        wanted.insert(it->record.address);
    }
  }
  std::size_t linked = 0;
  for (const Member* it : members_->zone_ranking()) {
    if (linked++ == kLinkedRanks)
      break;
    if (it != &members_->own())
      wanted.insert(it->record.address);
  }
  return wanted;
}

void FleetGossip::OnMessage(const std::string& peer,
                            const wire::FrameT& frame,
                            Instant now) {
  if (const auto* state = frame.body.AsEntryState()) {
    TakeState(peer, *state, now);
  } else if (const auto* digests = frame.body.AsZoneDigests()) {
    for (const wire::ZoneDigestT& it : digests->zones)
      TakeDigest(peer, it, now);
  } else if (const auto* notice = frame.body.AsFaultNotice()) {
    TakeNotice(peer, *notice, now);
  }
}

void FleetGossip::TakeState(const std::string& peer,
                            const wire::EntryStateT& state,
                            Instant now) {
  const uint32_t hash = HashBytes32(peer);
  members_->Hear(hash, SignalsOf(FlagsOf(state)), now);
  ledger_.Take(hash, state, now);
  if (members_->is_relay())
    ports_->HelpBehind(peer, state.configuration_version, now);
}

void FleetGossip::HearMembers(const wire::ZoneDigestT& digest, Instant now) {
  for (const wire::MemberRow& it : digest.members) {
    if (!members_->Hear(it.member(), SignalsOf(it.flags()), now))
      has_unknown_members_ = true;
  }
}

void FleetGossip::TakeDigest(const std::string& peer,
                             const wire::ZoneDigestT& digest,
                             Instant now) {
  const Member& own = members_->own();
  const bool own_zone = digest.zone == own.record.zone;
  const Member* sender = members_->Find(peer);
  if (!own_zone) {
    HearMembers(digest, now);
    members_->HearZone(digest.zone,
                       {static_cast<int>(digest.known),
                        static_cast<int>(digest.live), digest.plans, now});
    ports_->TakeZone(digest.zone, digest, now);
    ZonePicture& picture = zones_[digest.zone];
    std::vector<wire::EngineRow> engines = std::move(picture.digest.engines);
    picture.digest = digest;
    picture.taken_at = now;
    picture.handed_down = false;
    // Reports that were not handed down yet go with the next picture.
    if (members_->is_relay()) {
      picture.digest.engines.insert(picture.digest.engines.begin(),
                                    engines.begin(), engines.end());
    }
    if (sender != nullptr && sender->record.zone == digest.zone)
      ports_->HelpBehind(peer, digest.configuration_version, now);
    return;
  }
  members_->HearDigest(peer, now);
  // Of two that relay at a moment the one counts that ranks first here.
  const auto& ranking = members_->zone_ranking();
  if (ranking.empty() || ranking.front() != sender)
    return;
  HearMembers(digest, now);
  wire::ZoneDigestT others = digest;
  const auto row = std::find_if(
      digest.members.begin(), digest.members.end(),
      [&own](const wire::MemberRow& it) { return it.member() == own.hash; });
  if (row != digest.members.end()) {
    const auto counted = std::find_if(told_.begin(), told_.end(),
                                      [row](const wire::EntryStateT& it) {
                                        return it.sequence == row->sequence();
                                      });
    if (counted != told_.end())
      SubtractState(*counted, &others);
  }
  ports_->TakeZone(digest.zone, others, now);
  ZonePicture& picture = zones_[digest.zone];
  picture.digest = std::move(others);
  picture.taken_at = now;
}

std::vector<wire::TargetFaultT> FleetGossip::TakeNewFaults(
    const std::vector<wire::TargetFaultT>& faults,
    Instant now) {
  std::vector<wire::TargetFaultT> fresh;
  for (const wire::TargetFaultT& it : faults) {
    Instant& told = known_faults_[{it.target, it.leaving}];
    if (told != Instant{} && now < told + kFaultIsKnown)
      continue;
    told = now;
    fresh.push_back(it);
  }
  return fresh;
}

void FleetGossip::ForwardFaults(const std::vector<wire::TargetFaultT>& faults,
                                bool to_other_zones,
                                Instant now) {
  wire::FaultNoticeT notice;
  notice.faults = faults;
  notice.forwarded = true;
  const wire::FrameT frame = MakeFrame(std::move(notice));
  TellZone(frame);
  if (!to_other_zones)
    return;
  for (const std::string& zone : members_->Zones()) {
    if (zone != members_->own().record.zone)
      SendToRelays(zone, frame, now);
  }
}

void FleetGossip::TellFault(wire::TargetFaultT fault, Instant now) {
  const auto fresh = TakeNewFaults({std::move(fault)}, now);
  if (fresh.empty())
    return;
  // A second relay does not wait for the first, which may just have died.
  if (members_->own_rank() < kRelays) {
    ForwardFaults(fresh, true, now);
    return;
  }
  wire::FaultNoticeT notice;
  notice.faults = fresh;
  ports_->Send(OwnRelays(), MakeFrame(std::move(notice)));
}

void FleetGossip::TakeNotice(const std::string& peer,
                             const wire::FaultNoticeT& notice,
                             Instant now) {
  const auto fresh = TakeNewFaults(notice.faults, now);
  if (fresh.empty())
    return;
  const Member* sender = members_->Find(peer);
  const bool from_own_zone =
      sender != nullptr && sender->record.zone == members_->own().record.zone;
  if (!notice.forwarded && members_->own_rank() < kRelays)
    ForwardFaults(fresh, true, now);
  else if (notice.forwarded && !from_own_zone && members_->is_relay())
    ForwardFaults(fresh, false, now);
  for (const wire::TargetFaultT& it : fresh)
    ports_->TakeFault(it, now);
}

}  // namespace bbv
