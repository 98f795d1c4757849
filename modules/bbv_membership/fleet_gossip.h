#ifndef MODULES_BBV_MEMBERSHIP_FLEET_GOSSIP_H_
#define MODULES_BBV_MEMBERSHIP_FLEET_GOSSIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_membership/member_table.h"
#include "bbv_membership/zone_aggregator.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Interface between FleetGossip and its owner. The methods must not call back
// into FleetGossip.
class GossipDelegate {
 public:
  virtual ~GossipDelegate() = default;
  // Sends `frame` to each member of `to`. Members without an open connection do
  // not receive it.
  virtual void Send(const MemberTable::Ranking& to,
                    const wire::FrameT& frame) = 0;
  // Returns the current load of this entry. FleetGossip fills in the sequence
  // number and the flags.
  virtual wire::EntryStateT MakeState(Instant now) = 0;
  // Called with the summed load and retry spending of a zone, not counting this
  // entry.
  virtual void OnZoneDigest(const std::string& zone,
                            const wire::ZoneDigestT& others,
                            Instant now) = 0;
  // Called when no digest of a zone has arrived within the timeout.
  virtual void OnZoneLost(const std::string& zone) = 0;
  // Called with the configuration version of the member at `address`, so that
  // the owner can send it an update if it is outdated.
  virtual void OnConfigurationVersion(const std::string& address,
                                      uint64_t version,
                                      Instant now) = 0;
  // Called when another entry reports a faulty target.
  virtual void OnTargetFault(const wire::TargetFaultT& fault, Instant now) = 0;
  // Called with another entry's news about calls that crash targets.
  // Returns whether any of it was new here.
  virtual bool OnCrashNotice(const wire::CrashNoticeT& notice, Instant now) = 0;
  // Called with the quarantines that another entry knows.
  virtual void OnQuarantines(
      const std::vector<wire::QuarantinedPartsT>& quarantines,
      Instant now) = 0;
  // Called with rate limits of targets that another entry knows. Returns
  // whether any of them was new here.
  virtual bool OnRateLimits(const std::vector<wire::RateLimitRow>& limits,
                            Instant now) = 0;
  // Decides, at the relay of a zone, which entries share the rate limits of
  // targets, given the entries that have calls for them.
  using ClaimsByZone = std::map<std::string, std::vector<wire::RateClaimRow>>;
  virtual std::vector<wire::RateClaimRow> AllocateRateLimits(
      const ClaimsByZone& claims) = 0;
};

// Distributes the load of this entry across the fleet and collects the load of
// the other entries.
//
// Each entry sends its state to the two highest ranked entries of its zone. The
// first of these is the zone's relay: it sums the states it receives, sends the
// sums to the two highest ranked entries of every other zone, and forwards the
// sums of all zones to the members of its own zone. The number of connections
// of an entry is therefore bounded by the size of its zone, and the amount of
// data it receives grows with the number of targets rather than with entries
// times targets. Reports of faulty targets and rate limits take the same
// routes, but are sent immediately. Deterministic; reads no clock. Thread
// safety: none, owned by one thread.
class FleetGossip {
 public:
  // `members` and `delegate` must outlive this object. `retry_window` is the
  // window of the retry budget.
  FleetGossip(MemberTable* members,
              GossipDelegate* delegate,
              Milliseconds retry_window);

  // Sends the state and the digests that are due.
  void OnTick(Instant now);

  // Handles a message from the entry at `peer`.
  void OnMessage(const std::string& peer,
                 const wire::FrameT& frame,
                 Instant now);

  // Immediately notifies the fleet of a target that this entry found faulty.
  void AnnounceFault(wire::TargetFaultT fault, Instant now);

  // Immediately tells the fleet news about calls that crash targets.
  void AnnounceCrash(wire::CrashNoticeT notice, Instant now);

  // Immediately tells the fleet of rate limits that have begun, changed or
  // ended.
  void AnnounceRateLimits(wire::RateLimitNoticeT notice, Instant now);

  // Sends `frame` to all other entries of this zone.
  void BroadcastToZone(const wire::FrameT& frame);

  // Returns the addresses of the entries to which this one currently needs
  // connections.
  std::set<std::string> RequiredConnections(Instant now) const;

  // Returns the interval at which this entry sends its state.
  Milliseconds gossip_interval() const;

  // Returns an upper bound for the time until a state sent by one entry has
  // reached all others.
  Milliseconds propagation_time() const;

  // Returns whether a digest contained an entry that the member table does not
  // know.
  bool has_unknown_members() const { return has_unknown_members_; }
  void ClearUnknownMembers() { has_unknown_members_ = false; }

 private:
  // The latest digest of a zone and, for other zones, whether and when it is
  // forwarded to this zone's members.
  struct ReceivedDigest {
    wire::ZoneDigestT digest;
    Instant received_at{};
    bool sent_to_zone = false;
    Instant next_send_to_zone{};
  };

  // Returns the two highest ranked entries of this zone, without this entry.
  MemberTable::Ranking OwnRelays() const;
  void SendState(Instant now);
  void RelayDigests(Instant now);
  void SendToRelays(const std::string& zone,
                    const wire::FrameT& frame,
                    Instant now);
  void HandleState(const std::string& peer,
                   const wire::EntryStateT& state,
                   Instant now);
  void HandleDigest(const std::string& peer,
                    const wire::ZoneDigestT& digest,
                    Instant now);
  void HandleFaultNotice(const std::string& peer,
                         const wire::FaultNoticeT& notice,
                         Instant now);
  void RecordMembers(const wire::ZoneDigestT& digest, Instant now);
  // Records what the sender of a digest of this zone says of itself, which is
  // newer than what others say of it.
  void RecordSender(const wire::ZoneDigestT& digest,
                    const Member* sender,
                    Instant now);
  void HandleCrashNotice(const std::string& peer,
                         const wire::CrashNoticeT& notice,
                         Instant now);
  // Sends a notice of this entry to the fleet, through the relays of its zone
  // unless it is one of them.
  template <typename Notice>
  void AnnounceNotice(Notice notice, Instant now);
  // Forwards a notice that was new here, if this entry is to.
  template <typename Notice>
  void PassNoticeOn(const std::string& peer, Notice notice, Instant now);
  // Sends a notice to this zone and, if asked for, to the other zones' relays.
  void ForwardNotice(const wire::FrameT& frame,
                     bool to_other_zones,
                     Instant now);
  bool IsFromOwnZone(const std::string& peer) const;
  // Returns the claims on rate limits of all zones; `own` are those of this
  // one.
  GossipDelegate::ClaimsByZone CollectClaims(
      const std::vector<wire::RateClaimRow>& own) const;
  // Returns the faults that were not reported recently, and marks them as
  // reported.
  std::vector<wire::TargetFaultT> FilterNewFaults(
      const std::vector<wire::TargetFaultT>& faults,
      Instant now);

  MemberTable* members_;
  GossipDelegate* delegate_;
  ZoneAggregator aggregator_;
  Instant next_send_at_{};
  uint32_t sequence_ = 0;
  // The states sent most recently, newest at the back. Used to subtract this
  // entry's own share from its zone's digest.
  std::deque<wire::EntryStateT> sent_states_;
  std::map<std::string, ReceivedDigest> zones_;
  // Quarantines in the latest state of this entry.
  std::vector<wire::QuarantinedPartsT> own_quarantines_;
  // Rate limits in the latest state of this entry.
  std::vector<wire::RateLimitRow> own_limits_;
  // When a fault of a target was last reported, by this entry or another. The
  // flag of the key separates targets that announced that they are leaving from
  // faulty ones.
  std::map<std::pair<std::string, bool>, Instant> recent_faults_;
  bool has_unknown_members_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_FLEET_GOSSIP_H_
