#include "virtual_fleet.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/crash_messages.h"
#include "bbv_entry/rate_limit_exchange.h"

namespace bbv {
namespace {

constexpr Milliseconds kTick{20};
constexpr Milliseconds kLatency{1};
constexpr Milliseconds kRankingInterval{100};
constexpr Milliseconds kRetryWindow{10'000};
constexpr double kRetryShare = 0.2;
constexpr double kRetryExtra = 320;
constexpr std::size_t kListBytes = 1500;
constexpr Milliseconds kQuarantineShareInterval{1000};
constexpr char kService[] = "service";
constexpr char kLimitedTarget[] = "limited-target";

TargetRecord LimitedTargetRecord() {
  TargetRecord record;
  record.id = kLimitedTarget;
  record.service = kService;
  record.address = "10.9.0.1:80";
  record.zone = "zone-0";
  record.started_unix_ms = 1;
  return record;
}

// Models a fleet of mostly small instances with a few large ones, as is usual
// at edge sites.
double CapacityOf(int entry) {
  return entry % 5 == 0 ? 0.5 : 0.09;
}

}  // namespace

struct VirtualFleet::Node final : public GossipDelegate {
  Node(VirtualFleet* fleet, int node_index, const MemberRecord& record)
      : fleet(fleet),
        node_index(node_index),
        members(record),
        gossip(&members, this, kRetryWindow),
        schedule(fleet->options_.max_list_age),
        log(record.name),
        rate_limits(&log,
                    &registry,
                    record,
                    [this](wire::RateLimitNoticeT notice, Instant now) {
                      gossip.AnnounceRateLimits(std::move(notice), now);
                    }),
        budgets({kRetryShare, kRetryExtra, kRetryWindow, Milliseconds(800)}),
        jitter(fleet->random_()) {
    schedule.RecordSnapshot(fleet->now_);
    registry.Apply(LimitedTargetRecord(), fleet->now_);
  }

  void Send(const MemberTable::Ranking& to,
            const wire::FrameT& frame) override {
    const std::size_t bytes = EncodeFrame(frame).size();
    fleet->Post(node_index, to, std::make_shared<const wire::FrameT>(frame),
                bytes, Instant{});
  }
  wire::EntryStateT MakeState(Instant now) override {
    wire::EntryStateT state;
    for (int it = 0; it < fleet->options_.targets && calls > 0; ++it)
      state.own.emplace_back(static_cast<uint32_t>(it + 1), calls, calls,
                             calls);
    for (const auto& [service, spent] : budgets.Committed(now)) {
      wire::RetrySpendingT row;
      row.service = service;
      row.calls = static_cast<uint32_t>(spent.calls);
      row.repeats = static_cast<uint32_t>(std::ceil(spent.repeats));
      state.retries.push_back(std::move(row));
    }
    if (now >= next_quarantine_share) {
      next_quarantine_share = now + kQuarantineShareInterval;
      state.quarantines = EncodeQuarantines(now);
    }
    state.limits = rate_limits.TakeDueLimits(now);
    state.claims = rate_limits.Claims(now);
    for (int it = 0; it < fleet->options_.targets && plans; ++it)
      state.engines.emplace_back(static_cast<uint32_t>(it + 1), 1, 1, 0, 1, 100,
                                 1, 0, 0);
    return state;
  }
  void OnZoneDigest(const std::string& zone,
                    const wire::ZoneDigestT& others,
                    Instant now) override {
    if (zone == members.own().record.zone)
      rate_limits.OnGrants(others.holders, now);
    auto& loads = zones[zone];
    loads.clear();
    for (const wire::LoadRow& it : others.loads)
      loads[it.target()] = it.calls();
    RetryBudgets::SpendingByService spendings;
    for (const wire::RetrySpendingT& it : others.retries) {
      spendings[it.service] = {static_cast<double>(it.calls),
                               static_cast<double>(it.repeats)};
    }
    budgets.SetPeerSpending(zone, std::move(spendings), now);
  }
  void OnZoneLost(const std::string& zone) override { zones.erase(zone); }
  bool OnCrashNotice(const wire::CrashNoticeT& notice, Instant now) override {
    bool is_new = false;
    for (const wire::TargetCrashT& it : notice.crashes)
      is_new |= evidence.AddCrash(FromMessage(it, now));
    for (const wire::QuarantinedPartsT& it : notice.quarantines)
      is_new |= quarantine.Merge(FromMessage(it, now), now);
    return is_new;
  }
  void OnQuarantines(const std::vector<wire::QuarantinedPartsT>& quarantines,
                     Instant now) override {
    for (const wire::QuarantinedPartsT& it : quarantines)
      quarantine.Merge(FromMessage(it, now), now);
  }
  std::vector<wire::QuarantinedPartsT> EncodeQuarantines(Instant now) const {
    std::vector<wire::QuarantinedPartsT> messages;
    for (const QuarantineRow& it : quarantine.Rows())
      messages.push_back(ToMessage(it, now));
    return messages;
  }
  bool OnRateLimits(const std::vector<wire::RateLimitRow>& limits,
                    Instant now) override {
    return rate_limits.OnLimits(limits, now);
  }
  std::vector<wire::RateClaimRow> AllocateRateLimits(
      const ClaimsByZone& claims) override {
    return rate_limits.Allocate(claims);
  }
  void OnConfigurationVersion(const std::string&, uint64_t, Instant) override {}
  void OnTargetFault(const wire::TargetFaultT& fault, Instant) override {
    faults.insert(fault.target);
  }

  VirtualFleet* fleet;
  int node_index;
  MemberTable members;
  FleetGossip gossip;
  ReadSchedule schedule;
  DecisionLog log;
  TargetRegistry registry;
  RateLimitExchange rate_limits;
  RetryBudgets budgets;
  uint64_t jitter;
  Instant next_ranking{};
  uint32_t calls = 1;
  // Calls of other entries by zone and target, as the digests report them.
  std::map<std::string, std::map<uint32_t, uint32_t>> zones;
  std::set<std::string> faults;
  CrashEvidence evidence;
  CallQuarantine quarantine;
  Instant next_quarantine_share{};
  bool running = true;
  bool leaving = false;
  bool plans = false;
  bool frozen = false;
  bool store_partitioned = false;
  bool peers_partitioned = false;
  Traffic traffic;
};

VirtualFleet::VirtualFleet(const Options& options)
    : options_(options),
      now_(Instant{} + std::chrono::hours(1)),
      random_(options.seed) {
  for (int it = 0; it < options.entries; ++it) {
    MemberRecord record;
    record.address = "10.0." + std::to_string(it / 250) + "." +
                     std::to_string(it % 250) + ":7000";
    record.zone = "zone-" + std::to_string(it % options.zones);
    record.capacity = CapacityOf(it / options.zones);
    by_address_[record.address] = it;
    records_.push_back(std::move(record));
  }
  nodes_.resize(records_.size());
  for (int it = 0; it < options.entries; ++it)
    StartNode(it);
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::StartNode(int entry) {
  nodes_[entry] = std::make_unique<Node>(this, entry, records_[entry]);
  // The store lists all entries.
  for (const MemberRecord& it : records_)
    nodes_[entry]->members.AddOrUpdate(it, now_);
}

void VirtualFleet::Run(Milliseconds time,
                       const std::function<void()>& on_tick) {
  const Instant end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    while (!messages_.empty() && messages_.top().arrival <= now_) {
      const Message message = messages_.top();
      messages_.pop();
      Deliver(message);
    }
    for (int it = 0; it < size(); ++it)
      TickNode(it);
    if (on_tick)
      on_tick();
  }
}

void VirtualFleet::Leave(int entry) {
  nodes_[entry]->leaving = true;
}

void VirtualFleet::Plan(int entry) {
  nodes_[entry]->plans = true;
}

int VirtualFleet::RelayCount(const std::string& zone) const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(), [&zone](const auto& it) {
        return it->running && it->members.own().record.zone == zone &&
               it->members.is_relay();
      }));
}

int VirtualFleet::FirstReaderCount(const std::string& zone) const {
  return static_cast<int>(
      std::count_if(nodes_.begin(), nodes_.end(), [&zone](const auto& it) {
        return it->running && it->members.own().record.zone == zone &&
               it->members.own_reader_rank() == 0;
      }));
}

void VirtualFleet::TickNode(int entry) {
  Node& node = *nodes_[entry];
  if (!node.running || node.frozen)
    return;
  MemberStatus own_status;
  own_status.reads_store = !node.store_partitioned;
  own_status.leaving = node.leaving;
  own_status.plans = node.plans;
  node.members.SetOwnStatus(own_status);
  if (now_ >= node.next_ranking) {
    node.next_ranking = now_ + kRankingInterval;
    node.members.OnTick(now_);
    node.budgets.SetEntries(node.members.known(),
                            node.gossip.propagation_time());
  }
  node.rate_limits.OnTick(node.members.known(), node.gossip.propagation_time(),
                          now_);
  node.gossip.OnTick(now_);
  const std::size_t rank = node.store_partitioned
                               ? node.members.own_rank()
                               : node.members.own_reader_rank();
  if (now_ >= node.schedule.NextRead(rank, node.jitter))
    ReadList(entry);
}

void VirtualFleet::ReadList(int entry) {
  Node& node = *nodes_[entry];
  ++node.traffic.store_calls;
  if (node.store_partitioned)
    return;
  node.schedule.RecordSnapshot(now_);
  Post(entry, node.members.ZoneMembers(), nullptr, kListBytes, now_);
}

void VirtualFleet::Post(int from,
                        const MemberTable::Ranking& to,
                        const std::shared_ptr<const wire::FrameT>& frame,
                        std::size_t bytes,
                        Instant snapshot_time) {
  Node& sender = *nodes_[from];
  for (const Member* it : to) {
    ++sender.traffic.messages_sent;
    sender.traffic.bytes_sent += bytes;
    messages_.push({now_ + kLatency, next_order_++, from,
                    by_address_.at(it->record.address), frame, bytes,
                    snapshot_time});
  }
}

void VirtualFleet::Deliver(const Message& message) {
  Node& node = *nodes_[message.to];
  if (!node.running || node.peers_partitioned ||
      nodes_[message.from]->peers_partitioned)
    return;
  if (node.frozen) {
    // The message stays in the socket buffer until the process resumes.
    Message later = message;
    later.arrival = now_ + kTick;
    messages_.push(later);
    return;
  }
  node.traffic.bytes_received += message.bytes;
  if (message.frame != nullptr)
    node.gossip.OnMessage(records_[message.from].address, *message.frame, now_);
  else
    node.schedule.RecordSnapshot(message.snapshot_time);
}

void VirtualFleet::Kill(int entry) {
  nodes_[entry]->running = false;
}

void VirtualFleet::Restart(int entry) {
  StartNode(entry);
}

void VirtualFleet::Freeze(int entry, bool frozen) {
  nodes_[entry]->frozen = frozen;
}

void VirtualFleet::SetStorePartition(int entry, bool partitioned) {
  nodes_[entry]->store_partitioned = partitioned;
}

void VirtualFleet::SetPeerPartition(int entry, bool partitioned) {
  nodes_[entry]->peers_partitioned = partitioned;
}

bool VirtualFleet::IsRunning(int entry) const {
  return nodes_[entry]->running && !nodes_[entry]->frozen;
}

std::string VirtualFleet::ZoneOf(int entry) const {
  return records_[entry].zone;
}

int VirtualFleet::RelayOf(const std::string& zone) const {
  for (int it = 0; it < size(); ++it) {
    if (IsRunning(it) && records_[it].zone == zone &&
        nodes_[it]->members.is_relay())
      return it;
  }
  return -1;
}

void VirtualFleet::SetCalls(int entry, uint32_t calls) {
  nodes_[entry]->calls = calls;
}

uint32_t VirtualFleet::PeerCalls(int entry, int target) const {
  uint32_t calls = 0;
  for (const auto& [zone, loads] : nodes_[entry]->zones) {
    const auto it = loads.find(static_cast<uint32_t>(target + 1));
    calls += it == loads.end() ? 0 : it->second;
  }
  return calls;
}

void VirtualFleet::AnnounceFault(int entry, const std::string& target) {
  wire::TargetFaultT fault;
  fault.target = target;
  nodes_[entry]->faults.insert(target);
  nodes_[entry]->gossip.AnnounceFault(std::move(fault), now_);
}

bool VirtualFleet::KnowsFault(int entry, const std::string& target) const {
  return nodes_[entry]->faults.contains(target);
}

void VirtualFleet::ReportCrash(int entry, uint32_t target, uint64_t part) {
  const CrashReport report{
      {target, 1}, now_, {{part, target, now_ - Milliseconds(50)}}};
  nodes_[entry]->evidence.AddCrash(report);
  wire::CrashNoticeT notice;
  notice.crashes.push_back(ToMessage(kService, report, now_));
  nodes_[entry]->gossip.AnnounceCrash(std::move(notice), now_);
}

int VirtualFleet::CrashCount(int entry, uint64_t part) const {
  return nodes_[entry]->evidence.CrashCount(part);
}

void VirtualFleet::Quarantine(int entry, uint64_t part) {
  Node& node = *nodes_[entry];
  node.quarantine.Add(kService, {part}, 3, now_);
  wire::CrashNoticeT notice;
  notice.quarantines = node.EncodeQuarantines(now_);
  node.gossip.AnnounceCrash(std::move(notice), now_);
}

bool VirtualFleet::IsQuarantined(int entry, uint64_t part) const {
  return nodes_[entry]->quarantine.Find(kService, {part}) != nullptr;
}

void VirtualFleet::NameRateLimit(std::optional<double> per_second) {
  rate_limit_ = per_second;
}

bool VirtualFleet::CallLimitedTarget(int entry) {
  Node& node = *nodes_[entry];
  FleetTarget* target = node.registry.Find(kLimitedTarget);
  node.rate_limits.RecordCall(kService, now_);
  if (!target->AcceptsRequests(now_))
    return false;
  target->rate_limit.RecordRequest(now_);
  platform::TargetNotice notice;
  notice.rate_limit = rate_limit_;
  node.rate_limits.OnResponse(target, notice, now_, now_ + kLatency);
  return true;
}

bool VirtualFleet::KnowsRateLimit(int entry) const {
  return nodes_[entry]
      ->registry.Find(kLimitedTarget)
      ->rate_limit.per_second()
      .has_value();
}

Milliseconds VirtualFleet::ListAge(int entry) const {
  return std::chrono::duration_cast<Milliseconds>(
      now_ - nodes_[entry]->schedule.snapshot_time());
}

SharedRetryBudget* VirtualFleet::Budget(int entry) {
  return nodes_[entry]->budgets.ForService(kService);
}

const VirtualFleet::Traffic& VirtualFleet::TrafficOf(int entry) const {
  return nodes_[entry]->traffic;
}

void VirtualFleet::ResetTraffic() {
  for (const auto& it : nodes_)
    it->traffic = {};
}

}  // namespace bbv
