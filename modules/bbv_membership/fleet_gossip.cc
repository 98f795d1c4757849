#include "bbv_membership/fleet_gossip.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr Milliseconds kMinGossipInterval{200};
// Bandwidth limit, in bytes per second, for load data sent to one entry. The
// gossip interval grows with the number of load rows.
constexpr double kBytesPerSecond = 8000;
constexpr double kMillisecondsPerSecond = 1000;
constexpr Milliseconds kMaxGossipInterval{600};
// Interval at which digests of other zones are forwarded to members. They only
// matter for calls that cross zones, so they are sent less often.
constexpr Milliseconds kRemoteZoneInterval{600};
// Entries that receive the state of every member of a zone: the active relay
// and a standby that can take over.
constexpr std::size_t kRelaysPerZone = 2;
// Highest ranked entries to which every entry of a zone keeps a connection.
constexpr std::size_t kConnectedRanks = 3;
// A zone is considered lost if no digest arrives for this time.
constexpr Milliseconds kZoneTimeout{2500};
// Number of sent states that a digest may still include.
constexpr std::size_t kMaxSentStates = 16;
// Repeated reports of the same fault within this time are dropped.
constexpr Milliseconds kFaultDeduplicationWindow{1000};

MemberStatus ToMemberStatus(uint32_t flags) {
  const auto has = [flags](MemberFlag flag) {
    return (flags & static_cast<uint32_t>(flag)) != 0;
  };
  return {has(MemberFlag::kPlans), has(MemberFlag::kLeaving),
          has(MemberFlag::kReadsStore)};
}

}  // namespace

FleetGossip::FleetGossip(MemberTable* members,
                         GossipDelegate* delegate,
                         Milliseconds retry_window)
    : members_(members), delegate_(delegate), aggregator_(retry_window) {
  assert(members != nullptr && delegate != nullptr);
}

Milliseconds FleetGossip::gossip_interval() const {
  std::size_t rows = 0;
  for (const auto& [zone, received] : zones_)
    rows += received.digest.loads.size();
  const auto interval = Milliseconds(
      static_cast<int64_t>(static_cast<double>(rows * sizeof(wire::LoadRow)) /
                           kBytesPerSecond * kMillisecondsPerSecond));
  return std::clamp(interval, kMinGossipInterval, kMaxGossipInterval);
}

Milliseconds FleetGossip::propagation_time() const {
  // One interval each from entry to relay, between relays and from relay to
  // entry, the delay before digests of other zones are forwarded, and one more
  // interval in case the state just missed a round.
  return 3 * gossip_interval() + kRemoteZoneInterval + gossip_interval();
}

void FleetGossip::OnTick(Instant now) {
  if (now < next_send_at_)
    return;
  next_send_at_ = now + gossip_interval();
  std::erase_if(recent_faults_, [now](const auto& it) {
    return now >= it.second + kFaultDeduplicationWindow;
  });
  for (auto it = zones_.begin(); it != zones_.end();) {
    if (now <= it->second.received_at + kZoneTimeout) {
      ++it;
      continue;
    }
    delegate_->OnZoneLost(it->first);
    it = zones_.erase(it);
  }
  SendState(now);
  if (members_->is_relay())
    RelayDigests(now);
  else
    aggregator_.DiscardEngineReports();
}

MemberTable::Ranking FleetGossip::OwnRelays() const {
  const MemberTable::Ranking& ranking = members_->zone_ranking();
  MemberTable::Ranking relays(
      ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(std::min(
                                             kRelaysPerZone, ranking.size())));
  std::erase(relays, &members_->own());
  return relays;
}

void FleetGossip::SendState(Instant now) {
  wire::EntryStateT state = delegate_->MakeState(now);
  state.sequence = ++sequence_;
  const MemberStatus& current_status = members_->own().current_status;
  state.plans = current_status.plans;
  state.leaving = current_status.leaving;
  state.reads_store = current_status.reads_store;
  aggregator_.RecordState(members_->own().hash, state, now);
  const wire::FrameT frame = MakeFrame(state);
  delegate_->Send(OwnRelays(), frame);
  state.engines.clear();
  own_quarantines_ = std::exchange(state.quarantines, {});
  own_limits_ = std::exchange(state.limits, {});
  sent_states_.push_back(std::move(state));
  if (sent_states_.size() > kMaxSentStates)
    sent_states_.pop_front();
}

void FleetGossip::RelayDigests(Instant now) {
  const std::string& own_zone = members_->own().record.zone;
  wire::ZoneDigestT digest = aggregator_.Summarize(now);
  digest.zone = own_zone;
  digest.sequence = sequence_;
  digest.known = static_cast<uint32_t>(members_->ZoneMembers().size() + 1);
  digest.live = static_cast<uint32_t>(digest.members.size());
  digest.quarantines = own_quarantines_;
  digest.limits = own_limits_;
  wire::ZoneDigestsT remote_digests;
  remote_digests.zones.push_back(digest);
  const wire::FrameT remote_frame = MakeFrame(std::move(remote_digests));
  for (const std::string& zone : members_->Zones()) {
    if (zone != own_zone)
      SendToRelays(zone, remote_frame, now);
  }
  digest.holders = delegate_->AllocateRateLimits(CollectClaims(digest.claims));
  wire::ZoneDigestsT local_digests;
  local_digests.zones.push_back(digest);
  local_digests.zones.back().claims.clear();
  for (auto& [zone, received] : zones_) {
    // Forward each digest only once: a digest sent again would be taken for a
    // recent one.
    if (zone == own_zone || received.sent_to_zone ||
        now < received.next_send_to_zone)
      continue;
    received.sent_to_zone = true;
    received.next_send_to_zone = now + kRemoteZoneInterval;
    local_digests.zones.push_back(received.digest);
    // Member lists of other zones are of use to relays only.
    local_digests.zones.back().members.clear();
    // The own zone's digest holds them, too, or what follows from them.
    local_digests.zones.back().quarantines.clear();
    local_digests.zones.back().limits.clear();
    local_digests.zones.back().claims.clear();
    received.digest.engines.clear();
  }
  BroadcastToZone(MakeFrame(std::move(local_digests)));
  SubtractState(sent_states_.back(), &digest);
  delegate_->OnZoneDigest(own_zone, digest, now);
  ReceivedDigest& received = zones_[own_zone];
  received.digest = std::move(digest);
  received.received_at = now;
}

GossipDelegate::ClaimsByZone FleetGossip::CollectClaims(
    const std::vector<wire::RateClaimRow>& own) const {
  GossipDelegate::ClaimsByZone claims;
  for (const auto& [zone, received] : zones_)
    claims[zone] = received.digest.claims;
  claims[members_->own().record.zone] = own;
  return claims;
}

void FleetGossip::SendToRelays(const std::string& zone,
                               const wire::FrameT& frame,
                               Instant now) {
  delegate_->Send(members_->HighestRankedOfZone(zone, kRelaysPerZone, now),
                  frame);
}

void FleetGossip::BroadcastToZone(const wire::FrameT& frame) {
  delegate_->Send(members_->ZoneMembers(), frame);
}

std::set<std::string> FleetGossip::RequiredConnections(Instant now) const {
  std::set<std::string> addresses;
  const std::size_t rank = members_->own_rank();
  const bool serves_zone =
      rank < kConnectedRanks || members_->own_reader_rank() < kRelaysPerZone;
  if (serves_zone) {
    for (const Member* it : members_->ZoneMembers())
      addresses.insert(it->record.address);
  }
  if (rank < kRelaysPerZone) {
    for (const std::string& zone : members_->Zones()) {
      if (zone == members_->own().record.zone)
        continue;
      for (const Member* it :
           members_->HighestRankedOfZone(zone, kRelaysPerZone, now))
        addresses.insert(it->record.address);
    }
  }
  std::size_t count = 0;
  for (const Member* it : members_->zone_ranking()) {
    if (count++ == kConnectedRanks)
      break;
    if (it != &members_->own())
      addresses.insert(it->record.address);
  }
  return addresses;
}

void FleetGossip::OnMessage(const std::string& peer,
                            const wire::FrameT& frame,
                            Instant now) {
  if (const auto* state = frame.body.AsEntryState()) {
    HandleState(peer, *state, now);
  } else if (const auto* digests = frame.body.AsZoneDigests()) {
    for (const wire::ZoneDigestT& it : digests->zones)
      HandleDigest(peer, it, now);
  } else if (const auto* notice = frame.body.AsFaultNotice()) {
    HandleFaultNotice(peer, *notice, now);
  } else if (const auto* crash_notice = frame.body.AsCrashNotice()) {
    HandleCrashNotice(peer, *crash_notice, now);
  } else if (const auto* limit_notice = frame.body.AsRateLimitNotice()) {
    if (delegate_->OnRateLimits(limit_notice->limits, now))
      PassNoticeOn(peer, *limit_notice, now);
  }
}

void FleetGossip::HandleState(const std::string& peer,
                              const wire::EntryStateT& state,
                              Instant now) {
  const uint32_t hash = HashBytes32(peer);
  members_->RecordContact(hash, ToMemberStatus(ToMemberFlags(state)), now);
  aggregator_.RecordState(hash, state, now);
  if (!state.quarantines.empty())
    delegate_->OnQuarantines(state.quarantines, now);
  if (!state.limits.empty())
    delegate_->OnRateLimits(state.limits, now);
  if (members_->is_relay())
    delegate_->OnConfigurationVersion(peer, state.configuration_version, now);
}

void FleetGossip::RecordMembers(const wire::ZoneDigestT& digest, Instant now) {
  for (const wire::MemberRow& it : digest.members) {
    if (!members_->RecordContact(it.member(), ToMemberStatus(it.flags()), now))
      has_unknown_members_ = true;
  }
}

void FleetGossip::RecordSender(const wire::ZoneDigestT& digest,
                               const Member* sender,
                               Instant now) {
  if (sender == nullptr)
    return;
  for (const wire::MemberRow& it : digest.members) {
    if (it.member() == sender->hash)
      members_->RecordContact(it.member(), ToMemberStatus(it.flags()), now);
  }
}

void FleetGossip::HandleDigest(const std::string& peer,
                               const wire::ZoneDigestT& digest,
                               Instant now) {
  if (!digest.quarantines.empty())
    delegate_->OnQuarantines(digest.quarantines, now);
  if (!digest.limits.empty())
    delegate_->OnRateLimits(digest.limits, now);
  const Member& own = members_->own();
  const bool own_zone = digest.zone == own.record.zone;
  const Member* sender = members_->Find(peer);
  if (!own_zone) {
    RecordMembers(digest, now);
    members_->RecordZoneSummary(
        digest.zone, {static_cast<int>(digest.known),
                      static_cast<int>(digest.live), digest.plans, now});
    delegate_->OnZoneDigest(digest.zone, digest, now);
    ReceivedDigest& received = zones_[digest.zone];
    std::vector<wire::EngineRow> engines = std::move(received.digest.engines);
    received.digest = digest;
    received.received_at = now;
    const bool were_sent = received.sent_to_zone;
    // What an entry of this zone forwarded was sent to all of the zone.
    received.sent_to_zone = IsFromOwnZone(peer);
    // Keep engine reports that were not forwarded yet for the next digest.
    if (members_->is_relay() && !were_sent && !received.sent_to_zone) {
      received.digest.engines.insert(received.digest.engines.begin(),
                                     engines.begin(), engines.end());
    }
    if (sender != nullptr && sender->record.zone == digest.zone)
      delegate_->OnConfigurationVersion(peer, digest.configuration_version,
                                        now);
    return;
  }
  members_->RecordDigest(peer, now);
  RecordSender(digest, sender, now);
  // If two entries relay at the same time, only the one that ranks first in the
  // local view counts.
  const auto& ranking = members_->zone_ranking();
  if (ranking.empty() || ranking.front() != sender)
    return;
  RecordMembers(digest, now);
  wire::ZoneDigestT others = digest;
  const auto row = std::find_if(
      digest.members.begin(), digest.members.end(),
      [&own](const wire::MemberRow& it) { return it.member() == own.hash; });
  if (row != digest.members.end()) {
    const auto counted_state =
        std::find_if(sent_states_.begin(), sent_states_.end(),
                     [row](const wire::EntryStateT& it) {
                       return it.sequence == row->sequence();
                     });
    if (counted_state != sent_states_.end())
      SubtractState(*counted_state, &others);
  }
  delegate_->OnZoneDigest(digest.zone, others, now);
  ReceivedDigest& received = zones_[digest.zone];
  received.digest = std::move(others);
  received.received_at = now;
}

std::vector<wire::TargetFaultT> FleetGossip::FilterNewFaults(
    const std::vector<wire::TargetFaultT>& faults,
    Instant now) {
  std::vector<wire::TargetFaultT> new_faults;
  for (const wire::TargetFaultT& it : faults) {
    Instant& last_sent_at = recent_faults_[{it.target, it.leaving}];
    if (last_sent_at != Instant{} &&
        now < last_sent_at + kFaultDeduplicationWindow)
      continue;
    last_sent_at = now;
    new_faults.push_back(it);
  }
  return new_faults;
}

void FleetGossip::ForwardNotice(const wire::FrameT& frame,
                                bool to_other_zones,
                                Instant now) {
  BroadcastToZone(frame);
  if (!to_other_zones)
    return;
  for (const std::string& zone : members_->Zones()) {
    if (zone != members_->own().record.zone)
      SendToRelays(zone, frame, now);
  }
}

bool FleetGossip::IsFromOwnZone(const std::string& peer) const {
  const Member* sender = members_->Find(peer);
  return sender != nullptr &&
         sender->record.zone == members_->own().record.zone;
}

template <typename Notice>
void FleetGossip::AnnounceNotice(Notice notice, Instant now) {
  // The standby relay forwards as well, since the active one may have just
  // failed.
  const bool is_relay = members_->own_rank() < kRelaysPerZone;
  notice.forwarded = is_relay;
  const wire::FrameT frame = MakeFrame(std::move(notice));
  if (is_relay)
    ForwardNotice(frame, true, now);
  else
    delegate_->Send(OwnRelays(), frame);
}

template <typename Notice>
void FleetGossip::PassNoticeOn(const std::string& peer,
                               Notice notice,
                               Instant now) {
  const bool was_forwarded = std::exchange(notice.forwarded, true);
  const wire::FrameT frame = MakeFrame(std::move(notice));
  if (!was_forwarded && members_->own_rank() < kRelaysPerZone)
    ForwardNotice(frame, true, now);
  else if (was_forwarded && !IsFromOwnZone(peer) && members_->is_relay())
    ForwardNotice(frame, false, now);
}

void FleetGossip::AnnounceCrash(wire::CrashNoticeT notice, Instant now) {
  AnnounceNotice(std::move(notice), now);
}

void FleetGossip::AnnounceRateLimits(wire::RateLimitNoticeT notice,
                                     Instant now) {
  AnnounceNotice(std::move(notice), now);
}

void FleetGossip::HandleCrashNotice(const std::string& peer,
                                    const wire::CrashNoticeT& notice,
                                    Instant now) {
  if (delegate_->OnCrashNotice(notice, now))
    PassNoticeOn(peer, notice, now);
}

void FleetGossip::AnnounceFault(wire::TargetFaultT fault, Instant now) {
  wire::FaultNoticeT notice;
  notice.faults = FilterNewFaults({std::move(fault)}, now);
  if (!notice.faults.empty())
    AnnounceNotice(std::move(notice), now);
}

void FleetGossip::HandleFaultNotice(const std::string& peer,
                                    const wire::FaultNoticeT& notice,
                                    Instant now) {
  wire::FaultNoticeT new_notice = notice;
  new_notice.faults = FilterNewFaults(notice.faults, now);
  if (new_notice.faults.empty())
    return;
  PassNoticeOn(peer, new_notice, now);
  for (const wire::TargetFaultT& it : new_notice.faults)
    delegate_->OnTargetFault(it, now);
}

}  // namespace bbv
