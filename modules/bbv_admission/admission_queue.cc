#include "bbv_admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <string_view>
#include <utility>
#include <vector>

namespace bbv {
bool AdmissionQueue::Add(uint64_t id, const CallParameters& parameters) {
  assert(!calls_.contains(id));
  FairQueue<Call>& queue = queues_[parameters.service];
  if (queue.size() >= std::min(parameters.max_waiting, kMaxWaitingCalls) &&
      !Displace(parameters.service, parameters.priority))
    return false;
  auto call = std::make_unique<Call>();
  call->id = id;
  call->number = next_number_++;
  call->service = parameters.service;
  call->account = parameters.account;
  call->priority = -parameters.priority;
  call->cost = static_cast<uint64_t>(std::max(1.0, parameters.cost));
  call->deadline = parameters.deadline;
  queue.Push(call.get());
  calls_.emplace(id, std::move(call));
  return true;
}

void AdmissionQueue::Remove(uint64_t id) {
  std::erase_if(displaced_, [id](const auto& it) { return it.id == id; });
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  queues_.at(it->second->service).Remove(it->second.get());
  calls_.erase(it);
}

const AdmissionQueue::Call* AdmissionQueue::FindLeastUrgent(
    const std::string& service) const {
  std::map<std::pair<int, std::string_view>, int> waiting;
  for (const auto& [id, it] : calls_) {
    if (it->service == service)
      ++waiting[{it->priority, it->account}];
  }
  const auto is_displaced_before = [&](const Call& call, const Call& other) {
    if (call.priority != other.priority)
      return call.priority < other.priority;
    const int count = waiting[{call.priority, call.account}];
    const int other_count = waiting[{other.priority, other.account}];
    return count != other_count ? count > other_count
                                : call.number > other.number;
  };
  const Call* least = nullptr;
  for (const auto& [id, it] : calls_) {
    if (it->service == service &&
        (least == nullptr || is_displaced_before(*it, *least)))
      least = it.get();
  }
  return least;
}

bool AdmissionQueue::Displace(const std::string& service, int priority) {
  const Call* least = FindLeastUrgent(service);
  if (least == nullptr || least->priority >= -priority)
    return false;
  const Displacement displacement{least->id, service, -least->priority,
                                  priority};
  Remove(least->id);
  displaced_.push_back(displacement);
  return true;
}

std::vector<AdmissionQueue::Displacement> AdmissionQueue::TakeDisplaced() {
  return std::exchange(displaced_, {});
}

void AdmissionQueue::OnTick(Instant now,
                            const TrySend& try_send,
                            const OnExpired& on_expired) {
  std::vector<uint64_t> expired;
  for (const auto& [id, call] : calls_) {
    if (now >= call->deadline)
      expired.push_back(id);
  }
  for (const uint64_t id : expired) {
    Remove(id);
    on_expired(id);
  }
  for (auto& [service, queue] : queues_) {
    while (!queue.empty()) {
      const uint64_t id = queue.Front()->id;
      const uint64_t number = queue.Front()->number;
      if (!try_send(id))
        break;
      // `try_send` may already have removed the call and added another one.
      if (!queue.empty() && queue.Front()->number == number) {
        queue.Pop();
        calls_.erase(id);
      }
    }
  }
}

}  // namespace bbv
