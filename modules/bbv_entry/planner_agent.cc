#include "bbv_entry/planner_agent.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>
#include <vector>

namespace bbv {
namespace {

constexpr std::string_view kGroup = "bluebellvalve-planner";
constexpr std::string_view kGroupTopic = "bluebellvalve-planner";
constexpr Milliseconds kMinLeaseDuration{3000};
constexpr Milliseconds kLeaseRenewInterval{900};
// The same while no entry is known to hold the lease.
constexpr Milliseconds kVacantLeaseInterval{250};
constexpr Milliseconds kStoreTimeout{1000};
constexpr Milliseconds kPlanInterval{100};
// While no target holds layers, planning starts only after no new target was
// listed for this time, so that it uses the whole list.
constexpr Milliseconds kListSettleTime{1500};
constexpr Milliseconds kOrderTimeout{500};
constexpr Milliseconds kOrderExpiry{3000};
// Time within which a target must acknowledge an order, and time for which a
// target that did not is sent no other.
constexpr Milliseconds kOrderResponseTimeout{1100};
constexpr Milliseconds kUnresponsiveTargetBackoff{3000};
// Maximum age of a target's report on arrival.
constexpr Milliseconds kMaxReportAge{500};
// How long an entry that has lost the lease keeps planning until another one is
// known to plan.
constexpr Milliseconds kHandoverTime{1000};
// How long an entry keeps the lease although other entries rank before it.
constexpr Milliseconds kNonCandidateLeaseTime{3000};
constexpr Milliseconds kLoadingReportInterval{200};
// Time without the store and without a planner after which an entry plans as a
// substitute.
constexpr Milliseconds kNoPlannerTimeout{1200};
// Time without other placement changes or lost targets after which second
// copies of layers are loaded. They use half of the loads that can run
// concurrently without delay.
constexpr Milliseconds kSecondCopyDelay{400};
constexpr int kSecondCopyLoadDivisor = 2;
constexpr int kAllTargets = std::numeric_limits<int>::max();
constexpr int kOk = 200;

// Whether the targets of at least one zone hold every layer.
bool AnyZoneHoldsAllLayers(const EngineModel& model,
                           const std::vector<PlannerTarget>& targets) {
  std::map<std::string, LayerCoverage> held;
  for (const PlannerTarget& it : targets) {
    if (it.layers)
      held.try_emplace(it.zone, model.layers).first->second.Add(*it.layers);
  }
  return std::any_of(held.begin(), held.end(),
                     [](const auto& zone) { return !zone.second.FirstGap(); });
}

}  // namespace

PlannerAgent::PlannerAgent(StoreClient* store,
                           HttpClient* client,
                           DecisionLog* log,
                           TargetRegistry* registry,
                           std::string member,
                           int lease_minimum_ms)
    : store_(store),
      client_(client),
      log_(log),
      registry_(registry),
      member_id_(std::move(member)),
      lease_duration_(
          std::max(kMinLeaseDuration, Milliseconds(lease_minimum_ms))) {
  assert(store != nullptr && client != nullptr && registry != nullptr);
}

void PlannerAgent::OnTick(const std::shared_ptr<FleetIndex>& configuration,
                          bool list_complete,
                          Instant last_new_target,
                          Instant now) {
  RenewLease(now);
  if (!plans() || configuration == nullptr || !list_complete ||
      now < next_plan_)
    return;
  next_plan_ = now + kPlanInterval;
  ResolveOrders(now);
  const bool any_layers = std::any_of(
      registry_->rows().begin(), registry_->rows().end(),
      [](const auto& row) { return row.second->record.layers.has_value(); });
  if (!any_layers && pending_orders_.empty() &&
      now < last_new_target + kListSettleTime)
    return;
  for (const ServiceDescription& it : configuration->configuration().services) {
    if (it.engine)
      PlanService(it, now);
  }
}

void PlannerAgent::RenewLease(Instant now) {
  // While no entry reaches the store, the lease cannot be given to another one.
  // An entry that is the only one cut off learns of the next holder from its
  // peers.
  if (holds_lease_ && now >= lease_expires_at_ &&
      (store_->reachable() || peer_plans_))
    SetLease(false, now);
  if (joined_era_ != store_->era()) {
    // The store was restored from an older copy and may not know this entry's
    // lease.
    joined_era_ = store_->era();
    generation_ = 0;
    next_join_ = now;
  }
  if (join_in_flight_ || leaving_ || now < next_join_ || !SeeksLease(now))
    return;
  join_in_flight_ = true;
  next_join_ = now + (plans() || peer_plans_ ? kLeaseRenewInterval
                                             : kVacantLeaseInterval);
  store_->Call(
      platform::EncodeJoin(kGroup, member_id_, kGroupTopic,
                           static_cast<int>(lease_duration_.count()),
                           generation_),
      kStoreTimeout, [this, sent = now](const Result<StoreAnswer>& answer) {
        join_in_flight_ = false;
        // An answer of an earlier era describes a group that no longer exists.
        if (!answer || answer->status != kOk || leaving_ ||
            answer->era < store_->era())
          return;
        const auto group = platform::DecodeGroupAssignment(answer->body);
        if (!group)
          return;
        generation_ = group->generation;
        const bool has_first_partition =
            std::any_of(group->partitions.begin(), group->partitions.end(),
                        [](const platform::PartitionAssignment& it) {
                          return it.partition == 0;
                        });
        // Counted from the time of sending, since the store cannot have started
        // the lease earlier.
        lease_expires_at_ = sent + lease_duration_;
        if (holds_lease_ && !has_first_partition)
          handover_until_ = EventLoop::Now() + kHandoverTime;
        SetLease(has_first_partition, EventLoop::Now());
      });
}

void PlannerAgent::SetLease(bool held, Instant now) {
  if (held == holds_lease_)
    return;
  holds_lease_ = held;
  if (held || !handover_until_) {
    pending_orders_.clear();
    incomplete_since_.clear();
  }
  log_->Write(held ? Event::kPlannerGained : Event::kPlannerLost, now,
              {{"generation", generation_}});
}

void PlannerAgent::SetPeers(bool peer_plans, bool is_first, Instant now) {
  if (peer_plans_ && !peer_plans)
    next_join_ = std::min(next_join_, now + kVacantLeaseInterval);
  peer_plans_ = peer_plans;
  if (handover_until_ &&
      (holds_lease_ || peer_plans || now >= *handover_until_)) {
    handover_until_.reset();
    if (!holds_lease_)
      pending_orders_.clear();
  }
  const bool no_planner =
      !store_->reachable() && !holds_lease_ && !peer_plans && !leaving_;
  if (!no_planner) {
    no_planner_since_.reset();
  } else if (!no_planner_since_) {
    no_planner_since_ = now;
  }
  const bool is_substitute =
      is_first && no_planner && now >= *no_planner_since_ + kNoPlannerTimeout;
  if (is_substitute == is_substitute_)
    return;
  is_substitute_ = is_substitute;
  pending_orders_.clear();
  log_->Write(is_substitute ? Event::kPlannerGained : Event::kPlannerLost, now,
              {{"generation", int64_t{0}}, {"standing_in", true}});
}

bool PlannerAgent::SeeksLease(Instant now) {
  if (candidate_ || !holds_lease_) {
    lease_release_at_.reset();
    return candidate_;
  }
  if (!lease_release_at_)
    lease_release_at_ = now + kNonCandidateLeaseTime;
  if (now < *lease_release_at_)
    return true;
  ReleaseLease();
  return false;
}

void PlannerAgent::Leave() {
  if (std::exchange(leaving_, true))
    return;
  is_substitute_ = false;
  ReleaseLease();
}

void PlannerAgent::ReleaseLease() {
  if (holds_lease_)
    handover_until_ = EventLoop::Now() + kHandoverTime;
  SetLease(false, EventLoop::Now());
  store_->Call(platform::EncodeLeave(kGroup, member_id_), kStoreTimeout,
               [](const Result<StoreAnswer>&) {});
}

std::vector<PlannerTarget> PlannerAgent::CollectTargets(
    const ServiceDescription& service,
    Instant now) {
  std::vector<PlannerTarget> targets;
  for (const auto& [id, row] : registry_->rows()) {
    if (row->record.service != service.name)
      continue;
    if (target_loss_detector_.IsLost(id, *row, registry_->IsUsable(*row, now),
                                     now))
      continue;
    PlannerTarget target{id, row->record.zone, row->record.accelerator,
                         row->record.layers, row->UsedTokenLayers(now)};
    if (const auto it = pending_orders_.find(id); it != pending_orders_.end()) {
      target.layers = it->second.layers;
      target.is_fixed = true;
    }
    // A target in backoff must not be sent anything.
    target.is_fixed = target.is_fixed || unresponsive_until_.contains(id) ||
                      row->IsInBackoff(now);
    target.is_slow = TargetRegistry::IsSlow(*row, now);
    target.has_rate_limit = row->rate_limit.per_second().has_value();
    targets.push_back(std::move(target));
  }
  target_loss_detector_.RemoveUnlisted(*registry_);
  return targets;
}

std::vector<Placement> PlannerAgent::PlanSecondCopies(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    Instant now) const {
  if (!pending_orders_.empty())
    return {};
  const bool in_use =
      std::any_of(targets.begin(), targets.end(),
                  [](const auto& it) { return it.used_token_layers > 0; });
  // Before the first call loads cost little. Later, repairs take precedence.
  if (!in_use)
    return LayerReplicator::Plan(model, targets, kAllTargets);
  if (now < std::max(last_order_resolved_, target_loss_detector_.last_loss()) +
                kSecondCopyDelay)
    return {};
  return LayerReplicator::Plan(
      model, targets,
      std::max(1, model.concurrent_loads / kSecondCopyLoadDivisor));
}

void PlannerAgent::LogCoverageChanges(const EngineModel& model,
                                      const std::string& service,
                                      Instant now) {
  std::map<std::string, LayerCoverage> held;
  for (const auto& [id, row] : registry_->rows()) {
    if (row->record.service != service)
      continue;
    auto& zone = held.try_emplace(row->record.zone, model.layers).first->second;
    if (row->record.layers && registry_->IsUsable(*row, now))
      zone.Add(*row->record.layers);
  }
  for (const auto& [zone, layers] : held) {
    const auto gap = layers.FirstGap();
    const auto since = incomplete_since_.find(zone);
    if (!gap && since != incomplete_since_.end()) {
      log_->Write(Event::kZoneCopyWhole, now,
                  {{"zone", zone},
                   {"after_ms", static_cast<int64_t>(RemainingMilliseconds(
                                    now, since->second))}});
      incomplete_since_.erase(since);
    }
    if (!gap || since != incomplete_since_.end())
      continue;
    incomplete_since_[zone] = now;
    log_->Write(Event::kZoneCopyBroken, now,
                {{"zone", zone},
                 {"from_layer", static_cast<int64_t>(gap->from)},
                 {"missing", static_cast<int64_t>(layers.CountMissing())},
                 {"orders", static_cast<int64_t>(pending_orders_.size())}});
  }
}

void PlannerAgent::PlanService(const ServiceDescription& service, Instant now) {
  const EngineModel& model = *service.engine;
  LogCoverageChanges(model, service.name, now);
  const std::vector<PlannerTarget> targets = CollectTargets(service, now);
  // While orders are pending, another move could remove layers that the pending
  // orders rely on.
  const bool may_move =
      pending_orders_.empty() || !AnyZoneHoldsAllLayers(model, targets);
  std::vector<Placement> changes = LayerPlanner::Plan(model, targets, may_move);
  if (changes.empty())
    changes = LayerPlanner::PlanRelief(model, targets);
  if (changes.empty())
    changes = PlanSecondCopies(model, targets, now);
  for (const Placement& it : changes) {
    const FleetTarget* target = registry_->Find(it.id);
    const double share =
        static_cast<double>(it.layers.size()) / std::max(1, model.layers);
    PendingOrder order;
    order.layers = it.layers;
    order.started_unix_ms = target->record.started_unix_ms;
    order.deadline = now + kOrderExpiry +
                     Milliseconds(static_cast<int>(2 * share * model.load_ms));
    order.retry_at = now + kOrderTimeout;
    order.response_deadline = now + kOrderResponseTimeout;
    pending_orders_[it.id] = order;
    // A target that has just started and holds no layers has begun no orders.
    if (target->record.layers)
      RequestReport(it.id);
    else
      SendOrder(it.id, 0);
  }
}

void PlannerAgent::ResolveOrders(Instant now) {
  std::erase_if(unresponsive_until_,
                [now](const auto& it) { return now >= it.second; });
  for (auto it = pending_orders_.begin(); it != pending_orders_.end();) {
    const FleetTarget* target = registry_->Find(it->first);
    const bool resolved =
        target == nullptr ||
        target->record.started_unix_ms != it->second.started_unix_ms ||
        target->record.layers == it->second.layers || target->IsLeaving();
    const bool unresponsive =
        !it->second.answered && now >= it->second.response_deadline;
    if (unresponsive && !resolved) {
      // Other targets take over its layers. The order may still be carried out.
      unresponsive_until_[it->first] = now + kUnresponsiveTargetBackoff;
    }
    if (resolved || unresponsive || now >= it->second.deadline) {
      last_order_resolved_ = now;
      it = pending_orders_.erase(it);
      continue;
    }
    // The target is also polled while it loads, since the target list shows the
    // end of loading late.
    if (now >= it->second.retry_at) {
      it->second.retry_at =
          now + (it->second.answered ? kLoadingReportInterval : kOrderTimeout);
      RequestReport(it->first);
    }
    ++it;
  }
}

void PlannerAgent::RequestReport(const std::string& id) {
  const FleetTarget* target = registry_->Find(id);
  const auto pending = pending_orders_.find(id);
  // Without a report the target list shows the end of loading, a little later.
  if (target == nullptr || pending == pending_orders_.end() ||
      !target->AcceptsRequests(EventLoop::Now()))
    return;
  FetchReport(
      client_,
      {target->record.address, pending->second.started_unix_ms,
       EventLoop::Now() + kOrderTimeout},
      [this, id](const ReportAnswer& answer) {
        const auto order = pending_orders_.find(id);
        const auto& report = answer.report;
        if (!report || order == pending_orders_.end())
          return;
        registry_->ApplyReport(id, report->load,
                               EventLoop::Now() - kTypicalReportAge);
        if (report->load.layers == order->second.layers) {
          order->second.answered = true;
          return;
        }
        if (report->order_in_progress)
          return;
        // Reports are slightly outdated. An accepted order that is not in
        // progress after kMaxReportAge was lost, for example by a restart.
        if (order->second.answered &&
            EventLoop::Now() < order->second.answered_at + kMaxReportAge)
          return;
        SendOrder(id, report->orders_begun);
      });
}

void PlannerAgent::SendOrder(const std::string& id, int64_t orders_begun) {
  const FleetTarget* target = registry_->Find(id);
  const auto order = pending_orders_.find(id);
  if (target == nullptr || order == pending_orders_.end() ||
      target->IsInBackoff(EventLoop::Now()))
    return;
  const LayerRange layers = order->second.layers;
  log_->Write(Event::kLayerOrderSent, EventLoop::Now(),
              {{"target", id},
               {"from_layer", static_cast<int64_t>(layers.from)},
               {"to_layer", static_cast<int64_t>(layers.to)},
               {"orders_begun", orders_begun}});
  PostOrder(
      client_,
      {id, target->record.address,
       platform::EncodePlaceOrder(layers, orders_begun),
       EventLoop::Now() + kOrderTimeout},
      [this, id](const OrderAnswer& answer) { OnOrderAnswer(id, answer); });
}

void PlannerAgent::ApplyReleasedLayers(const std::string& id,
                                       const LayerRange& wanted) {
  const FleetTarget* target = registry_->Find(id);
  if (target == nullptr || !target->record.layers)
    return;
  EngineLoadReport report = target->report;
  report.started_unix_ms = target->record.started_unix_ms;
  report.layers = target->record.layers->Intersection(wanted);
  registry_->ApplyReport(id, report, EventLoop::Now());
}

void PlannerAgent::OnOrderAnswer(const std::string& id,
                                 const OrderAnswer& answer) {
  log_->Write(Event::kLayerOrderAnswered, EventLoop::Now(),
              {{"target", id}, {"status", answer.logged_status()}});
  const auto order = pending_orders_.find(id);
  if (order == pending_orders_.end())
    return;
  if (answer.is_accepted()) {
    order->second.answered = true;
    order->second.answered_at = EventLoop::Now();
    order->second.retry_at = EventLoop::Now() + kLoadingReportInterval;
    if (answer.is_started())
      ApplyReleasedLayers(id, order->second.layers);
  }
  if (answer.is_conflict())
    order->second.retry_at = EventLoop::Now();
}

}  // namespace bbv
