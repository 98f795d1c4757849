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
constexpr Milliseconds kLease{3000};
constexpr Milliseconds kRenewPause{900};
// The same while no entry is known to hold the lease.
constexpr Milliseconds kVacantPause{250};
constexpr Milliseconds kStoreTimeout{1000};
constexpr Milliseconds kPlanPause{100};
// A list that is still growing is not planned on.
constexpr Milliseconds kListSettled{1500};
constexpr Milliseconds kOrderTimeout{500};
constexpr Milliseconds kOrderGivenUp{3000};
// Time for which an order may go unanswered, and for which its target is then
// given no other.
constexpr Milliseconds kMutePatience{1100};
constexpr Milliseconds kMuteTime{3000};
// Age of reports at most.
constexpr Milliseconds kReportAge{500};
// Time for which an entry that has lost the lease goes on planning until
// another one is known to plan.
constexpr Milliseconds kHandOver{1000};
// For how long an entry that others rank before keeps the lease.
constexpr Milliseconds kUnfitPatience{3000};
constexpr Milliseconds kLoadQuestionPause{200};
// Time without the store and without a planner after which an entry stands in.
constexpr Milliseconds kUnplannedPatience{1200};
// Time without other changes of layers after which more of them are doubled,
// and the part of the loads that run at once without delay used for it.
constexpr Milliseconds kDoublingPatience{400};
constexpr int kDoublingPart = 2;
constexpr int kAllTargets = std::numeric_limits<int>::max();
constexpr int kOk = 200;

// Whether some zone's targets hold every layer.
bool HoldsSomeCopy(const EngineModel& model,
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
                           TargetBoard* board,
                           std::string member,
                           int lease_minimum_ms)
    : store_(store),
      client_(client),
      log_(log),
      board_(board),
      member_(std::move(member)),
      lease_(std::max(kLease, Milliseconds(lease_minimum_ms))) {
  assert(store != nullptr && client != nullptr && board != nullptr);
}

void PlannerAgent::OnTick(const std::shared_ptr<FleetIndex>& configuration,
                          bool list_complete,
                          Instant last_new_target,
                          Instant now) {
  RenewLease(now);
  if (!plans() || configuration == nullptr || !list_complete ||
      now < next_plan_)
    return;
  next_plan_ = now + kPlanPause;
  SettleOrders(now);
  const bool any_layers = std::any_of(
      board_->rows().begin(), board_->rows().end(),
      [](const auto& row) { return row.second->record.layers.has_value(); });
  if (!any_layers && pending_.empty() && now < last_new_target + kListSettled)
    return;
  for (const ServiceDescription& it : configuration->configuration().services) {
    if (it.engine)
      PlanService(it, now);
  }
}

void PlannerAgent::RenewLease(Instant now) {
  // While the store cannot be reached by any entry nobody else is given the
  // lease. One that alone is cut off hears of the next holder from its peers.
  if (holds_lease_ && now >= lease_until_ &&
      (store_->reachable() || peer_plans_))
    SetLease(false, now);
  if (joined_era_ != store_->era()) {
    // The store came back from a copy: it may not know of this entry's lease.
    joined_era_ = store_->era();
    generation_ = 0;
    next_join_ = now;
  }
  if (joining_ || leaving_ || now < next_join_ || !SeeksLease(now))
    return;
  joining_ = true;
  next_join_ = now + (plans() || peer_plans_ ? kRenewPause : kVacantPause);
  store_->Call(
      platform::EncodeJoin(kGroup, member_, kGroupTopic,
                           static_cast<int>(lease_.count()), generation_),
      kStoreTimeout, [this, sent = now](const Result<StoreAnswer>& answer) {
        joining_ = false;
        // An answer of an earlier era tells of a group that is gone.
        if (!answer || answer->status != kOk || leaving_ ||
            answer->era < store_->era())
          return;
        const auto group = platform::DecodeGroupAssignment(answer->body);
        if (!group)
          return;
        generation_ = group->generation;
        const bool first_part =
            std::any_of(group->partitions.begin(), group->partitions.end(),
                        [](const platform::PartitionAssignment& it) {
                          return it.partition == 0;
                        });
        // Counted from the sending, which the store cannot have seen later.
        lease_until_ = sent + lease_;
        if (holds_lease_ && !first_part)
          acting_until_ = EventLoop::Now() + kHandOver;
        SetLease(first_part, EventLoop::Now());
      });
}

void PlannerAgent::SetLease(bool held, Instant now) {
  if (held == holds_lease_)
    return;
  holds_lease_ = held;
  if (held || !acting_until_) {
    pending_.clear();
    broken_since_.clear();
  }
  log_->Write(held ? Event::kPlannerGained : Event::kPlannerLost, now,
              {{"generation", generation_}});
}

void PlannerAgent::SetPeers(bool peer_plans, bool is_first, Instant now) {
  if (peer_plans_ && !peer_plans)
    next_join_ = std::min(next_join_, now + kVacantPause);
  peer_plans_ = peer_plans;
  if (acting_until_ && (holds_lease_ || peer_plans || now >= *acting_until_)) {
    acting_until_.reset();
    if (!holds_lease_)
      pending_.clear();
  }
  const bool unplanned =
      !store_->reachable() && !holds_lease_ && !peer_plans && !leaving_;
  if (!unplanned) {
    unplanned_since_.reset();
  } else if (!unplanned_since_) {
    unplanned_since_ = now;
  }
  const bool stands_in =
      is_first && unplanned && now >= *unplanned_since_ + kUnplannedPatience;
  if (stands_in == standing_in_)
    return;
  standing_in_ = stands_in;
  pending_.clear();
  log_->Write(stands_in ? Event::kPlannerGained : Event::kPlannerLost, now,
              {{"generation", int64_t{0}}, {"standing_in", true}});
}

bool PlannerAgent::SeeksLease(Instant now) {
  if (candidate_ || !holds_lease_) {
    unfit_deadline_.reset();
    return candidate_;
  }
  if (!unfit_deadline_)
    unfit_deadline_ = now + kUnfitPatience;
  if (now < *unfit_deadline_)
    return true;
  GiveLeaseBack();
  return false;
}

void PlannerAgent::Leave() {
  if (std::exchange(leaving_, true))
    return;
  standing_in_ = false;
  GiveLeaseBack();
}

void PlannerAgent::GiveLeaseBack() {
  if (holds_lease_)
    acting_until_ = EventLoop::Now() + kHandOver;
  SetLease(false, EventLoop::Now());
  store_->Call(platform::EncodeLeave(kGroup, member_), kStoreTimeout,
               [](const Result<StoreAnswer>&) {});
}

std::vector<PlannerTarget> PlannerAgent::CollectTargets(
    const ServiceDescription& service,
    Instant now) {
  std::vector<PlannerTarget> targets;
  for (const auto& [id, row] : board_->rows()) {
    if (row->record.service != service.name)
      continue;
    if (losses_.IsLost(id, *row, board_->IsUsable(*row, now), now))
      continue;
    PlannerTarget target{id, row->record.zone, row->record.accelerator,
                         row->record.layers, row->UsedTokenLayers(now)};
    if (const auto it = pending_.find(id); it != pending_.end()) {
      target.layers = it->second.layers;
      target.is_fixed = true;
    }
    // Nothing may be sent to a target that rests.
    target.is_fixed =
        target.is_fixed || mute_until_.contains(id) || row->IsResting(now);
    targets.push_back(std::move(target));
  }
  losses_.ForgetUnlisted(*board_);
  return targets;
}

std::vector<Placement> PlannerAgent::PlanRelief(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    Instant now) const {
  std::vector<PlannerTarget> quick;
  for (const PlannerTarget& it : targets) {
    const FleetTarget* target = board_->Find(it.id);
    if (target != nullptr && !TargetBoard::IsSlow(*target, now))
      quick.push_back(it);
  }
  if (quick.size() == targets.size())
    return {};
  // Others take the layers too, but nothing moves: a slow target still serves.
  return LayerPlanner::Plan(model, quick, false);
}

std::vector<Placement> PlannerAgent::PlanDoubles(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets,
    Instant now) const {
  if (!pending_.empty())
    return {};
  const bool in_use =
      std::any_of(targets.begin(), targets.end(),
                  [](const auto& it) { return it.used_token_layers > 0; });
  // Before the first call loads cost little; later repairs go first.
  if (!in_use)
    return LayerDoubler::Plan(model, targets, kAllTargets);
  if (now < std::max(last_settled_, losses_.last_loss()) + kDoublingPatience)
    return {};
  return LayerDoubler::Plan(
      model, targets, std::max(1, model.concurrent_loads / kDoublingPart));
}

void PlannerAgent::WatchCopies(const EngineModel& model,
                               const std::string& service,
                               Instant now) {
  std::map<std::string, LayerCoverage> held;
  for (const auto& [id, row] : board_->rows()) {
    if (row->record.service != service)
      continue;
    auto& zone = held.try_emplace(row->record.zone, model.layers).first->second;
    if (row->record.layers && board_->IsUsable(*row, now))
      zone.Add(*row->record.layers);
  }
  for (const auto& [zone, layers] : held) {
    const auto gap = layers.FirstGap();
    const auto since = broken_since_.find(zone);
    if (!gap && since != broken_since_.end()) {
      log_->Write(Event::kZoneCopyWhole, now,
                  {{"zone", zone},
                   {"after_ms", static_cast<int64_t>(RemainingMilliseconds(
                                    now, since->second))}});
      broken_since_.erase(since);
    }
    if (!gap || since != broken_since_.end())
      continue;
    broken_since_[zone] = now;
    log_->Write(Event::kZoneCopyBroken, now,
                {{"zone", zone},
                 {"from_layer", static_cast<int64_t>(gap->from)},
                 {"missing", static_cast<int64_t>(layers.CountMissing())},
                 {"orders", static_cast<int64_t>(pending_.size())}});
  }
}

void PlannerAgent::PlanService(const ServiceDescription& service, Instant now) {
  const EngineModel& model = *service.engine;
  WatchCopies(model, service.name, now);
  const std::vector<PlannerTarget> targets = CollectTargets(service, now);
  // While orders are under way a second move could take away what the first
  // counts on.
  const bool may_move = pending_.empty() || !HoldsSomeCopy(model, targets);
  std::vector<Placement> changes = LayerPlanner::Plan(model, targets, may_move);
  if (changes.empty())
    changes = PlanRelief(model, targets, now);
  if (changes.empty())
    changes = PlanDoubles(model, targets, now);
  for (const Placement& it : changes) {
    const FleetTarget* target = board_->Find(it.id);
    const double share =
        static_cast<double>(it.layers.size()) / std::max(1, model.layers);
    Order order;
    order.layers = it.layers;
    order.started_unix_ms = target->record.started_unix_ms;
    order.deadline = now + kOrderGivenUp +
                     Milliseconds(static_cast<int>(2 * share * model.load_ms));
    order.send_again = now + kOrderTimeout;
    order.mute_deadline = now + kMutePatience;
    pending_[it.id] = order;
    // A target that has just started and holds nothing has begun no order.
    if (target->record.layers)
      AskReport(it.id);
    else
      SendOrder(it.id, 0);
  }
}

void PlannerAgent::SettleOrders(Instant now) {
  std::erase_if(mute_until_,
                [now](const auto& it) { return now >= it.second; });
  for (auto it = pending_.begin(); it != pending_.end();) {
    const FleetTarget* target = board_->Find(it->first);
    const bool settled =
        target == nullptr ||
        target->record.started_unix_ms != it->second.started_unix_ms ||
        target->record.layers == it->second.layers || target->IsLeaving();
    const bool mute = !it->second.answered && now >= it->second.mute_deadline;
    if (mute && !settled) {
      // Others take its part; what it was told may still be carried out.
      mute_until_[it->first] = now + kMuteTime;
    }
    if (settled || mute || now >= it->second.deadline) {
      last_settled_ = now;
      it = pending_.erase(it);
      continue;
    }
    // Also asked while it loads, since the list tells of the end late.
    if (now >= it->second.send_again) {
      it->second.send_again =
          now + (it->second.answered ? kLoadQuestionPause : kOrderTimeout);
      AskReport(it->first);
    }
    ++it;
  }
}

void PlannerAgent::AskReport(const std::string& id) {
  const FleetTarget* target = board_->Find(id);
  if (target == nullptr || target->IsResting(EventLoop::Now()))
    return;
  AskForReport(
      client_, {target->record.address, EventLoop::Now() + kOrderTimeout},
      [this, id](const ReportAnswer& answer) {
        const auto order = pending_.find(id);
        const auto& report = answer.report;
        if (!report || order == pending_.end())
          return;
        board_->ApplyReport(id, report->load, EventLoop::Now() - kReportLag);
        if (report->load.layers == order->second.layers) {
          order->second.answered = true;
          return;
        }
        if (report->order_in_progress)
          return;
        // Reports are a little old; after that an order that is not
        // under way has been lost, as by a restart.
        if (order->second.answered &&
            EventLoop::Now() < order->second.answered_at + kReportAge)
          return;
        SendOrder(id, report->orders_begun);
      });
}

void PlannerAgent::SendOrder(const std::string& id, int64_t orders_begun) {
  const FleetTarget* target = board_->Find(id);
  const auto order = pending_.find(id);
  if (target == nullptr || order == pending_.end() ||
      target->IsResting(EventLoop::Now()))
    return;
  const LayerRange layers = order->second.layers;
  log_->Write(Event::kLayerOrderSent, EventLoop::Now(),
              {{"target", id},
               {"from_layer", static_cast<int64_t>(layers.from)},
               {"to_layer", static_cast<int64_t>(layers.to)},
               {"orders_begun", orders_begun}});
  GiveOrder(
      client_, target->record.address,
      platform::EncodePlaceOrder(layers, orders_begun),
      EventLoop::Now() + kOrderTimeout,
      [this, id](const OrderAnswer& answer) { OnOrderAnswered(id, answer); });
}

void PlannerAgent::NoteGivenUpLayers(const std::string& id,
                                     const LayerRange& wanted) {
  const FleetTarget* target = board_->Find(id);
  if (target == nullptr || !target->record.layers)
    return;
  EngineLoadReport report = target->report;
  report.started_unix_ms = target->record.started_unix_ms;
  report.layers = target->record.layers->SharedWith(wanted);
  board_->ApplyReport(id, report, EventLoop::Now());
}

void PlannerAgent::OnOrderAnswered(const std::string& id,
                                   const OrderAnswer& answer) {
  log_->Write(
      Event::kLayerOrderAnswered, EventLoop::Now(),
      {{"target", id}, {"status", static_cast<int64_t>(answer.status)}});
  const auto order = pending_.find(id);
  if (order == pending_.end())
    return;
  if (answer.is_taken()) {
    order->second.answered = true;
    order->second.answered_at = EventLoop::Now();
    order->second.send_again = EventLoop::Now() + kLoadQuestionPause;
    if (answer.has_begun())
      NoteGivenUpLayers(id, order->second.layers);
  }
  if (answer.is_conflict())
    order->second.send_again = EventLoop::Now();
}

}  // namespace bbv
