#ifndef MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
#define MODULES_BBV_ENTRY_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/crash_store.h"
#include "bbv_entry/member_directory.h"
#include "bbv_entry/peer_links.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_entry/target_follower.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"

namespace bbv {

// Exchanges state with the other entries: connects the gossip and the peer
// connections with the tables of this entry. Carries each entry's calls in
// flight, engine load reports, faulty targets, the target list and the
// configuration.
//
// Thread safety: none, the loop's thread.
class PeerExchange final : public GossipDelegate {
 public:
  // Objects whose state is sent and updated; all must outlive this.
  struct Parts {
    StoreClient* store = nullptr;
    DecisionLog* log = nullptr;
    TargetRegistry* registry = nullptr;
    ConfigurationFollower* configuration = nullptr;
    TargetFollower* targets = nullptr;
    PlannerAgent* planner = nullptr;
    RetryBudgets* budgets = nullptr;
    CrashGuard* crash_guard = nullptr;
    RateLimitExchange* rate_limits = nullptr;
    PeerLinks::Limits links;
  };
  // Called for a target that another entry found faulty.
  using OnFault =
      std::function<void(const std::string& target_id, std::string_view)>;

  PeerExchange(EventLoop* loop,
               const Parts& parts,
               const MemberRecord& own,
               Milliseconds retry_window,
               OnFault on_fault);

  // Returns an empty string, or the reason why it cannot listen. `seeds` are
  // the entries to connect to first.
  std::string Start(const std::vector<SocketAddress>& seeds);

  // Sends the messages that are due.
  void OnTick(Instant now);

  // Sends a target fault to all entries immediately.
  void AnnounceFault(const FleetTarget& target, std::string_view evidence);

  // Announces to all entries immediately that a target is leaving.
  void AnnounceLeaving(const FleetTarget& target);

  // Sends news about calls that crash targets to all entries immediately.
  void AnnounceCrash(wire::CrashNoticeT notice, Instant now) {
    gossip_.AnnounceCrash(std::move(notice), now);
  }

  // Sends rate limits that have begun, changed or ended to all entries
  // immediately.
  void AnnounceRateLimits(wire::RateLimitNoticeT notice, Instant now) {
    gossip_.AnnounceRateLimits(std::move(notice), now);
  }

  // Sends this zone's entries what this entry has read from the store.
  void PublishTargetList(wire::TargetListDeltaT delta);
  void PublishConfiguration();

  const MemberTable& members() const { return members_; }

  // Rank of this entry among those that read the store for its zone.
  std::size_t reader_rank() const;

  // Number of entries that may spend from the shared retry budgets, including
  // this one; empty until the entries' records were read from the store.
  std::optional<int> known_entries() const;

  // Time in which an update from one entry reaches all others.
  Milliseconds propagation_time() const { return gossip_.propagation_time(); }

  // GossipDelegate:
  void Send(const MemberTable::Ranking& to, const wire::FrameT& frame) override;
  wire::EntryStateT MakeState(Instant now) override;
  void OnZoneDigest(const std::string& zone,
                    const wire::ZoneDigestT& others,
                    Instant now) override;
  void OnZoneLost(const std::string& zone) override;
  void OnConfigurationVersion(const std::string& address,
                              uint64_t version,
                              Instant now) override;
  void OnTargetFault(const wire::TargetFaultT& fault, Instant now) override;
  bool OnCrashNotice(const wire::CrashNoticeT& notice, Instant now) override {
    return parts_.crash_guard->OnNotice(notice, now);
  }
  void OnQuarantines(const std::vector<wire::QuarantinedPartsT>& quarantines,
                     Instant now) override {
    parts_.crash_guard->OnQuarantines(quarantines, now);
  }
  bool OnRateLimits(const std::vector<wire::RateLimitRow>& limits,
                    Instant now) override {
    return parts_.rate_limits->OnLimits(limits, now);
  }
  std::vector<wire::RateClaimRow> AllocateRateLimits(
      const ClaimsByZone& claims) override {
    return parts_.rate_limits->Allocate(claims);
  }

 private:
  void OnMessage(const std::string& peer, const wire::FrameT& frame);
  // If this entry plans, adds the engine reports that were not sent yet.
  void AppendReports(Instant now, wire::EntryStateT* state);
  void ApplyReports(const std::vector<wire::EngineRow>& rows, Instant now);

  Parts parts_;
  MemberTable members_;
  PeerLinks links_;
  CrashStore crash_store_;
  MemberDirectory directory_;
  FleetGossip gossip_;
  OnFault on_fault_;
  Instant next_ranking_{};
  // When engine reports were last sent.
  Instant reports_sent_at_{};
  // Earliest time at which an outdated entry may be sent the configuration
  // again.
  std::map<std::string, Instant> next_configuration_send_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
