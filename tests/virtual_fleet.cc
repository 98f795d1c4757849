#include "virtual_fleet.h"

#include <cmath>
#include <set>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr Milliseconds kTick{20};
constexpr Milliseconds kLatency{1};
constexpr Milliseconds kRankingPause{100};
constexpr Milliseconds kRetryWindow{10'000};
constexpr double kRetryShare = 0.2;
constexpr double kRetryExtra = 320;
constexpr std::size_t kBytesOfListRead = 1500;
constexpr char kService[] = "service";

// A few large instances, most of them small, as thin edges are.
double CapacityOf(int entry) {
  return entry % 5 == 0 ? 0.5 : 0.09;
}

}  // namespace

struct VirtualFleet::Node final : public GossipDelegate {
  Node(VirtualFleet* fleet, int number, const MemberRecord& record)
      : fleet(fleet),
        number(number),
        members(record),
        gossip(&members, this, kRetryWindow),
        schedule(fleet->shape_.oldest_picture),
        budgets({kRetryShare, kRetryExtra, kRetryWindow, Milliseconds(800)}),
        draw(fleet->random_()) {
    schedule.RecordSnapshot(fleet->now_);
  }

  void Send(const MemberTable::Ranking& to,
            const wire::FrameT& frame) override {
    const std::size_t bytes = EncodeFrame(frame).size();
    fleet->Post(number, to, std::make_shared<const wire::FrameT>(frame), bytes,
                Instant{});
  }
  wire::EntryStateT MakeState(Instant now) override {
    wire::EntryStateT state;
    for (int it = 0; it < fleet->shape_.targets && calls > 0; ++it)
      state.own.emplace_back(static_cast<uint32_t>(it + 1), calls, calls,
                             calls);
    for (const auto& [service, spent] : budgets.Committed(now)) {
      wire::RetrySpendingT row;
      row.service = service;
      row.calls = static_cast<uint32_t>(spent.calls);
      row.repeats = static_cast<uint32_t>(std::ceil(spent.repeats));
      state.retries.push_back(std::move(row));
    }
    return state;
  }
  void OnZoneDigest(const std::string& zone,
                    const wire::ZoneDigestT& others,
                    Instant now) override {
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
  void OnConfigurationVersion(const std::string&, uint64_t, Instant) override {}
  void OnTargetFault(const wire::TargetFaultT& fault, Instant) override {
    faults.insert(fault.target);
  }

  VirtualFleet* fleet;
  int number;
  MemberTable members;
  FleetGossip gossip;
  ReadSchedule schedule;
  RetryBudgets budgets;
  uint64_t draw;
  Instant next_ranking{};
  uint32_t calls = 1;
  std::map<std::string, std::map<uint32_t, uint32_t>> zones;
  std::set<std::string> faults;
  bool running = true;
  bool frozen = false;
  bool cut_from_store = false;
  bool cut_from_entries = false;
  Traffic traffic;
};

VirtualFleet::VirtualFleet(const Shape& shape)
    : shape_(shape),
      now_(Instant{} + std::chrono::hours(1)),
      random_(shape.seed) {
  for (int it = 0; it < shape.entries; ++it) {
    MemberRecord record;
    record.address = "10.0." + std::to_string(it / 250) + "." +
                     std::to_string(it % 250) + ":7000";
    record.zone = "zone-" + std::to_string(it % shape.zones);
    record.capacity = CapacityOf(it / shape.zones);
    by_address_[record.address] = it;
    records_.push_back(std::move(record));
  }
  nodes_.resize(records_.size());
  for (int it = 0; it < shape.entries; ++it)
    StartNode(it);
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::StartNode(int entry) {
  nodes_[entry] = std::make_unique<Node>(this, entry, records_[entry]);
  // As the records at the store tell it.
  for (const MemberRecord& it : records_)
    nodes_[entry]->members.AddOrUpdate(it, now_);
}

void VirtualFleet::Run(Milliseconds time,
                       const std::function<void()>& each_tick) {
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
    if (each_tick)
      each_tick();
  }
}

void VirtualFleet::TickNode(int entry) {
  Node& node = *nodes_[entry];
  if (!node.running || node.frozen)
    return;
  MemberStatus signals;
  signals.reads_store = !node.cut_from_store;
  node.members.SetOwnStatus(signals);
  if (now_ >= node.next_ranking) {
    node.next_ranking = now_ + kRankingPause;
    node.members.OnTick(now_);
    node.budgets.SetEntries(node.members.known(),
                            node.gossip.propagation_time());
  }
  node.gossip.OnTick(now_);
  const std::size_t rank = node.cut_from_store ? node.members.own_rank()
                                               : node.members.own_reader_rank();
  if (now_ >= node.schedule.NextRead(rank, node.draw))
    ReadList(entry);
}

void VirtualFleet::ReadList(int entry) {
  Node& node = *nodes_[entry];
  ++node.traffic.store_calls;
  if (node.cut_from_store)
    return;
  node.schedule.RecordSnapshot(now_);
  Post(entry, node.members.ZoneMembers(), nullptr, kBytesOfListRead, now_);
}

void VirtualFleet::Post(int from,
                        const MemberTable::Ranking& to,
                        const std::shared_ptr<const wire::FrameT>& frame,
                        std::size_t bytes,
                        Instant picture_at) {
  Node& sender = *nodes_[from];
  for (const Member* it : to) {
    ++sender.traffic.messages_sent;
    sender.traffic.bytes_sent += bytes;
    messages_.push({now_ + kLatency, next_order_++, from,
                    by_address_.at(it->record.address), frame, bytes,
                    picture_at});
  }
}

void VirtualFleet::Deliver(const Message& message) {
  Node& node = *nodes_[message.to];
  if (!node.running || node.cut_from_entries ||
      nodes_[message.from]->cut_from_entries)
    return;
  if (node.frozen) {
    // It waits at the socket until the process goes on.
    Message later = message;
    later.arrival = now_ + kTick;
    messages_.push(later);
    return;
  }
  node.traffic.bytes_received += message.bytes;
  if (message.frame != nullptr)
    node.gossip.OnMessage(records_[message.from].address, *message.frame, now_);
  else
    node.schedule.RecordSnapshot(message.picture_at);
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

void VirtualFleet::CutFromStore(int entry, bool cut) {
  nodes_[entry]->cut_from_store = cut;
}

void VirtualFleet::CutFromEntries(int entry, bool cut) {
  nodes_[entry]->cut_from_entries = cut;
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

uint32_t VirtualFleet::CallsOfOthers(int entry, int target) const {
  uint32_t calls = 0;
  for (const auto& [zone, loads] : nodes_[entry]->zones) {
    const auto it = loads.find(static_cast<uint32_t>(target + 1));
    calls += it == loads.end() ? 0 : it->second;
  }
  return calls;
}

void VirtualFleet::TellFault(int entry, const std::string& target) {
  wire::TargetFaultT fault;
  fault.target = target;
  nodes_[entry]->faults.insert(target);
  nodes_[entry]->gossip.AnnounceFault(std::move(fault), now_);
}

bool VirtualFleet::KnowsFault(int entry, const std::string& target) const {
  return nodes_[entry]->faults.contains(target);
}

Milliseconds VirtualFleet::PictureAge(int entry) const {
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
