#ifndef MODULES_BBV_ENTRY_CALL_ADMISSION_H_
#define MODULES_BBV_ENTRY_CALL_ADMISSION_H_

#include "bbv_entry/call_context.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_fleet/bbv_fleet.h"

namespace bbv {

// Decides when the caller of a call that was refused may ask again.
//
// Thread safety: none, the loop's thread.
class CallAdmission {
 public:
  // `context` must outlive this.
  explicit CallAdmission(CallContext* context) : context_(context) {}

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
