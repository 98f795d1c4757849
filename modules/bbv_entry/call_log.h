#ifndef MODULES_BBV_ENTRY_CALL_LOG_H_
#define MODULES_BBV_ENTRY_CALL_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "bbv_entry/call_context.h"
#include "bbv_entry/event_relay.h"
#include "bbv_entry/target_requests.h"
#include "bbv_entry/target_send.h"
#include "bbv_fleet/bbv_fleet.h"

namespace bbv {

// Writes the log lines of one call and of its sends.
//
// Thread safety: none, the loop's thread.
class CallLog {
 public:
  // All must outlive this.
  CallLog(const CallContext* context,
          const FleetCall* call,
          const EventRelay* relay)
      : context_(context), call_(call), relay_(relay) {}

  // `path` is that of the last active send; empty before the first one.
  void WriteCallerLeft(const CallDispatch& path, Instant now) const;
  // The path has lost `hop_id`; the call had `sends_before` sends until then.
  void WritePathLost(const std::string& hop_id,
                     int sends_before,
                     const CallDispatch& path,
                     Instant now) const;
  // `target_id` has answered the order to change the path.
  void WritePathChanged(const std::string& target_id,
                        const OrderAnswer& answer,
                        Instant now) const;
  // `beside` is the target of the active send that goes on; may be empty.
  void WriteSent(const TargetSend& send,
                 const std::string& beside,
                 Instant now) const;
  void WriteSendCancelled(const TargetSend& send,
                          SendCancelReason reason,
                          Instant now) const;
  void WriteSendFailed(const TargetSend& send,
                       const SendFailure& failure,
                       std::string_view evidence,
                       Instant now) const;
  // The call has failed before anything was relayed. `short_of` says why the
  // last path selection failed; `quarantine` may be null.
  void WriteFailed(const CallFailure& failure,
                   PathFailure short_of,
                   const QuarantineRow* quarantine,
                   const CallDispatch& path,
                   Instant now) const;
  // The call has failed while its answer was relayed.
  void WriteAborted(CallEndReason end,
                    PathFailure short_of,
                    const CallDispatch& path,
                    Instant now) const;
  // Logs a successful call if it was late or was sent more than once.
  void WriteFinished(const CallDispatch& path, Instant now) const;

 private:
  const std::string& id() const { return call_->request().attempt_id; }
  // Milliseconds since anything was received from the first target of `path`;
  // -1 if nothing was.
  int64_t HeardMillisecondsAgo(const CallDispatch& path, Instant now) const;

  const CallContext* context_;
  const FleetCall* call_;
  const EventRelay* relay_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_LOG_H_
