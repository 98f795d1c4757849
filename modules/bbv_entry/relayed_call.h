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

#include "bbv_entry/crash_guard.h"
#include "bbv_entry/rate_limit_exchange.h"
#include "bbv_entry/target_requests.h"
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
  // Returns the retry schedule for refused callers of a service.
  std::function<RetryAfterScheduler*(const std::string&)> retry_after_scheduler;
  // Called for a target fault that affects all calls on the target.
  std::function<void(const TargetFault& fault)> on_target_fault;
  // Called for a target that was named as the cause of a refused call.
  std::function<void(const std::string& target_id)> on_refusal_cause;
  // Returns whether the entry was told to stop.
  std::function<bool()> is_stopping;
  // Calls that wait for capacity, by connection id of their callers.
  AdmissionQueue* admission_queue = nullptr;
  ResponseLengthEstimator* response_length_estimator = nullptr;
  CrashGuard* crash_guard = nullptr;
  RateLimitExchange* rate_limits = nullptr;
  // Bytes of incomplete non-streamed answers buffered for all calls.
  std::size_t buffered_bytes = 0;
};

// Relays one call: carries out the decisions of FleetCall on the caller's
// connection and the HTTP exchanges with targets.
//
// Thread safety: none, the loop's thread.
class RelayedCall final : public FleetCallDelegate, public ExchangeSink {
 public:
  // `index` is the configuration that applies to the call until it ends.
  RelayedCall(CallContext* context,
              std::shared_ptr<FleetIndex> index,
              CallerConnection* caller,
              CallRequest request,
              HttpHead head,
              std::string body);
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
  void CancelSend() override;
  bool TakeRetry(Instant now) override;
  void Fail(const CallFailure& failure) override;
  void RelayBufferedResponse() override;
  void AbortResponse(CallEndReason end) override;
  bool WaitForCapacity(const CallRequest& request, Instant deadline) override;
  Milliseconds RetryAfter(const CallRequest& request,
                          CallEndReason end) override;

  // ExchangeSink:
  void OnResponseHead(HttpHead head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  GuardedCall Guarded() const {
    return {call_.request().service, call_.request().attempt_id, traits_};
  }
  void OnPathChangeAnswer(const OrderAnswer& answer, const CallDispatch& path);
  void RelayEvents(std::string_view data);
  // Replaces `chunk_` by the events that `data` completes and advances `last`,
  // the id of the last event. Returns why the target's output is faulty; empty
  // if it is not.
  std::string_view CollectEvents(std::string_view data, int64_t* last);
  std::string_view FindEventFault(const StreamEvent& event, int64_t last) const;
  // Fails the current send because its answer violates the protocol.
  void FailBadAnswer(std::string_view evidence);
  // Fails the current send if its answer, which is not a stream, cannot be
  // relayed; returns whether that is so.
  bool FailUnusableAnswer();
  bool is_success() const {
    return answer_head_.status >= 200 && answer_head_.status < 300;
  }
  // Returns what was received of an answer that is not a stream.
  std::string TakeBufferedAnswer();
  void DropBufferedAnswer() { TakeBufferedAnswer(); }
  void FailSend(const SendFailure& failure, std::string_view evidence);
  void FinishSend(bool failed, Instant now);
  void RecordEventGap(int64_t event_id, Instant now);
  // Whether `event_gap` exceeds the limit of the call's route for the time
  // between two events.
  bool IsLateEventGap(Milliseconds event_gap) const;
  // Records the length of a stream that ended complete.
  void RecordResponseLength();
  // Logs a successful call if it was late or was sent more than once.
  void LogFinished(Instant now);
  std::string RelayedFields() const;
  bool IsGoodStreamHead() const;
  // Whether the stream of the current send may end as complete. A stream that
  // is resumed but brings no event may as well have failed.
  bool has_output() const { return call_.relaying() && !awaits_first_event(); }
  // Whether the current send resumes a stream and has brought no event yet.
  bool awaits_first_event() const { return resuming_ && events_of_send_ == 0; }
  // Whether the target of the current send has begun to write the answer and
  // has gone on.
  bool began_output() const {
    return events_of_send_ >= kEventsOfStartedOutput;
  }

  // A target may fail while it writes the first event.
  static constexpr int kEventsOfStartedOutput = 2;

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
  HttpClient::ExchangeId exchange_ = 0;
  bool send_in_flight_ = false;
  CallDispatch dispatch_;
  Instant sent_at_{};
  HttpHead answer_head_;
  platform::ResponseFields answer_fields_;
  std::string answer_body_;
  bool streaming_ = false;
  bool head_relayed_ = false;
  // Type of the body whose head was relayed.
  std::string media_type_;
  // Whether the current send continues a stream whose head was relayed.
  bool resuming_ = false;
  // Whether the head of the current send's answer showed that it does not
  // continue the stream.
  bool is_continuation_refused_ = false;
  // Whether reading of the answer is paused because the caller reads too
  // slowly.
  bool paused_ = false;
  int64_t events_relayed_ = 0;
  // Events relayed from the current send.
  int events_of_send_ = 0;
  Instant first_relayed_{};
  Instant last_relayed_{};
  // Longest time between two relayed events, the id of the event after it, and
  // the path of the call at that time if it was late.
  Milliseconds longest_event_gap_{};
  int64_t event_after_longest_gap_ = kNoEvent;
  std::string late_gap_path_;
  EventSplitter splitter_;
  std::string chunk_;
  // Whether data without an id follows the last event of `chunk_`.
  bool chunk_ends_unnumbered_ = false;
  // Lets callbacks of orders detect that the call was destroyed.
  std::shared_ptr<RelayedCall*> self_ = std::make_shared<RelayedCall*>(this);
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RELAYED_CALL_H_
