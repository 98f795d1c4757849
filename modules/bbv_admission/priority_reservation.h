#ifndef MODULES_BBV_ADMISSION_PRIORITY_RESERVATION_H_
#define MODULES_BBV_ADMISSION_PRIORITY_RESERVATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bbv_admission/room_limits.h"
#include "bbv_core/instant.h"

namespace bbv {

// Keeps capacity of one service free for more urgent calls.
//
// Without it, a burst of calls of low priority fills the targets, and urgent
// calls that arrive meanwhile are refused. The demand of each priority is
// measured over some seconds. A call leaves free what the more urgent calls are
// expected to need while its prompt is prefilled. Less is kept as their share
// of the demand falls. A priority whose calls are served much less often than
// the others' counts as the most urgent until it has caught up. With a single
// priority nothing is kept. "Priority" below is the result of PriorityKey().
//
// Deterministic. Not thread-safe; must be used from one thread.
class PriorityReservation {
 public:
  // Calls of one priority that found no capacity under reduced limits.
  struct HeldBack {
    int priority = 0;
    int calls = 0;
    RoomLimits limits;
  };

  // Combines the account's and the route's priority into one number; lower is
  // more urgent. The account's priority decides, or the route's if it has
  // none; the route's decides among equal ones. Priorities outside 0 to 255
  // count as the nearest of these.
  static int PriorityKey(std::optional<int> account, int route);

  // Returns the two priorities of a key as "account.route".
  static std::string PriorityKeyText(int key);

  // Records a call that arrived at `now` with `work` tokens, or 1 for plain
  // services. `objective_ms` is that of its first response, 0 for none.
  void RecordArrival(int priority,
                     double work,
                     int64_t objective_ms,
                     Instant now);

  // Records that a call was sent to a target for the first time.
  void RecordSent(int priority, Instant now);

  // Records the time from sending a call to its first response.
  void RecordResponse(Milliseconds after);

  // Records a call that found no capacity under `limits`.
  void RecordHeldBack(int priority, const RoomLimits& limits);

  // Returns the capacity that a new call with `objective_ms` may use.
  RoomLimits Limits(int priority, int64_t objective_ms) const;

  // Returns the priority with which a call competes: its own, or the highest
  // one if its priority is served too rarely.
  int EffectivePriority(int priority) const;

  // Returns whether calls of several priorities have arrived recently.
  bool HasSeveralPriorities() const { return demands_.size() > 1; }

  // Returns until when a call may wait for capacity and still meet its
  // objective. Precondition: HasSeveralPriorities().
  Instant WaitDeadline(Instant arrived,
                       int64_t objective_ms,
                       Instant deadline) const;

  // Returns how many calls may wait that can each wait for `wait`: as many as
  // are usually sent meanwhile.
  std::size_t MaxWaiting(Milliseconds wait) const;

  // Returns the calls held back since the last report and starts a new one.
  std::vector<HeldBack> TakeReport();

 private:
  struct Demand {
    // Decaying counts.
    double work = 0;
    double calls = 0;
    double sent = 0;
    int64_t objective_ms = 0;
  };

  void Decay(Instant now);
  bool IsBelowFloor(const Demand& demand) const;

  std::map<int, Demand> demands_;
  Instant updated_at_{};
  double response_ms_ = 0;
  std::map<int, HeldBack> held_back_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_PRIORITY_RESERVATION_H_
