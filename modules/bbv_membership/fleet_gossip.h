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

// What gossip needs from and hands to its owner. The methods must not call back
// into it.
class GossipDelegate {
 public:
  virtual ~GossipDelegate() = default;
  // Sends to each of `to`; lost where there is no connection.
  virtual void Send(const MemberTable::Ranking& to,
                    const wire::FrameT& frame) = 0;
  // What this entry has under way; sequence and flags are filled in later.
  virtual wire::EntryStateT MakeState(Instant now) = 0;
  // What the entries of a zone but this one have under way and spent.
  virtual void OnZoneDigest(const std::string& zone,
                            const wire::ZoneDigestT& others,
                            Instant now) = 0;
  // Nothing has been heard of a zone for some time.
  virtual void OnZoneLost(const std::string& zone) = 0;
  // An entry has an older configuration than the others.
  virtual void OnConfigurationVersion(const std::string& address,
                                      uint64_t version,
                                      Instant now) = 0;
  // A target was found at fault by another entry.
  virtual void OnTargetFault(const wire::TargetFaultT& fault, Instant now) = 0;
};

// Tells the fleet what this entry has under way, and learns the same of others.
//
// Each entry tells the first two in rank of its zone; the first sums up what
// it was last_sent_at, tells the first two of every other zone, and hands all
// zones' sums local_digests to its own. So an entry's connections grow with its
// zone at most, and what it is last_sent_at grows with targets, not with
// entries times targets. Faults of targets take the same ways at once.
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class FleetGossip {
 public:
  // `members` and `delegate` must outlive this. `retry_window` is the retry
  // budget's window.
  FleetGossip(MemberTable* members,
              GossipDelegate* delegate,
              Milliseconds retry_window);

  // Tells what is due.
  void OnTick(Instant now);

  // Takes a message of the entry at `peer`.
  void OnMessage(const std::string& peer,
                 const wire::FrameT& frame,
                 Instant now);

  // Tells the fleet at once of a target that this entry found at fault.
  void AnnounceFault(wire::TargetFaultT fault, Instant now);

  // Sends `frame` to all entries of this zone.
  void BroadcastToZone(const wire::FrameT& frame);

  // Entries to which this one needs connections now.
  std::set<std::string> RequiredConnections(Instant now) const;

  // Pause between two tellings of one entry.
  Milliseconds gossip_interval() const;

  // Time in which what one entry tells has reached all others.
  Milliseconds propagation_time() const;

  // Whether some digest named an entry that is not known here.
  bool has_unknown_members() const { return has_unknown_members_; }
  void ClearUnknownMembers() { has_unknown_members_ = false; }

 private:
  // A digest of a zone and whether it was handed local_digests.
  struct ReceivedDigest {
    wire::ZoneDigestT digest;
    Instant received_at{};
    bool sent_to_zone = false;
    Instant next_send_to_zone{};
  };

  // This zone's first two, without this entry.
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
  void ForwardFaults(const std::vector<wire::TargetFaultT>& faults,
                     bool to_other_zones,
                     Instant now);
  // Returns the faults that were not last_sent_at lately, and counts them as
  // last_sent_at.
  std::vector<wire::TargetFaultT> FilterNewFaults(
      const std::vector<wire::TargetFaultT>& faults,
      Instant now);

  MemberTable* members_;
  GossipDelegate* delegate_;
  ZoneAggregator aggregator_;
  Instant next_send_at_{};
  uint32_t sequence_ = 0;
  // What this entry last_sent_at last, newest at the back.
  std::deque<wire::EntryStateT> sent_states_;
  std::map<std::string, ReceivedDigest> zones_;
  // When a fault of a target was last last_sent_at, by this entry or another;
  // apart for faults and for targets that said that they leave.
  std::map<std::pair<std::string, bool>, Instant> recent_faults_;
  bool has_unknown_members_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_FLEET_GOSSIP_H_
