#include "bbv_entry/peer_exchange.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Reports older than this are not handed on.
constexpr Milliseconds kReportHandOn{2000};
// How old a report is when it is taken.
constexpr Milliseconds kReportsOnTheWay{250};
// For how long a fault that one entry has told is not told again.
constexpr Milliseconds kFaultIsKnown{1000};
// Time that the store is given to tell all entries of a configuration.
constexpr Milliseconds kLetStoreTell{500};
// How many of the peers ahead help one that is behind, on average.
constexpr int kHelpers = 2;
// A heartbeat that may have been on its way while a peer saw the fault.
constexpr int64_t kHeartbeatsOnTheWay = 1;

void SetMember(const std::string& peer,
               bool is_member,
               std::set<std::string>* members) {
  if (is_member)
    members->insert(peer);
  else
    members->erase(peer);
}

}  // namespace

PeerExchange::PeerExchange(PeerLinks* links,
                           TargetBoard* board,
                           ConfigurationFollower* configuration,
                           PlannerAgent* planner,
                           RetryBudgets* budgets,
                           std::mt19937_64* random,
                           OnFault on_fault)
    : links_(links),
      board_(board),
      configuration_(configuration),
      planner_(planner),
      budgets_(budgets),
      random_(random),
      on_fault_(std::move(on_fault)) {
  assert(links != nullptr && board != nullptr);
  assert(configuration != nullptr && planner != nullptr);
}

std::string PeerExchange::Start(const std::vector<SocketAddress>& seeds) {
  return links_->Start(
      seeds,
      [this](const std::string& peer, const wire::FrameT& frame) {
        OnMessage(peer, frame);
      },
      [this](const std::string& peer) {
        board_->SetPeerLoad(peer, {});
        planning_peers_.erase(peer);
        leaving_peers_.erase(peer);
      });
}

void PeerExchange::HelpPeerBehind(const std::string& peer,
                                  uint64_t version,
                                  Instant now) {
  const auto& current = configuration_->current();
  // The store tells most of them; a whole configuration for every peer would
  // fill thin links.
  if (current == nullptr || version >= current->configuration().version ||
      now < configuration_->applied_at() + kLetStoreTell)
    return;
  const int entries = links_->live_entries();
  if (static_cast<int>((*random_)() % entries) >= kHelpers)
    return;
  wire::EntryConfigurationT message;
  message.version = current->configuration().version;
  message.text = configuration_->text();
  links_->Send(peer, MakeFrame(std::move(message)));
}

void PeerExchange::OnTick(Instant now) {
  links_->OnTick(now);
  planner_->SetPeers(!planning_peers_.empty(),
                     links_->IsFirstAlive(leaving_peers_), now);
  if (now < next_state_)
    return;
  next_state_ = now + links_->state_pause();
  std::erase_if(heard_faults_, [now](const auto& it) {
    return now >= it.second + kFaultIsKnown;
  });
  wire::EntryStateT state = MakeState(now);
  AppendReports(now, &state);
  links_->SendAll(MakeFrame(std::move(state)));
}

wire::EntryStateT PeerExchange::MakeState(Instant now) const {
  wire::EntryStateT state;
  if (configuration_->current() != nullptr) {
    state.configuration_version =
        configuration_->current()->configuration().version;
  }
  state.leaving = planner_->leaving();
  if (planner_->tells_that_it_plans())
    state.planner_generation = std::max<int64_t>(1, planner_->generation());
  for (const auto& [id, row] : board_->rows()) {
    if (row->own_calls > 0) {
      wire::OwnLoadT load;
      load.target = id;
      load.calls = static_cast<uint32_t>(row->own_calls);
      load.token_layers = row->own_token_layers;
      load.unread_tokens = row->own_unread_tokens;
      state.own.push_back(std::move(load));
    }
  }
  for (const auto& [service, spent] : budgets_->Spent(now)) {
    wire::RetrySpendingT retries;
    retries.service = service;
    retries.calls = static_cast<uint32_t>(spent.calls);
    retries.repeats = static_cast<uint32_t>(spent.repeats);
    state.retries.push_back(std::move(retries));
  }
  return state;
}

void PeerExchange::AppendReports(Instant now, wire::EntryStateT* state) {
  if (!planner_->plans())
    return;
  const Instant told = std::exchange(reports_told_at_, now);
  for (const auto& [id, row] : board_->rows()) {
    // Each report is handed on once, soon after it was taken.
    if (now > row->reported_at + kReportHandOn ||
        row->reported_at + kReportsOnTheWay <= told)
      continue;
    wire::EngineLoadT engine;
    engine.target = id;
    engine.started_unix_ms = row->report.started_unix_ms;
    engine.pace = row->report.pace;
    engine.active = static_cast<uint32_t>(row->report.active);
    engine.queued = static_cast<uint32_t>(row->report.queued);
    engine.used_token_layers = row->report.used_token_layers;
    if (row->report.layers) {
      engine.from_layer = static_cast<uint32_t>(row->report.layers->from);
      engine.to_layer = static_cast<uint32_t>(row->report.layers->to);
    }
    engine.age_ms = RemainingMilliseconds(now, row->reported_at);
    state->engines.push_back(std::move(engine));
  }
}

void PeerExchange::TellFault(const FleetTarget& target,
                             std::string_view evidence) {
  const Instant now = EventLoop::Now();
  const auto heard = heard_faults_.find(target.record.id);
  // All entries have heard of it from the one that found it first.
  if (heard != heard_faults_.end() && now < heard->second + kFaultIsKnown)
    return;
  heard_faults_[target.record.id] = now;
  wire::EntryStateT state = MakeState(now);
  wire::TargetFaultT fault;
  fault.target = target.record.id;
  fault.started_unix_ms = target.record.started_unix_ms;
  fault.heartbeat = target.record.heartbeat;
  fault.evidence = evidence;
  state.faults.push_back(std::move(fault));
  links_->SendAll(MakeFrame(std::move(state)));
}

void PeerExchange::OnMessage(const std::string& peer,
                             const wire::FrameT& frame) {
  if (const auto* state = frame.body.AsEntryState())
    TakeState(peer, *state);
  else if (const auto* message = frame.body.AsEntryConfiguration())
    configuration_->Take(message->text, peer, EventLoop::Now());
}

void PeerExchange::TakeState(const std::string& peer,
                             const wire::EntryStateT& state) {
  const Instant now = EventLoop::Now();
  std::vector<PeerLoad> loads;
  loads.reserve(state.own.size());
  for (const wire::OwnLoadT& it : state.own) {
    loads.push_back({it.target, static_cast<int>(it.calls), it.token_layers,
                     it.unread_tokens});
  }
  board_->SetPeerLoad(peer, std::move(loads));
  SetMember(peer, state.planner_generation > 0, &planning_peers_);
  SetMember(peer, state.leaving, &leaving_peers_);
  RetryBudgets::Spendings spendings;
  for (const wire::RetrySpendingT& it : state.retries) {
    spendings[it.service] = {static_cast<double>(it.calls),
                             static_cast<double>(it.repeats)};
  }
  budgets_->SetPeer(peer, std::move(spendings), now);
  for (const wire::EngineLoadT& it : state.engines) {
    EngineLoadReport report;
    report.pace = it.pace;
    report.active = static_cast<int>(it.active);
    report.queued = static_cast<int>(it.queued);
    report.used_token_layers = it.used_token_layers;
    report.started_unix_ms = it.started_unix_ms;
    if (it.to_layer > it.from_layer) {
      report.layers = LayerRange{static_cast<int>(it.from_layer),
                                 static_cast<int>(it.to_layer)};
    }
    board_->ApplyReport(it.target, report, now - Milliseconds(it.age_ms));
  }
  for (const wire::TargetFaultT& it : state.faults)
    TakeFault(it);
  HelpPeerBehind(peer, state.configuration_version, now);
}

void PeerExchange::TakeFault(const wire::TargetFaultT& fault) {
  const FleetTarget* target = board_->Find(fault.target);
  if (target == nullptr ||
      target->record.started_unix_ms != fault.started_unix_ms ||
      target->record.heartbeat > fault.heartbeat + kHeartbeatsOnTheWay)
    return;
  heard_faults_[fault.target] = EventLoop::Now();
  on_fault_(fault.target, "peer: " + fault.evidence);
}

}  // namespace bbv
