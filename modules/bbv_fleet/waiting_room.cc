#include "bbv_fleet/waiting_room.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace bbv {
namespace {

// Calls of one service that wait at most.
constexpr std::size_t kMaxWaiting = 48;
constexpr int kLowestPriority = 255;

}  // namespace

bool AdmissionQueue::Add(uint64_t id, const CallParameters& ticket) {
  assert(!calls_.contains(id));
  FairQueue<Call>& queue = queues_[ticket.service];
  if (queue.size() >= kMaxWaiting)
    return false;
  auto call = std::make_unique<Call>();
  call->id = id;
  call->service = ticket.service;
  call->account = ticket.account;
  // The queue takes higher numbers first.
  call->priority = static_cast<uint8_t>(
      kLowestPriority - std::clamp(ticket.priority, 0, kLowestPriority));
  call->cost = static_cast<uint64_t>(std::max(1.0, ticket.cost));
  call->deadline = ticket.deadline;
  queue.Push(call.get());
  calls_.emplace(id, std::move(call));
  return true;
}

void AdmissionQueue::Remove(uint64_t id) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  queues_.at(it->second->service).Remove(it->second.get());
  calls_.erase(it);
}

void AdmissionQueue::OnTick(Instant now,
                            const TrySend& try_send,
                            const GiveUp& give_up) {
  std::vector<uint64_t> overdue;
  for (const auto& [id, call] : calls_) {
    if (now >= call->deadline)
      overdue.push_back(id);
  }
  for (const uint64_t id : overdue) {
    Remove(id);
    give_up(id);
  }
  for (auto& [service, queue] : queues_) {
    while (!queue.empty()) {
      const uint64_t id = queue.Front()->id;
      if (!try_send(id))
        break;
      // Sending may have ended the call and taken it out already.
      if (!queue.empty() && queue.Front()->id == id) {
        queue.Pop();
        calls_.erase(id);
      }
    }
  }
}

}  // namespace bbv
