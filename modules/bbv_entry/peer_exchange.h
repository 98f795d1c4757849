#ifndef MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
#define MODULES_BBV_ENTRY_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/fleet_follower.h"
#include "bbv_entry/peer_links.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_fleet/bbv_fleet.h"

namespace bbv {

// What entries tell each other: the configuration, what each has under way,
// engines' reports, and targets found at fault.
//
// Thread safety: none, the loop's thread.
class PeerExchange {
 public:
  // Called for a target that a peer found at fault.
  using OnFault =
      std::function<void(const std::string& target_id, std::string_view)>;

  // `random` decides which of the peers ahead helps one that is behind.
  PeerExchange(PeerLinks* links,
               TargetBoard* board,
               ConfigurationFollower* configuration,
               PlannerAgent* planner,
               RetryBudgets* budgets,
               std::mt19937_64* random,
               OnFault on_fault);

  // Returns an empty text, or why it cannot listen.
  std::string Start(const std::vector<SocketAddress>& seeds);

  // Tells the peers when that is due.
  void OnTick(Instant now);

  // Tells all peers at once of a target at fault.
  void TellFault(const FleetTarget& target, std::string_view evidence);

 private:
  void OnMessage(const std::string& peer, const wire::FrameT& frame);
  void TakeState(const std::string& peer, const wire::EntryStateT& state);
  void TakeFault(const wire::TargetFaultT& fault);
  void HelpPeerBehind(const std::string& peer, uint64_t version, Instant now);
  wire::EntryStateT MakeState(Instant now) const;
  // Adds the engines' reports that were not handed on yet, when this entry
  // plans.
  void AppendReports(Instant now, wire::EntryStateT* state);

  PeerLinks* links_;
  TargetBoard* board_;
  ConfigurationFollower* configuration_;
  PlannerAgent* planner_;
  RetryBudgets* budgets_;
  std::mt19937_64* random_;
  OnFault on_fault_;
  Instant next_state_{};
  // When engines' reports were last handed on.
  Instant reports_told_at_{};
  // When a fault of a target was last told, by this entry or a peer.
  std::map<std::string, Instant> heard_faults_;
  // Peers that said last that they plan, and that they are stopping.
  std::set<std::string> planning_peers_;
  std::set<std::string> leaving_peers_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_EXCHANGE_H_
