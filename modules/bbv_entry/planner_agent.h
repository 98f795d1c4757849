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

// Plans layer placement while this entry holds the planner's lease.
//
// The lease is membership in a consumer group at the store: the member that is
// assigned the group's first partition plans. Two entries may plan at once
// while a lease expires. This is harmless: an order carries the number of
// orders that its target has begun, so a target carries out only one of two
// orders that are based on the same state. Thread safety: none, the loop's
// thread.
class PlannerAgent {
 public:
  PlannerAgent(StoreClient* store,
               HttpClient* client,
               DecisionLog* log,
               TargetRegistry* registry,
               std::string member,
               int lease_minimum_ms);

  // Renews the lease and sends the orders that are due. Nothing is planned
  // until `list_complete`; `last_new_target` is when the list last grew.
  void OnTick(const std::shared_ptr<FleetIndex>& configuration,
              bool list_complete,
              Instant last_new_target,
              Instant now);

  // Releases the lease for good; called when this entry stops.
  void Leave();

  // Whether this entry plans: it holds the lease, or substitutes for the holder
  // while the store is unreachable and no entry plans, or has lost the lease
  // and no other entry has announced yet that it plans.
  bool plans() const {
    return holds_lease_ || is_substitute_ || handover_until_.has_value();
  }

  // Whether this entry announces that it plans, so that the others need not.
  bool announces_planning() const { return holds_lease_ || is_substitute_; }

  // Whether it has released the lease for good.
  bool leaving() const { return leaving_; }

  // Sets whether this entry may hold or seek the lease. A holder that has not
  // been a candidate for some time releases the lease.
  void SetCandidate(bool candidate) { candidate_ = candidate; }

  // Updates what is known from peers: whether one of them plans, and whether
  // this entry ranks first among the live entries.
  void SetPeers(bool peer_plans, bool is_first, Instant now);

  // Group generation at the store; increases with each change of membership.
  int64_t generation() const { return generation_; }

 private:
  // An order that was decided and is not confirmed as carried out yet.
  struct PendingOrder {
    LayerRange layers;
    int64_t started_unix_ms = 0;
    // When the order is dropped, and when its target is next asked for a report
    // or sent the order again.
    Instant deadline{};
    Instant retry_at{};
    bool answered = false;
    Instant answered_at{};
    // Until when the target has to acknowledge the order.
    Instant response_deadline{};
  };

  void RenewLease(Instant now);
  // Whether this entry takes part in the group at the store.
  bool SeeksLease(Instant now);
  void ReleaseLease();
  void SetLease(bool held, Instant now);
  // Returns the targets to plan with; a target with a pending order is listed
  // with the layers that it will hold.
  std::vector<PlannerTarget> CollectTargets(const ServiceDescription& service,
                                            Instant now);
  // Returns placements that add second copies of layers, unless more urgent
  // changes are pending.
  std::vector<Placement> PlanSecondCopies(
      const EngineModel& model,
      const std::vector<PlannerTarget>& targets,
      Instant now) const;
  // Logs zones whose targets no longer hold every layer, or hold every layer
  // again.
  void LogCoverageChanges(const EngineModel& model,
                          const std::string& service,
                          Instant now);
  void PlanService(const ServiceDescription& service, Instant now);
  void ResolveOrders(Instant now);
  void RequestReport(const std::string& id);
  void SendOrder(const std::string& id, int64_t orders_begun);
  // Removes from the target registry the layers that a target releases under an
  // order it has just accepted. Its reports show the release only later.
  void ApplyReleasedLayers(const std::string& id, const LayerRange& wanted);
  void OnOrderAnswer(const std::string& id, const OrderAnswer& answer);

  StoreClient* store_;
  HttpClient* client_;
  DecisionLog* log_;
  TargetRegistry* registry_;
  std::string member_id_;
  Milliseconds lease_duration_;
  bool holds_lease_ = false;
  bool is_substitute_ = false;
  // Set while this entry keeps planning after it lost the lease.
  std::optional<Instant> handover_until_;
  // Since when the store has been unreachable with no entry planning.
  std::optional<Instant> no_planner_since_;
  // Whether another entry is known to plan.
  bool peer_plans_ = false;
  bool candidate_ = false;
  // When a holder that is no longer a candidate releases the lease.
  std::optional<Instant> lease_release_at_;
  bool join_in_flight_ = false;
  bool leaving_ = false;
  int64_t generation_ = 0;
  // Era of the store in which the group was last joined.
  int64_t joined_era_ = 0;
  Instant lease_expires_at_{};
  Instant next_join_{};
  Instant next_plan_{};
  // When an order was last removed from `pending_orders_`.
  Instant last_order_resolved_{};
  std::map<std::string, PendingOrder> pending_orders_;
  // Targets that did not acknowledge an order, and until when they are sent no
  // other.
  std::map<std::string, Instant> unresponsive_until_;
  // Zones whose targets do not hold every layer, and since when.
  std::map<std::string, Instant> incomplete_since_;
  TargetLossDetector target_loss_detector_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PLANNER_AGENT_H_
