#include "bbv_admission/priority_reservation.h"

#include <algorithm>
#include <cassert>
#include <chrono>

#include "bbv_admission/decay.h"

namespace bbv {
namespace {

constexpr int kMaxPriority = 255;
constexpr int kPriorities = kMaxPriority + 1;
// Time constant of the decay: after it a count has fallen to 1 / e.
constexpr std::chrono::duration<double> kDecayTime{4};
// A priority with fewer recent calls than this is forgotten.
constexpr double kMinRecentCalls = 0.05;
// Calls hold slots and memory for about this multiple of their objective.
constexpr double kHoldingObjectives = 10;
// Lower bound of a priority's served share, as a fraction of that of all calls.
constexpr double kServedFloor = 0.25;
// Share of the objective left for the response while none was measured.
constexpr double kUnknownResponseShare = 0.4;
// Calls that may always wait: with few sends their rate says little.
constexpr std::size_t kMinWaiting = 4;
// Weight of the latest response time in its moving average.
constexpr double kResponseWeight = 0.05;

}  // namespace

int PriorityReservation::PriorityKey(std::optional<int> account, int route) {
  const int own = std::clamp(route, 0, kMaxPriority);
  return std::clamp(account.value_or(own), 0, kMaxPriority) * kPriorities + own;
}

std::string PriorityReservation::PriorityKeyText(int key) {
  return std::to_string(key / kPriorities) + '.' +
         std::to_string(key % kPriorities);
}

void PriorityReservation::Decay(Instant now) {
  if (now <= updated_at_)
    return;
  const double factor = DecayFactor(updated_at_, now, kDecayTime);
  updated_at_ = now;
  for (auto& [priority, it] : demands_) {
    it.work *= factor;
    it.calls *= factor;
    it.sent *= factor;
  }
  std::erase_if(demands_, [](const auto& it) {
    return it.second.calls < kMinRecentCalls;
  });
}

void PriorityReservation::RecordArrival(int priority,
                                        double work,
                                        int64_t objective_ms,
                                        Instant now) {
  Decay(now);
  Demand& demand = demands_[priority];
  demand.work += std::max(1.0, work);
  demand.calls += 1;
  if (objective_ms <= 0)
    return;
  const bool is_first = demand.objective_ms == 0;
  demand.objective_ms =
      is_first ? objective_ms : std::min(demand.objective_ms, objective_ms);
}

void PriorityReservation::RecordSent(int priority, Instant now) {
  Decay(now);
  if (const auto it = demands_.find(priority); it != demands_.end())
    it->second.sent += 1;
}

void PriorityReservation::RecordResponse(Milliseconds after) {
  const auto ms = static_cast<double>(after.count());
  response_ms_ = response_ms_ == 0
                     ? ms
                     : response_ms_ + kResponseWeight * (ms - response_ms_);
}

void PriorityReservation::RecordHeldBack(int priority,
                                         const RoomLimits& limits) {
  HeldBack& row = held_back_[priority];
  row.priority = priority;
  ++row.calls;
  row.limits = limits;
}

RoomLimits PriorityReservation::Limits(int priority,
                                       int64_t objective_ms) const {
  const int own = EffectivePriority(priority);
  double all = 0;
  double urgent = 0;
  int64_t shortest_ms = objective_ms;
  for (const auto& [other, demand] : demands_) {
    all += demand.work;
    if (other >= own)
      continue;
    urgent += demand.work;
    if (demand.objective_ms > 0 && demand.calls >= 1)
      shortest_ms = std::min(shortest_ms, demand.objective_ms);
  }
  RoomLimits limits;
  if (urgent <= 0)
    return limits;
  const double share = urgent / all;
  limits.max_backlog_ms = static_cast<double>(shortest_ms) / (1 + share);
  limits.kept_share = share / kHoldingObjectives;
  limits.kept_link_share = share / (1 + share);
  return limits;
}

int PriorityReservation::EffectivePriority(int priority) const {
  const auto it = demands_.find(priority);
  const bool is_below = it != demands_.end() && IsBelowFloor(it->second);
  return is_below ? demands_.begin()->first : priority;
}

bool PriorityReservation::IsBelowFloor(const Demand& demand) const {
  double calls = 0;
  double sent = 0;
  for (const auto& [priority, it] : demands_) {
    calls += it.calls;
    sent += it.sent;
  }
  // The call that is being decided counts as arrived already.
  return demand.sent * calls < kServedFloor * sent * (demand.calls - 1);
}

Instant PriorityReservation::WaitDeadline(Instant arrived,
                                          int64_t objective_ms,
                                          Instant deadline) const {
  assert(HasSeveralPriorities());
  const auto objective = static_cast<double>(objective_ms);
  const double response_ms =
      response_ms_ > 0 ? response_ms_ : kUnknownResponseShare * objective;
  const Milliseconds wait(
      static_cast<int64_t>(std::max(0.0, objective - response_ms)));
  return std::min(arrived + wait, deadline);
}

std::size_t PriorityReservation::MaxWaiting(Milliseconds wait) const {
  double sent = 0;
  for (const auto& [priority, it] : demands_)
    sent += it.sent;
  const double sends =
      sent / kDecayTime.count() * std::chrono::duration<double>(wait).count();
  return std::max(kMinWaiting, static_cast<std::size_t>(std::max(0.0, sends)));
}

std::vector<PriorityReservation::HeldBack> PriorityReservation::TakeReport() {
  std::vector<HeldBack> report;
  for (const auto& [priority, row] : held_back_)
    report.push_back(row);
  held_back_.clear();
  return report;
}

}  // namespace bbv
