#ifndef MODULES_BBV_ENTRY_OPEN_CALLS_H_
#define MODULES_BBV_ENTRY_OPEN_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_entry/relayed_call.h"
#include "bbv_fleet/bbv_fleet.h"

namespace bbv {

// The calls of an entry's callers, and how long calls take.
//
// Thread safety: none, the loop's thread.
class OpenCalls {
 public:
  // Adds the call of connection `id`; an earlier call of it is retired. `call`
  // is not null.
  void Add(uint64_t id, std::unique_ptr<RelayedCall> call, Instant now);

  // Returns null if connection `id` has no call.
  RelayedCall* Find(uint64_t id) const;

  // Retires the call of connection `id`: records the duration of a call that
  // has ended or will be answered no more, and keeps it until DestroyEnded().
  // Does nothing if there is none.
  void Retire(uint64_t id, Instant now);
  // Retires the calls that are done.
  void RetireDone(Instant now);
  // Destroys the retired calls. Precondition: none of them is on the stack.
  void DestroyEnded() { ended_.clear(); }

  // Returns the open calls. The pointers stay valid until DestroyEnded(), even
  // if a call ends before that.
  std::vector<RelayedCall*> List() const;

  // Returns the open calls in the order of RecoverySchedule::IsMoreUrgent().
  // Calls of routes without an objective for the time between events come last,
  // in no particular order.
  std::vector<RelayedCall*> ListByUrgency(Instant now) const;

  // Returns whether any call has lost a hop that is not replaced yet.
  bool HasBrokenPath() const;

  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  // Number of calls that are retired and not destroyed yet.
  std::size_t ended() const { return ended_.size(); }
  const CallDurations& durations() const { return durations_; }

 private:
  void Keep(std::unique_ptr<RelayedCall> call, Instant now);

  // By connection id of their caller.
  std::unordered_map<uint64_t, std::unique_ptr<RelayedCall>> calls_;
  std::vector<std::unique_ptr<RelayedCall>> ended_;
  CallDurations durations_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_OPEN_CALLS_H_
