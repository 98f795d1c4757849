#include "bbv_admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace bbv {
namespace {

// Maximum number of waiting calls per service.
constexpr std::size_t kMaxWaitingCalls = 48;
constexpr int kMaxPriorityValue = 255;

}  // namespace

bool AdmissionQueue::Add(uint64_t id, const CallParameters& parameters) {
  assert(!calls_.contains(id));
  FairQueue<Call>& queue = queues_[parameters.service];
  if (queue.size() >= kMaxWaitingCalls)
    return false;
  auto call = std::make_unique<Call>();
  call->id = id;
  call->number = next_number_++;
  call->service = parameters.service;
  call->account = parameters.account;
  // FairQueue serves higher numbers first.
  call->priority = static_cast<uint8_t>(
      kMaxPriorityValue -
      std::clamp(parameters.priority, 0, kMaxPriorityValue));
  call->cost = static_cast<uint64_t>(std::max(1.0, parameters.cost));
  call->deadline = parameters.deadline;
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
