#ifndef MODULES_BBV_ENTRY_PLANNER_AGENT_H_
#define MODULES_BBV_ENTRY_PLANNER_AGENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bbv_entry/store_client.h"
#include "bbv_entry/target_requests.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "platform/target_codec.h"

namespace bbv {

// Places layers while this entry holds the planner's lease.
//
// The lease is membership in a group at the store: the member that is given
// the group's first part plans. Two planners at once, while a lease lapses,
// cannot harm: an order names how many orders its target has begun, so of two
// orders from one state a target carries out one.
// Thread safety: none, the loop's thread.
class PlannerAgent {
 public:
  PlannerAgent(StoreClient* store,
               HttpClient* client,
               DecisionLog* log,
               TargetBoard* board,
               std::string member,
               int lease_minimum_ms);

  // Renews the lease and gives the orders that are due. `targets` tells how
  // far the list is known.
  void OnTick(const std::shared_ptr<FleetIndex>& configuration,
              bool list_complete,
              Instant last_new_target,
              Instant now);

  // Gives the lease back.
  void Leave();

  // Whether this entry plans: it holds the lease, or stands in while the store
  // is away and no entry plans, or has lost the lease and no other entry has
  // said yet that it plans.
  bool plans() const {
    return holds_lease_ || is_substitute_ || handover_until_.has_value();
  }

  // Whether others may leave the planning to this entry.
  bool announces_planning() const { return holds_lease_ || is_substitute_; }

  // Whether it has given its duty up for good.
  bool leaving() const { return leaving_; }

  // Sets whether this entry is among those that hold or seek the lease. One
  // that holds it and is no candidate for some time gives it back.
  void SetCandidate(bool candidate) { candidate_ = candidate; }

  // Takes what peers say: whether one of them plans, and whether this entry
  // comes first among those alive.
  void SetPeers(bool peer_plans, bool is_first, Instant now);

  // Rises with each change of the group at the store.
  int64_t generation() const { return generation_; }

 private:
  // An order that was decided and is not known to be carried out.
  struct PendingOrder {
    LayerRange layers;
    int64_t started_unix_ms = 0;
    // When it is given up, or sent again.
    Instant deadline{};
    Instant retry_at{};
    bool answered = false;
    Instant answered_at{};
    // Until when it may go unanswered.
    Instant response_deadline{};
  };

  void RenewLease(Instant now);
  // Whether this entry takes part in the group at the store.
  bool SeeksLease(Instant now);
  void ReleaseLease();
  void SetLease(bool held, Instant now);
  // Targets that planning counts on, with what they hold or will hold.
  std::vector<PlannerTarget> CollectTargets(const ServiceDescription& service,
                                            Instant now);
  // Returns the placements by which quick targets take over layers of slow
  // ones.
  std::vector<Placement> PlanSlowTargetRelief(
      const EngineModel& model,
      const std::vector<PlannerTarget>& targets,
      Instant now) const;
  // Returns the placements by which layers are held twice, while nothing more
  // urgent is under way.
  std::vector<Placement> PlanSecondCopies(
      const EngineModel& model,
      const std::vector<PlannerTarget>& targets,
      Instant now) const;
  // Logs which zones have lost their whole copy, or have it again.
  void LogCoverageChanges(const EngineModel& model,
                          const std::string& service,
                          Instant now);
  void PlanService(const ServiceDescription& service, Instant now);
  void ResolveOrders(Instant now);
  void RequestReport(const std::string& id);
  void SendOrder(const std::string& id, int64_t orders_begun);
  // Takes off the table what a target gives up by an order that it has just
  // accepted; its reports tell of that later.
  void ApplyReleasedLayers(const std::string& id, const LayerRange& wanted);
  void OnOrderAnswer(const std::string& id, const OrderAnswer& answer);
  StoreClient* store_;
  HttpClient* client_;
  DecisionLog* log_;
  TargetBoard* board_;
  std::string member_id_;
  Milliseconds lease_duration_;
  bool holds_lease_ = false;
  bool is_substitute_ = false;
  // Set while this entry plans on without the lease.
  std::optional<Instant> handover_until_;
  // Since when the store has been away and nobody has planned.
  std::optional<Instant> no_planner_since_;
  // Whether some peer is known to plan.
  bool peer_plans_ = false;
  bool candidate_ = false;
  // Until when a holder that is no candidate keeps the lease.
  std::optional<Instant> lease_release_at_;
  bool join_in_flight_ = false;
  bool leaving_ = false;
  int64_t generation_ = 0;
  // Era of the store in which the lease was last sought.
  int64_t joined_era_ = 0;
  Instant lease_expires_at_{};
  Instant next_join_{};
  Instant next_plan_{};
  // When the last order was settled.
  Instant last_order_resolved_{};
  std::map<std::string, PendingOrder> pending_orders_;
  // Targets that left an order unanswered, and until when they get no other.
  std::map<std::string, Instant> unresponsive_until_;
  // Since when the targets of a zone have not held every layer.
  std::map<std::string, Instant> incomplete_since_;
  LossWatch losses_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PLANNER_AGENT_H_
