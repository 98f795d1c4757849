#ifndef MODULES_BBV_ENTRY_CALL_ADMISSION_H_
#define MODULES_BBV_ENTRY_CALL_ADMISSION_H_

#include <cstdint>

#include "bbv_entry/call_context.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_fleet/bbv_fleet.h"

namespace bbv {

// Decides what becomes of a call that finds no capacity: whether it waits at
// this entry, and when its caller may ask again.
//
// Thread safety: none, the loop's thread.
class CallAdmission {
 public:
  // `context` must outlive this.
  explicit CallAdmission(CallContext* context) : context_(context) {}

  // Lets the call of connection `id` wait for capacity until `deadline`.
  // Returns whether there is room to wait.
  bool Wait(const CallRequest& request, uint64_t id, Instant deadline) const;

  // Returns the delay after which the caller of a refused call may ask again,
  // and reserves that time for it. `call` names the same call as `request`.
  Milliseconds RetryAfter(const CallRequest& request,
                          const GuardedCall& call,
                          CallEndReason end,
                          Instant now) const;

 private:
  // Returns the delay before which there is no capacity for sure.
  Milliseconds EarliestRetry(const CallRequest& request,
                             CallEndReason end,
                             Instant now) const;

  CallContext* context_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_ADMISSION_H_
