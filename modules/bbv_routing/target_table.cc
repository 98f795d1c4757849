#include "bbv_routing/target_table.h"

#include <algorithm>
#include <utility>

namespace bbv {
namespace {

constexpr uint32_t kFaultsBeforeEjection = 2;
constexpr Milliseconds kFirstEjection{500};
constexpr uint32_t kMaxEjectionDoublings = 5;
// How long a target receives a reduced share of work after its ejection.
constexpr Milliseconds kSlowStartWindow{2000};
// A side may queue 1/kQueueDivisor of its limit in addition to the limit.
constexpr uint32_t kQueueDivisor = 8;

}  // namespace

void TargetTable::Rebuild(const Configuration& configuration) {
  std::map<std::string, TargetEntry> rebuilt;
  for (const auto& [name, target] : configuration.targets) {
    TargetEntry& entry = rebuilt[name];
    if (const auto old = entries_.find(name); old != entries_.end())
      entry = std::move(old->second);
    entry.target = target;
  }
  entries_ = std::move(rebuilt);
}

void TargetTable::SetConnected(const std::string& target, bool connected) {
  TargetEntry* entry = FindMutable(target);
  if (entry == nullptr)
    return;
  entry->connected = connected;
  // The new connection may be to a new process, so discard what the previous
  // process reported.
  entry->ready = false;
  entry->leaving = false;
  entry->loaded_versions.clear();
  if (!connected)
    entry->outstanding = 0;
}

void TargetTable::ApplyHeartbeat(const std::string& target,
                                 const wire::HeartbeatT& heartbeat) {
  TargetEntry* entry = FindMutable(target);
  if (entry == nullptr)
    return;
  entry->ready = heartbeat.ready;
  entry->leaving = heartbeat.leaving;
  entry->loaded_versions = heartbeat.loaded_versions;
  entry->queued = heartbeat.queued;
  entry->running = heartbeat.running;
  entry->step_microseconds = heartbeat.step_microseconds;
  entry->limit = heartbeat.limit;
  entry->load_delta = 0;
}

void TargetTable::ApplyInstanceList(const std::vector<std::string>& leaving) {
  for (auto& [name, entry] : entries_) {
    entry.listed_leaving =
        std::find(leaving.begin(), leaving.end(), name) != leaving.end();
  }
}

void TargetTable::RecordFault(const std::string& target, Instant now) {
  TargetEntry* entry = FindMutable(target);
  if (entry == nullptr)
    return;
  ++entry->failures;
  if (entry->failures < kFaultsBeforeEjection)
    return;
  const uint32_t doublings =
      std::min(entry->failures - kFaultsBeforeEjection, kMaxEjectionDoublings);
  entry->ejected_until = now + kFirstEjection * (1 << doublings);
  entry->slow_start_until = entry->ejected_until + kSlowStartWindow;
}

void TargetTable::RecordSuccess(const std::string& target) {
  TargetEntry* entry = FindMutable(target);
  if (entry != nullptr)
    entry->failures = 0;
}

void TargetTable::AddOutstanding(const std::string& target) {
  TargetEntry* entry = FindMutable(target);
  if (entry == nullptr)
    return;
  ++entry->outstanding;
  ++entry->load_delta;
}

void TargetTable::RemoveOutstanding(const std::string& target) {
  TargetEntry* entry = FindMutable(target);
  if (entry == nullptr || entry->outstanding == 0)
    return;
  --entry->outstanding;
  --entry->load_delta;
}

const TargetEntry* TargetTable::Find(const std::string& target) const {
  const auto it = entries_.find(target);
  return it == entries_.end() ? nullptr : &it->second;
}

bool TargetTable::IsUsable(const TargetEntry& entry, Instant now) {
  return entry.target.state == TargetState::kActive && entry.connected &&
         entry.ready && !entry.leaving && !entry.listed_leaving &&
         entry.ejected_until <= now;
}

int64_t TargetTable::Load(const TargetEntry& entry) {
  return std::max<int64_t>(
      0, static_cast<int64_t>(entry.queued) + entry.running + entry.load_delta);
}

bool TargetTable::HasCapacity(const TargetEntry& entry) {
  return Load(entry) < entry.limit + entry.limit / kQueueDivisor;
}

std::vector<const TargetEntry*> TargetTable::UsableForModel(
    const std::string& model,
    Instant now) const {
  std::vector<const TargetEntry*> usable;
  for (const auto& [name, entry] : entries_) {
    if (entry.target.model == model && IsUsable(entry, now))
      usable.push_back(&entry);
  }
  return usable;
}

std::vector<const TargetEntry*> TargetTable::UsableForService(
    const std::string& service,
    Instant now) const {
  std::vector<const TargetEntry*> usable;
  for (const auto& [name, entry] : entries_) {
    if (!entry.target.is_engine() && entry.target.service == service &&
        IsUsable(entry, now))
      usable.push_back(&entry);
  }
  return usable;
}

TargetEntry* TargetTable::FindMutable(const std::string& target) {
  const auto it = entries_.find(target);
  return it == entries_.end() ? nullptr : &it->second;
}

}  // namespace bbv
