#ifndef MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
#define MODULES_BBV_ENTRY_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/member_directory.h"
#include "bbv_entry/peer_links.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/target_follower.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"

namespace bbv {

// What entries tell each other, carried between the gossip, the connections and
// the tables of this entry: what each has under way, engines' reports, targets
// found at fault, the target list and the configuration.
//
// Thread safety: none, the loop's thread.
class PeerExchange final : public GossipPorts {
 public:
  // What is told and learned; all must outlive this.
  struct Parts {
    StoreClient* store = nullptr;
    DecisionLog* log = nullptr;
    TargetBoard* board = nullptr;
    ConfigurationFollower* configuration = nullptr;
    TargetFollower* targets = nullptr;
    PlannerAgent* planner = nullptr;
    RetryBudgets* budgets = nullptr;
  };
  // Called for a target that another entry found at fault.
  using OnFault =
      std::function<void(const std::string& target_id, std::string_view)>;

  PeerExchange(EventLoop* loop,
               const Parts& parts,
               const MemberRecord& own,
               Milliseconds retry_window,
               OnFault on_fault);

  // Returns an empty text, or why it cannot listen. `seeds` are entries to
  // begin with.
  std::string Start(const std::vector<SocketAddress>& seeds);

  // Tells the other entries what is due.
  void OnTick(Instant now);

  // Tells all entries at once of a target at fault.
  void AnnounceFault(const FleetTarget& target, std::string_view evidence);

  // Tells all entries at once of a target that said that it leaves.
  void AnnounceLeaving(const FleetTarget& target);

  // Hands on what this entry has read from the store for its zone.
  void PublishTargetList(wire::TargetListDeltaT delta);
  void PublishConfiguration();

  const MemberTable& members() const { return members_; }

  // Place of this entry among those that read the store for its zone.
  std::size_t reader_rank() const;

  // Entries that may spend the shared budgets, this one included; nothing
  // before the store's list of them was read.
  std::optional<int> known_entries() const;

  // Time in which what one entry tells has reached all others.
  Milliseconds spread_time() const { return gossip_.spread_time(); }

  // GossipPorts:
  void Send(const MemberTable::Ranking& to, const wire::FrameT& frame) override;
  wire::EntryStateT MakeState(Instant now) override;
  void TakeZone(const std::string& zone,
                const wire::ZoneDigestT& others,
                Instant now) override;
  void LoseZone(const std::string& zone) override;
  void HelpBehind(const std::string& address,
                  uint64_t version,
                  Instant now) override;
  void TakeFault(const wire::TargetFaultT& fault, Instant now) override;

 private:
  void OnMessage(const std::string& peer, const wire::FrameT& frame);
  // Adds the engines' reports that were not handed on yet, when this entry
  // plans.
  void AppendReports(Instant now, wire::EntryStateT* state);
  void ApplyReports(const std::vector<wire::EngineRow>& rows, Instant now);

  Parts parts_;
  MemberTable members_;
  PeerLinks links_;
  MemberDirectory directory_;
  FleetGossip gossip_;
  OnFault on_fault_;
  Instant next_ranking_{};
  // When engines' reports were last handed on.
  Instant reports_sent_at_{};
  // When an entry that was behind may be helped again.
  std::map<std::string, Instant> next_configuration_send_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
