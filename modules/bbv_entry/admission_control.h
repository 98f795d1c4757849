#ifndef MODULES_BBV_ENTRY_ADMISSION_CONTROL_H_
#define MODULES_BBV_ENTRY_ADMISSION_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "bbv_admission/bbv_admission.h"
#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"

namespace bbv {

// Returns the key by which the calls of a service are ordered, see
// PriorityReservation::PriorityKey(). Precondition: request.route is not null.
int PriorityKeyOf(const CallRequest& request);

// Applies the decisions of bbv_admission to the calls of an entry, and logs and
// counts them.
//
// Waiting calls are named by the connection ids of their callers. Thread
// safety: none, the loop's thread.
class AdmissionControl {
 public:
  // `log` and `metrics` must outlive it.
  AdmissionControl(DecisionLog* log, FleetMetrics* metrics);

  // Records a call that arrived.
  void OnArrival(const CallRequest& request, Instant now);
  // Records that the call was sent for the first time.
  void OnSent(const CallRequest& request, Instant now);
  // Records the time from its first send to its first event, or to its whole
  // answer if that is no stream.
  void OnResponse(const CallRequest& request, Milliseconds after);

  // Returns how much capacity a call may use that was not sent yet.
  RoomLimits Limits(const CallRequest& request);

  // Records that the call found no capacity within `limits`.
  void OnNoRoom(const CallRequest& request, const RoomLimits& limits);

  // Queues call `id` until `deadline`. If calls of several priorities have
  // arrived lately, it waits until PriorityReservation::WaitDeadline() instead.
  // Returns false if the queue is full.
  bool Wait(uint64_t id, const CallRequest& request, Instant deadline);

  // Removes call `id` if it waits.
  void Remove(uint64_t id) { queue_.Remove(id); }

  // Returns when the refused caller should return, within the bounds, and
  // counts the refusal.
  // Precondition: min_delay <= max_delay.
  Milliseconds ReserveRetry(const CallRequest& request,
                            Milliseconds min_delay,
                            Milliseconds max_delay,
                            Instant now);

  // Sends waiting calls. `on_refused` is called for calls that are no longer
  // queued: displaced or overdue ones.
  void OnTick(Instant now,
              const AdmissionQueue::TrySend& try_send,
              const AdmissionQueue::OnExpired& on_refused);

  std::size_t waiting() const { return queue_.size(); }

 private:
  void RefuseDisplaced(Instant now,
                       const AdmissionQueue::OnExpired& on_refused);
  void LogKeptRoom(Instant now);

  DecisionLog* log_;
  FleetMetrics* metrics_;
  AdmissionQueue queue_;
  // By service.
  std::map<std::string, PriorityReservation> reservations_;
  std::map<std::string, RetryAfterScheduler> retry_schedulers_;
  Instant next_report_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_ADMISSION_CONTROL_H_
