#include "bbv_entry/open_calls.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {

void OpenCalls::Add(uint64_t id,
                    std::unique_ptr<RelayedCall> call,
                    Instant now) {
  assert(call != nullptr);
  std::unique_ptr<RelayedCall>& slot = calls_[id];
  if (slot != nullptr)
    Keep(std::move(slot), now);
  slot = std::move(call);
}

RelayedCall* OpenCalls::Find(uint64_t id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

void OpenCalls::Retire(uint64_t id, Instant now) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  Keep(std::move(it->second), now);
  calls_.erase(it);
}

void OpenCalls::RetireDone(Instant now) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second->done()) {
      Keep(std::move(it->second), now);
      it = calls_.erase(it);
      continue;
    }
    ++it;
  }
}

std::vector<RelayedCall*> OpenCalls::List() const {
  std::vector<RelayedCall*> open;
  open.reserve(calls_.size());
  for (const auto& [id, call] : calls_)
    open.push_back(call.get());
  return open;
}

std::vector<RelayedCall*> OpenCalls::ListByUrgency(Instant now) const {
  std::vector<RelayedCall*> others;
  std::vector<std::pair<LostStream, RelayedCall*>> streams;
  for (const auto& [id, call] : calls_) {
    if (call->call().request().route->event_gap_objective_ms > 0)
      streams.emplace_back(call->lost_stream(), call.get());
    else
      others.push_back(call.get());
  }
  std::sort(streams.begin(), streams.end(),
            [now](const auto& left, const auto& right) {
              return RecoverySchedule::IsMoreUrgent(left.first, right.first,
                                                    now);
            });
  std::vector<RelayedCall*> open;
  open.reserve(calls_.size());
  for (const auto& [stream, call] : streams)
    open.push_back(call);
  open.insert(open.end(), others.begin(), others.end());
  return open;
}

bool OpenCalls::HasBrokenPath() const {
  return std::any_of(calls_.begin(), calls_.end(), [](const auto& it) {
    return it.second->call().is_path_broken();
  });
}

void OpenCalls::Keep(std::unique_ptr<RelayedCall> call, Instant now) {
  const CallRequest& request = call->call().request();
  // A call that reached no target does not show how long calls take.
  if (call->call().sends() > 0) {
    durations_.Record(
        request.route->name,
        std::chrono::duration_cast<Milliseconds>(now - request.arrived), now);
  }
  ended_.push_back(std::move(call));
}

}  // namespace bbv
