#ifndef MODULES_BBV_ENTRY_RELAYED_CALL_H_
#define MODULES_BBV_ENTRY_RELAYED_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/call_admission.h"
#include "bbv_entry/call_context.h"
#include "bbv_entry/call_log.h"
#include "bbv_entry/call_sends.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/event_relay.h"
#include "bbv_entry/path_change.h"
#include "bbv_entry/target_requests.h"
#include "bbv_entry/target_send.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/http_client.h"
#include "platform/call_codec.h"

namespace bbv {

// Relays one call: carries out the decisions of FleetCall on the caller's
// connection and the HTTP exchanges with targets.
//
// Thread safety: none, the loop's thread.
class RelayedCall final : public FleetCallDelegate, public TargetSendOwner {
 public:
  // `index` is the configuration that applies to the call until it ends. `body`
  // is not null.
  RelayedCall(CallContext* context,
              std::shared_ptr<FleetIndex> index,
              CallerConnection* caller,
              CallRequest request,
              HttpHead head,
              std::shared_ptr<const std::string> body);
  ~RelayedCall() override;

  void Start(Instant now);
  void OnCallerGone(Instant now);
  void OnTick(Instant now);
  // Handles a fault of `target_id`: reroutes the call if its path uses it.
  void OnPathFault(const std::string& target_id, Instant now);

  // Handles hops that give up the layers that the call uses there.
  void OnLayersReleased(Instant now) { call_.OnLayersReleased(now); }

  // Ends the call if it is quarantined and has no output.
  void CheckQuarantine(Instant now);

  // Ends the call because this process is about to exit.
  void OnForcedStop(Instant now) { call_.OnForcedStop(now); }

  // Sends a call that waits for capacity; returns false if there still is none.
  bool TrySendWaiting(Instant now) { return call_.TrySendWaiting(now); }
  void OnCapacityWaitTimeout(Instant now) { call_.OnCapacityWaitTimeout(now); }

  bool done() const { return call_.done(); }
  // Whether reading of the answer is paused because the caller reads too
  // slowly.
  bool is_paused() const { return relay_.is_paused(); }
  const FleetCall& call() const { return call_; }
  // The call as a stream that has lost a hop.
  LostStream lost_stream() const {
    return TargetSelector::MakeLostStream(*index_, call_.request(),
                                          call_.progress());
  }

  // FleetCallDelegate:
  std::optional<CallDispatch> Choose(const CallRequest& request,
                                     const std::vector<std::string>& excluded,
                                     Instant now,
                                     CallEndReason* end) override;
  RerouteChoice ChooseReroute(const CallRequest& request,
                              const CallDispatch& current,
                              const StreamProgress& progress,
                              const std::vector<std::string>& excluded,
                              Instant now) override;
  void ChangePath(const CallDispatch& path, Instant now) override;
  void Send(const CallDispatch& dispatch, Instant now) override;
  void CancelSend(SendCancelReason reason, Instant now) override;
  void CancelReplacement(int send,
                         SendCancelReason reason,
                         Instant now) override;
  void PromoteReplacement(int send) override;
  bool TakeRetry(Instant now) override;
  void Fail(const CallFailure& failure) override;
  void RelayBufferedResponse() override;
  void AbortResponse(CallEndReason end) override;
  bool WaitForCapacity(const CallRequest& request, Instant deadline) override;
  Milliseconds RetryAfter(const CallRequest& request,
                          CallEndReason end) override;

  // TargetSendOwner:
  void OnResponseHead(TargetSend* send, HttpHead head) override;
  void OnResponseBody(TargetSend* send, std::string_view data) override;
  void OnResponseEnd(TargetSend* send) override;
  void OnExchangeFailed(TargetSend* send,
                        ExchangeFailure failure,
                        MessageFault fault) override;

 private:
  GuardedCall Guarded() const {
    return {call_.request().service, call_.request().attempt_id, traits_};
  }
  void OnPathChangeAnswer(const OrderAnswer& answer, const CallDispatch& path);
  void RelayEvents(TargetSend* send, std::string_view data);
  // Output of `send` is about to be relayed: a replacement takes over.
  void AcceptOutput(TargetSend* send, Instant now);
  // Fails a send because its answer violates the protocol.
  void FailBadAnswer(TargetSend* send, std::string_view evidence);
  // Fails a send because its answer does not seem to end; its target gets no
  // calls for a while.
  void FailEndlessAnswer(TargetSend* send, std::string_view evidence);
  // Fails a send if its answer, which is not a stream, cannot be relayed;
  // returns whether that is so.
  bool FailUnusableAnswer(TargetSend* send);
  void FinishStream(TargetSend* send, Instant now);
  // Records how long `send` took to bring its first event, or its whole answer.
  void RecordResponseTime(const TargetSend& send, Instant now);
  void FailSend(TargetSend* send,
                const SendFailure& failure,
                std::string_view evidence);
  // Reports the target that a refusal names as its cause, if it names one.
  void ReportRefusalCause(const std::string& address);
  void FinishSend(TargetSend* send, bool failed, Instant now);
  // Closes the connection of `send` if it is in flight.
  void CloseSend(TargetSend* send);
  // Records the length of a stream that ended complete.
  void RecordResponseLength();
  bool IsGoodStreamHead(const TargetSend& send) const;
  // Whether the stream of `send` may end as complete. A stream that is resumed
  // but brings no event may as well have failed.
  bool has_output(const TargetSend& send) const {
    return call_.relaying() && !send.awaits_first_event();
  }

  CallContext* context_;
  std::shared_ptr<FleetIndex> index_;
  // Null after the caller was answered or has disconnected.
  CallerConnection* caller_;
  HttpHead head_;
  // Shared with the exchange that sends it, and kept for a repetition.
  std::shared_ptr<const std::string> body_;
  CallTraits traits_;
  FleetCall call_;
  EventRelay relay_;
  CallLog log_;
  CallAdmission admission_;
  PathChange path_change_;
  // Bytes of a stream that its caller has not taken yet.
  MemoryLedger::Hold queued_hold_;

  // Why the last path selection failed.
  PathFailure path_failure_ = PathFailure::kNone;
  CallSends sends_;
  // Lets callbacks of orders detect that the call was destroyed.
  std::shared_ptr<RelayedCall*> self_ = std::make_shared<RelayedCall*>(this);
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RELAYED_CALL_H_
