#ifndef MODULES_BBV_ENTRY_RELAYED_CALL_H_
#define MODULES_BBV_ENTRY_RELAYED_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_entry/admission_control.h"
#include "bbv_entry/crash_guard.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_entry/target_requests.h"
#include "bbv_entry/target_send.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"
#include "platform/call_codec.h"

namespace bbv {

// State shared by all calls of an entry.
struct CallContext {
  HttpClient* client = nullptr;
  TargetRegistry* registry = nullptr;
  TargetSelector* selector = nullptr;
  DecisionLog* log = nullptr;
  FleetMetrics* metrics = nullptr;
  std::mt19937_64* random = nullptr;
  // Returns the retry budget of a service.
  std::function<SharedRetryBudget*(const std::string&)> retry_budget;
  // Called for a target fault that affects all calls on the target.
  std::function<void(const TargetFault& fault)> on_target_fault;
  // Called for a target that was named as the cause of a refused call.
  std::function<void(const std::string& target_id)> on_refusal_cause;
  // Returns whether the entry was told to stop.
  std::function<bool()> is_stopping;
  AdmissionControl* admission = nullptr;
  ResponseLengthEstimator* response_length_estimator = nullptr;
  CrashGuard* crash_guard = nullptr;
  RateLimitExchange* rate_limits = nullptr;
  MemoryLedger* memory_ledger = nullptr;
};

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
  bool is_paused() const { return paused_; }
  const FleetCall& call() const { return call_; }

  // FleetCallDelegate:
  std::optional<CallDispatch> Choose(const CallRequest& request,
                                     const std::vector<std::string>& excluded,
                                     Instant now,
                                     CallEndReason* end) override;
  std::optional<CallDispatch> ChooseReroute(
      const CallRequest& request,
      const CallDispatch& current,
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
  void OnExchangeFailed(TargetSend* send, ExchangeFailure failure) override;

 private:
  GuardedCall Guarded() const {
    return {call_.request().service, call_.request().attempt_id, traits_};
  }
  // Path of the last active send; empty before the first one.
  const CallDispatch& path() const;
  bool is_sending() const { return active_ != nullptr && active_->in_flight; }
  void OnPathChangeAnswer(const OrderAnswer& answer, const CallDispatch& path);
  // Serialized request of `send` and its deadlines.
  ExchangeRequest MakeExchange(const TargetSend& send, Instant now) const;
  void RelayEvents(TargetSend* send, std::string_view data);
  // Writes the events of `chunk_` to the caller.
  void WriteEvents(const TargetSend& send, Instant now);
  // Replaces `chunk_` by the events that `data` completes and advances `last`,
  // the id of the last event. Returns why the target's output is faulty; empty
  // if it is not.
  std::string_view CollectEvents(TargetSend* send,
                                 std::string_view data,
                                 int64_t* last);
  static std::string_view FindEventFault(const TargetSend& send,
                                         const StreamEvent& event,
                                         int64_t last);
  bool IsReplacement(const TargetSend* send) const;
  // Removes replacement `number` from `replacements_` and returns it.
  TargetSend* TakeReplacement(int number);
  // Output of `send` is about to be relayed: a replacement takes over.
  void AcceptOutput(TargetSend* send, Instant now);
  // Fails a send because its answer violates the protocol.
  void FailBadAnswer(TargetSend* send, std::string_view evidence);
  // Fails a send if its answer, which is not a stream, cannot be relayed;
  // returns whether that is so.
  bool FailUnusableAnswer(TargetSend* send);
  void FinishStream(TargetSend* send, Instant now);
  // Returns what was received of an answer that is not a stream.
  static std::shared_ptr<const std::string> TakeBufferedAnswer(
      TargetSend* send);
  static void DropBufferedAnswer(TargetSend* send) { TakeBufferedAnswer(send); }
  void FailSend(TargetSend* send,
                const SendFailure& failure,
                std::string_view evidence);
  void FinishSend(TargetSend* send, bool failed, Instant now);
  // Closes the connection of `send` if it is in flight.
  void CloseSend(TargetSend* send);
  void LogCancelled(const TargetSend& send,
                    SendCancelReason reason,
                    Instant now);
  // Milliseconds since anything was received from the first target of `path`;
  // -1 if nothing was.
  int64_t HeardMillisecondsAgo(const CallDispatch& path, Instant now) const;
  void RecordEventGap(int64_t event_id, Instant now);
  // Whether `event_gap` exceeds the limit of the call's route for the time
  // between two events.
  bool IsLateEventGap(Milliseconds event_gap) const;
  // Records the length of a stream that ended complete.
  void RecordResponseLength();
  // Logs a successful call if it was late or was sent more than once.
  void LogFinished(Instant now);
  std::string RelayedFields() const;
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

  // Why the last path selection failed.
  PathFailure path_failure_ = PathFailure::kNone;
  // All sends of the call. Ended ones are kept, since they may still be
  // executing one of their own callbacks.
  std::vector<std::unique_ptr<TargetSend>> sends_;
  // The send whose output is relayed; ended if it failed and no other send has
  // taken its place.
  TargetSend* active_ = nullptr;
  // Sends that take over if they bring output before the active one does.
  std::vector<TargetSend*> replacements_;
  bool head_relayed_ = false;
  // Type of the body whose head was relayed.
  std::string media_type_;
  // Whether reading of the answer is paused because the caller reads too
  // slowly.
  bool paused_ = false;
  int64_t events_relayed_ = 0;
  Instant first_relayed_{};
  Instant last_relayed_{};
  // Longest time between two relayed events, the id of the event after it, and
  // the path of the call at that time if it was late.
  Milliseconds longest_event_gap_{};
  int64_t event_after_longest_gap_ = kNoEvent;
  std::string late_gap_path_;
  std::string chunk_;
  // Whether data without an id follows the last event of `chunk_`.
  bool chunk_ends_unnumbered_ = false;
  // Lets callbacks of orders detect that the call was destroyed.
  std::shared_ptr<RelayedCall*> self_ = std::make_shared<RelayedCall*>(this);
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RELAYED_CALL_H_
