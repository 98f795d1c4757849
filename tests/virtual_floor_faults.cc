// What a scenario may do to the virtual floor, and what it may ask.

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "virtual_floor_hosts.h"

namespace bbv {

void VirtualFloor::Kill(const std::string& node) {
  Host* host = Find(node);
  if (!host->alive)
    return;
  host->alive = false;
  ++host->run;
  host->held.clear();
  for (const auto& [name, other] : hosts_)
    CloseConnections(name, node, false);
  for (const auto& [id, entry] : request_entries_) {
    if (entry == node)
      judge_.CallerGone(*ParseRequestId(id));
  }
  for (const auto& [caller, entry] : call_entries_) {
    if (entry == node)
      judge_.CallerOfCallGone(caller);
  }
}

void VirtualFloor::KillTarget(const std::string& node) {
  Kill(node);
  Find(node)->target_alive = false;
}

void VirtualFloor::Restart(const std::string& node) {
  Host* host = Find(node);
  if (host->alive)
    return;
  if (!host->target_alive && host->engine) {
    auto fresh =
        std::make_unique<standins::FakeEngine>(host->engine->options());
    fresh->on_trace = host->engine->on_trace;
    host->engine = std::move(fresh);
  }
  host->target_alive = true;
  StartHost(node);
}

void VirtualFloor::Freeze(const std::string& node) {
  Find(node)->frozen = true;
}

void VirtualFloor::Thaw(const std::string& node) {
  Host* host = Find(node);
  host->frozen = false;
  const auto held = std::exchange(host->held, {});
  for (const auto& event : held)
    Post(host, Microseconds(0), event);
}

void VirtualFloor::Cut(const std::string& left, const std::string& right) {
  cuts_.insert(std::minmax(left, right));
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->silent = true;
  }
}

void VirtualFloor::Heal(const std::string& left, const std::string& right) {
  cuts_.erase(std::minmax(left, right));
}

void VirtualFloor::Silence(const std::string& left, const std::string& right) {
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->silent = true;
  }
}

void VirtualFloor::Repeat(const std::string& left, const std::string& right) {
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->repeating = true;
  }
}

void VirtualFloor::LoseTargetAnswers(const std::string& node, int count) {
  Find(node)->lost_answers += count;
}

void VirtualFloor::RefuseTargetCall(const std::string& node) {
  ++Find(node)->refused_calls;
}

void VirtualFloor::StopNode(const std::string& node) {
  Host* host = Find(node);
  host->stopping = true;
  Post(host, Microseconds(0), [host] {
    if (host->side)
      host->side->logic.SetStopping(true);
  });
  judge_.ForbidNewWork(node, now_ + Milliseconds(3000));
}

void VirtualFloor::ListLeaving(const std::string& node, Milliseconds lag) {
  // The instance itself knows first; entries learn it with the list's lag.
  Host* leaving = Find(node);
  Post(leaving, Latency(1000, 900'000), [leaving] {
    if (leaving->side)
      leaving->side->logic.SetStopping(true);
  });
  for (const auto& [name, owned] : hosts_) {
    Host* host = owned.get();
    Post(host, lag, [host, node] {
      host->listed_leaving.insert(node);
      if (host->entry)
        host->entry->logic.ApplyInstanceList(
            {host->listed_leaving.begin(), host->listed_leaving.end()});
    });
  }
  judge_.ForbidNewWork(node, now_ + Milliseconds(3000));
}

void VirtualFloor::PlanIntent(const std::string& name,
                              const std::string& entry,
                              const std::vector<std::string>& words) {
  Host* host = Find(entry);
  if (!host->alive)
    return;
  const Intent intent{words[0], {words.begin() + 1, words.end()}};
  const auto plan = MakePlan(host->entry->logic.sharing().fold(), intent, name);
  if (plan)
    AppendToLog(kConfigurationStream, MakePlanRecord(*plan),
                [](const Result<void>&) {});
}

void VirtualFloor::ConfirmPlan(const std::string& name,
                               const std::string& entry) {
  if (Find(entry)->alive)
    AppendToLog(kConfigurationStream, MakeConfirmRecord(name),
                [](const Result<void>&) {});
}

std::string VirtualFloor::PlanStateOn(const std::string& name,
                                      const std::string& node) {
  const Host* host = Find(node);
  const ConfigurationFold& fold = host->entry
                                      ? host->entry->logic.sharing().fold()
                                      : host->side->logic.sharing().fold();
  const PlanOutcome* outcome = fold.FindOutcome(name);
  return outcome == nullptr ? "none"
                            : std::string(kPlanStateNames.Name(outcome->state));
}

bool VirtualFloor::ConfigurationsAgree() const {
  std::set<uint64_t> digests;
  for (const auto& [name, host] : hosts_) {
    if (!host->alive || host->frozen)
      continue;
    digests.insert(host->entry ? host->entry->logic.sharing().fold().digest()
                               : host->side->logic.sharing().fold().digest());
  }
  return digests.size() <= 1;
}

std::vector<std::string> VirtualFloor::NodeNames() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_)
    names.push_back(name);
  return names;
}

}  // namespace bbv
