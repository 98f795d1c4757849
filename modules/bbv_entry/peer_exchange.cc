#include "bbv_entry/peer_exchange.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/target_messages.h"

namespace bbv {
namespace {

// Older reports are not sent to peers.
constexpr Milliseconds kMaxForwardedReportAge{2000};
// Time that the zone's reader has to distribute a configuration before other
// entries send it, and the minimum interval between two sends to the same
// entry.
constexpr Milliseconds kReaderDistributionTime{500};
constexpr Milliseconds kConfigurationSendInterval{1000};
// Number of heartbeats that may have been in transit when a peer observed the
// fault. More than that since then disprove the fault.
constexpr int64_t kHeartbeatsInTransit = 1;
constexpr Milliseconds kRankingInterval{100};

uint32_t RoundToUnsigned(double value) {
  return static_cast<uint32_t>(std::lround(std::max(0.0, value)));
}

// Returns the fault message for `target` as this entry knows it.
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
      links_(loop, parts.log, own, parts.links),
      crash_store_(parts.store, parts.log, parts.crash_guard),
      directory_(
          parts.store,
          parts.log,
          own,
          [this](const MemberRecord& record) {
            members_.AddOrUpdate(record, EventLoop::Now());
          },
          [this](const platform::KeyedRecord& record) {
            return crash_store_.OnRecord(record, EventLoop::Now());
          },
          [this] { gossip_.ClearUnknownMembers(); }),
      gossip_(&members_, this, retry_window),
      on_fault_(std::move(on_fault)) {
  assert(parts.registry != nullptr && parts.configuration != nullptr);
  assert(parts.planner != nullptr && parts.targets != nullptr);
  assert(parts.crash_guard != nullptr && parts.rate_limits != nullptr);
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
    links_.RequestConnections(addresses, EventLoop::Now());
  return fault;
}

void PeerExchange::OnTick(Instant now) {
  members_.SetOwnStatus({parts_.planner->announces_planning(),
                         parts_.planner->leaving(), parts_.store->reachable()});
  if (now >= next_ranking_) {
    next_ranking_ = now + kRankingInterval;
    for (const std::string& it : members_.OnTick(now))
      parts_.log->Write(Event::kPeerSilent, now, {{"peer", it}});
    links_.RequestConnections(gossip_.RequiredConnections(now), now);
    std::erase_if(next_configuration_send_,
                  [now](const auto& it) { return now >= it.second; });
  }
  links_.OnTick(now);
  directory_.OnTick(members_.is_relay(), gossip_.has_unknown_members(), now);
  crash_store_.OnTick(directory_.was_read() && members_.IsFleetLeader(now),
                      now);
  parts_.planner->SetPeers(members_.HasOtherPlanner(now),
                           members_.IsFleetLeader(now), now);
  gossip_.OnTick(now);
}

std::size_t PeerExchange::reader_rank() const {
  // An entry that cannot reach the store tries it in the order of its rank
  // among all entries of the zone.
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

void PeerExchange::PublishTargetList(wire::TargetListDeltaT delta) {
  gossip_.BroadcastToZone(MakeFrame(std::move(delta)));
}

void PeerExchange::PublishConfiguration() {
  if (reader_rank() > 0)
    return;
  wire::EntryConfigurationT message;
  message.version = parts_.configuration->version();
  message.text = parts_.configuration->text();
  gossip_.BroadcastToZone(MakeFrame(std::move(message)));
}

void PeerExchange::OnConfigurationVersion(const std::string& address,
                                          uint64_t version,
                                          Instant now) {
  const ConfigurationFollower& configuration = *parts_.configuration;
  parts_.configuration->OnPeerVersion(version, now);
  if (version >= configuration.version() ||
      now < configuration.applied_at() + kReaderDistributionTime ||
      next_configuration_send_.contains(address))
    return;
  const Member* member = members_.Find(address);
  if (member == nullptr)
    return;
  next_configuration_send_[address] = now + kConfigurationSendInterval;
  wire::EntryConfigurationT message;
  message.version = configuration.version();
  message.text = configuration.text();
  Send({member}, MakeFrame(std::move(message)));
}

wire::EntryStateT PeerExchange::MakeState(Instant now) {
  wire::EntryStateT state;
  state.configuration_version = parts_.configuration->version();
  for (const auto& [id, row] : parts_.registry->rows()) {
    if (row->own_calls > 0) {
      state.own.emplace_back(HashBytes32(id),
                             static_cast<uint32_t>(row->own_calls),
                             RoundToUnsigned(row->own_token_layers),
                             RoundToUnsigned(row->own_unread_tokens));
    }
  }
  for (const auto& [service, spent] : parts_.budgets->Committed(now)) {
    wire::RetrySpendingT retries;
    retries.service = service;
    retries.calls = RoundToUnsigned(spent.calls);
    retries.repeats = RoundToUnsigned(std::ceil(spent.repeats));
    state.retries.push_back(std::move(retries));
  }
  state.quarantines = parts_.crash_guard->TakeDueQuarantines(now);
  state.limits = parts_.rate_limits->TakeDueLimits(now);
  state.claims = parts_.rate_limits->Claims(now);
  AppendReports(now, &state);
  return state;
}

void PeerExchange::AppendReports(Instant now, wire::EntryStateT* state) {
  const Instant last_sent_at = std::exchange(reports_sent_at_, now);
  if (!parts_.planner->plans())
    return;
  for (const auto& [id, row] : parts_.registry->rows()) {
    // Send each report once, soon after it was received.
    if (now > row->reported_at + kMaxForwardedReportAge ||
        row->reported_at + kTypicalReportAge <= last_sent_at)
      continue;
    state->engines.push_back(ToMessage(
        *row, Milliseconds(RemainingMilliseconds(now, row->reported_at))));
  }
}

void PeerExchange::ApplyReports(const std::vector<wire::EngineRow>& rows,
                                Instant now) {
  for (const wire::EngineRow& it : rows) {
    const FleetTarget* target = parts_.registry->FindByHash(it.target());
    if (target == nullptr ||
        static_cast<uint32_t>(target->record.started_unix_ms) != it.started())
      continue;
    parts_.registry->ApplyReport(
        target->record.id, FromMessage(it, target->record.started_unix_ms),
        now - Milliseconds(it.age_ms()));
  }
}

void PeerExchange::OnZoneDigest(const std::string& zone,
                                const wire::ZoneDigestT& others,
                                Instant now) {
  std::vector<PeerLoad> loads;
  loads.reserve(others.loads.size());
  for (const wire::LoadRow& it : others.loads) {
    const FleetTarget* target = parts_.registry->FindByHash(it.target());
    if (target == nullptr)
      continue;
    loads.push_back({target->record.id, static_cast<int>(it.calls()),
                     static_cast<double>(it.token_layers()),
                     static_cast<double>(it.unread_tokens())});
  }
  parts_.registry->SetPeerLoad(zone, std::move(loads));
  RetryBudgets::SpendingByService spending_by_service;
  for (const wire::RetrySpendingT& it : others.retries) {
    spending_by_service[it.service] = {static_cast<double>(it.calls),
                                       static_cast<double>(it.repeats)};
  }
  parts_.budgets->SetPeerSpending(zone, std::move(spending_by_service), now);
  ApplyReports(others.engines, now);
  if (zone == members_.own().record.zone)
    parts_.rate_limits->OnGrants(others.holders, now);
  parts_.configuration->OnPeerVersion(others.configuration_version, now);
}

void PeerExchange::OnZoneLost(const std::string& zone) {
  parts_.registry->SetPeerLoad(zone, {});
}

void PeerExchange::AnnounceFault(const FleetTarget& target,
                                 std::string_view evidence) {
  gossip_.AnnounceFault(MakeFault(target, evidence), EventLoop::Now());
}

void PeerExchange::AnnounceLeaving(const FleetTarget& target) {
  wire::TargetFaultT fault = MakeFault(target, "said that it leaves");
  fault.leaving = true;
  gossip_.AnnounceFault(std::move(fault), EventLoop::Now());
}

void PeerExchange::OnTargetFault(const wire::TargetFaultT& fault, Instant now) {
  if (fault.leaving) {
    if (parts_.registry->MarkLeaving(fault.target, fault.started_unix_ms)) {
      parts_.log->Write(
          Event::kTargetLeaves, now,
          {{"target", fault.target}, {"evidence", "peer: " + fault.evidence}});
    }
    return;
  }
  const FleetTarget* target = parts_.registry->Find(fault.target);
  if (target == nullptr ||
      target->record.started_unix_ms != fault.started_unix_ms ||
      target->record.heartbeat > fault.heartbeat + kHeartbeatsInTransit)
    return;
  on_fault_(fault.target, "peer: " + fault.evidence);
}

void PeerExchange::OnMessage(const std::string& peer,
                             const wire::FrameT& frame) {
  const Instant now = EventLoop::Now();
  if (const auto* hello = frame.body.AsEntryHello()) {
    members_.AddOrUpdate(FromMessage(*hello), now);
    members_.RecordContact(HashBytes32(peer), {}, now);
    parts_.log->Write(Event::kPeerConnected, now, {{"peer", peer}});
  } else if (const auto* message = frame.body.AsEntryConfiguration()) {
    parts_.configuration->Apply(message->text, peer, now);
  } else if (const auto* delta = frame.body.AsTargetListDelta()) {
    parts_.targets->ApplyDelta(*delta, now);
  } else {
    gossip_.OnMessage(peer, frame, now);
  }
}

}  // namespace bbv
