#include "bbv_entry/peer_exchange.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/list_messages.h"

namespace bbv {
namespace {

// Reports older than this are not handed on.
constexpr Milliseconds kReportHandOn{2000};
// Time that the zone's reader is given to hand on a configuration, and the
// pause between two helps for one entry.
constexpr Milliseconds kLetReaderTell{500};
constexpr Milliseconds kHelpPause{1000};
// A heartbeat that may have been on its way while a peer saw the fault.
constexpr int64_t kHeartbeatsOnTheWay = 1;
constexpr Milliseconds kRankingPause{100};

uint32_t Rounded(double value) {
  return static_cast<uint32_t>(std::lround(std::max(0.0, value)));
}

// What is told of `target`, as this entry knows it.
wire::TargetFaultT MakeFault(const FleetTarget& target,
                             std::string_view evidence) {
  wire::TargetFaultT fault;
  fault.target = target.record.id;
  fault.started_unix_ms = target.record.started_unix_ms;
  fault.heartbeat = target.record.heartbeat;
  fault.evidence = evidence;
  return fault;
}

}  // namespace

PeerExchange::PeerExchange(EventLoop* loop,
                           const Parts& parts,
                           const MemberRecord& own,
                           Milliseconds retry_window,
                           OnFault on_fault)
    : parts_(parts),
      members_(own),
      links_(loop, parts.log, own),
      directory_(
          parts.store,
          parts.log,
          own,
          [this](const MemberRecord& record) {
            members_.Learn(record, EventLoop::Now());
          },
          [this] { gossip_.ClearUnknownMembers(); }),
      gossip_(&members_, this, retry_window),
      on_fault_(std::move(on_fault)) {
  assert(parts.board != nullptr && parts.configuration != nullptr);
  assert(parts.planner != nullptr && parts.targets != nullptr);
}

std::string PeerExchange::Start(const std::vector<SocketAddress>& seeds) {
  std::set<std::string> addresses;
  for (const SocketAddress& it : seeds)
    addresses.insert(it.ToString());
  std::string fault =
      links_.Start([this](const std::string& peer, const wire::FrameT& frame) {
        OnMessage(peer, frame);
      });
  if (fault.empty())
    links_.SetWanted(addresses, EventLoop::Now());
  return fault;
}

void PeerExchange::OnTick(Instant now) {
  members_.SetOwnSignals({parts_.planner->tells_that_it_plans(),
                          parts_.planner->leaving(),
                          parts_.store->reachable()});
  if (now >= next_ranking_) {
    next_ranking_ = now + kRankingPause;
    for (const std::string& it : members_.OnTick(now))
      parts_.log->Write(Event::kPeerSilent, now, {{"peer", it}});
    links_.SetWanted(gossip_.WantedLinks(now), now);
    std::erase_if(next_help_,
                  [now](const auto& it) { return now >= it.second; });
  }
  links_.OnTick(now);
  directory_.OnTick(members_.is_relay(), gossip_.has_unknown_members(), now);
  parts_.planner->SetPeers(members_.AnotherPlans(now),
                           members_.IsFirstOfFleet(now), now);
  gossip_.OnTick(now);
}

std::size_t PeerExchange::reader_rank() const {
  // An entry that does not reach the store looks for it in its place among
  // all.
  return parts_.store->reachable() ? members_.own_reader_rank()
                                   : members_.own_rank();
}

std::optional<int> PeerExchange::known_entries() const {
  if (!directory_.was_read())
    return std::nullopt;
  return members_.known();
}

void PeerExchange::Send(const MemberTable::Ranking& to,
                        const wire::FrameT& frame) {
  if (to.empty())
    return;
  const std::string bytes = EncodeFrame(frame);
  for (const Member* it : to)
    links_.Send(it->record.address, bytes);
}

void PeerExchange::TellTargetList(wire::TargetListDeltaT delta) {
  gossip_.TellZone(MakeFrame(std::move(delta)));
}

void PeerExchange::TellConfiguration() {
  if (reader_rank() > 0)
    return;
  wire::EntryConfigurationT message;
  message.version = parts_.configuration->version();
  message.text = parts_.configuration->text();
  gossip_.TellZone(MakeFrame(std::move(message)));
}

void PeerExchange::HelpBehind(const std::string& address,
                              uint64_t version,
                              Instant now) {
  const ConfigurationFollower& configuration = *parts_.configuration;
  parts_.configuration->HearOfVersion(version, now);
  if (version >= configuration.version() ||
      now < configuration.applied_at() + kLetReaderTell ||
      next_help_.contains(address))
    return;
  const Member* member = members_.Find(address);
  if (member == nullptr)
    return;
  next_help_[address] = now + kHelpPause;
  wire::EntryConfigurationT message;
  message.version = configuration.version();
  message.text = configuration.text();
  Send({member}, MakeFrame(std::move(message)));
}

wire::EntryStateT PeerExchange::MakeState(Instant now) {
  wire::EntryStateT state;
  state.configuration_version = parts_.configuration->version();
  for (const auto& [id, row] : parts_.board->rows()) {
    if (row->own_calls > 0) {
      state.own.emplace_back(
          HashBytes32(id), static_cast<uint32_t>(row->own_calls),
          Rounded(row->own_token_layers), Rounded(row->own_unread_tokens));
    }
  }
  for (const auto& [service, spent] : parts_.budgets->Committed(now)) {
    wire::RetrySpendingT retries;
    retries.service = service;
    retries.calls = Rounded(spent.calls);
    retries.repeats = Rounded(std::ceil(spent.repeats));
    state.retries.push_back(std::move(retries));
  }
  AppendReports(now, &state);
  return state;
}

void PeerExchange::AppendReports(Instant now, wire::EntryStateT* state) {
  const Instant told = std::exchange(reports_told_at_, now);
  if (!parts_.planner->plans())
    return;
  for (const auto& [id, row] : parts_.board->rows()) {
    // Each report is handed on once, soon after it was taken.
    if (now > row->reported_at + kReportHandOn ||
        row->reported_at + kReportLag <= told)
      continue;
    state->engines.push_back(ToMessage(
        *row, Milliseconds(RemainingMilliseconds(now, row->reported_at))));
  }
}

void PeerExchange::TakeReports(const std::vector<wire::EngineRow>& rows,
                               Instant now) {
  for (const wire::EngineRow& it : rows) {
    const FleetTarget* target = parts_.board->FindByHash(it.target());
    if (target == nullptr ||
        static_cast<uint32_t>(target->record.started_unix_ms) != it.started())
      continue;
    parts_.board->ApplyReport(target->record.id,
                              FromMessage(it, target->record.started_unix_ms),
                              now - Milliseconds(it.age_ms()));
  }
}

void PeerExchange::TakeZone(const std::string& zone,
                            const wire::ZoneDigestT& others,
                            Instant now) {
  std::vector<PeerLoad> loads;
  loads.reserve(others.loads.size());
  for (const wire::LoadRow& it : others.loads) {
    const FleetTarget* target = parts_.board->FindByHash(it.target());
    if (target == nullptr)
      continue;
    loads.push_back({target->record.id, static_cast<int>(it.calls()),
                     static_cast<double>(it.token_layers()),
                     static_cast<double>(it.unread_tokens())});
  }
  parts_.board->SetPeerLoad(zone, std::move(loads));
  RetryBudgets::Spendings spendings;
  for (const wire::RetrySpendingT& it : others.retries) {
    spendings[it.service] = {static_cast<double>(it.calls),
                             static_cast<double>(it.repeats)};
  }
  parts_.budgets->SetPeer(zone, std::move(spendings), now);
  TakeReports(others.engines, now);
  parts_.configuration->HearOfVersion(others.configuration_version, now);
}

void PeerExchange::LoseZone(const std::string& zone) {
  parts_.board->SetPeerLoad(zone, {});
}

void PeerExchange::TellFault(const FleetTarget& target,
                             std::string_view evidence) {
  gossip_.TellFault(MakeFault(target, evidence), EventLoop::Now());
}

void PeerExchange::TellLeaving(const FleetTarget& target) {
  wire::TargetFaultT fault = MakeFault(target, "said that it leaves");
  fault.leaving = true;
  gossip_.TellFault(std::move(fault), EventLoop::Now());
}

void PeerExchange::TakeFault(const wire::TargetFaultT& fault, Instant now) {
  if (fault.leaving) {
    if (parts_.board->MarkLeaving(fault.target, fault.started_unix_ms)) {
      parts_.log->Write(
          Event::kTargetLeaves, now,
          {{"target", fault.target}, {"evidence", "peer: " + fault.evidence}});
    }
    return;
  }
  const FleetTarget* target = parts_.board->Find(fault.target);
  if (target == nullptr ||
      target->record.started_unix_ms != fault.started_unix_ms ||
      target->record.heartbeat > fault.heartbeat + kHeartbeatsOnTheWay)
    return;
  on_fault_(fault.target, "peer: " + fault.evidence);
}

void PeerExchange::OnMessage(const std::string& peer,
                             const wire::FrameT& frame) {
  const Instant now = EventLoop::Now();
  if (const auto* hello = frame.body.AsEntryHello()) {
    members_.Learn(FromMessage(*hello), now);
    members_.Hear(HashBytes32(peer), {}, now);
    parts_.log->Write(Event::kPeerConnected, now, {{"peer", peer}});
  } else if (const auto* message = frame.body.AsEntryConfiguration()) {
    parts_.configuration->Take(message->text, peer, now);
  } else if (const auto* delta = frame.body.AsTargetListDelta()) {
    parts_.targets->Take(*delta, now);
  } else {
    gossip_.OnMessage(peer, frame, now);
  }
}

}  // namespace bbv
