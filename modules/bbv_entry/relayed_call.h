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

#include "bbv_entry/target_question.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"
#include "platform/call_codec.h"

namespace bbv {

// What all calls of an entry share.
struct CallContext {
  HttpClient* client = nullptr;
  TargetBoard* board = nullptr;
  TargetSelector* selector = nullptr;
  DecisionLog* log = nullptr;
  FleetMetrics* metrics = nullptr;
  std::mt19937_64* random = nullptr;
  // The retry budget of a service.
  std::function<SharedRetryBudget*(const std::string&)> budget;
  // The returns of refused callers of a service.
  std::function<ReturnSchedule*(const std::string&)> returns;
  // A target failed on evidence that concerns all calls on it; `witnessed`
  // when another target saw it.
  std::function<void(const std::string& target_id,
                     std::string_view evidence,
                     bool witnessed)>
      on_target_fault;
  // A target was named as the cause for which a call was turned away.
  std::function<void(const std::string& target_id)> on_target_doubt;
  // Calls that wait for room, by their callers' connections.
  WaitingRoom* waiting_room = nullptr;
  AnswerLengths* answer_lengths = nullptr;
  // Bytes of plain answers that are not whole yet, of all calls.
  std::size_t buffered_bytes = 0;
};

// One call on its way: carries out what FleetCall decides, between the
// caller's connection and the exchanges with targets.
//
// Thread safety: none, the loop's thread.
class RelayedCall final : public CallPorts, public ExchangeSink {
 public:
  // `index` is the configuration under which the call is served to its end.
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
  // Takes the call off a path on which `target_id` was found dead.
  void OnPathFault(const std::string& target_id, Instant now);

  // Sends a call that waits for room; false when there is none yet.
  bool TrySendWaiting(Instant now) { return call_.TrySendWaiting(now); }
  void OnWaitedInVain(Instant now) { call_.OnWaitedInVain(now); }

  bool done() const { return call_.done(); }
  // Whether the answer is not read because its caller takes it too slowly.
  bool is_paused() const { return paused_; }
  const FleetCall& call() const { return call_; }

  // CallPorts:
  std::optional<CallDispatch> Choose(const CallRequest& request,
                                     const std::vector<std::string>& excluded,
                                     Instant now,
                                     CallEnd* end) override;
  std::optional<CallDispatch> ChooseMend(
      const CallRequest& request,
      const CallDispatch& current,
      const std::vector<std::string>& excluded,
      Instant now) override;
  void ChangePath(const CallDispatch& path, Instant now) override;
  void Send(const CallDispatch& dispatch, Instant now) override;
  void CancelSend() override;
  bool TakeRetry(Instant now) override;
  void Fail(const CallFailure& failure) override;
  void RelayAnswerAtHand() override;
  void BreakOff(CallEnd end) override;
  bool WaitForRoom(const CallRequest& request, Instant deadline) override;
  Milliseconds RetryAfter(const CallRequest& request, CallEnd end) override;

  // ExchangeSink:
  void OnAnswerHead(HttpHead head) override;
  void OnAnswerBody(std::string_view data) override;
  void OnAnswerEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  void OnChangeAnswered(const OrderAnswer& answer, const CallDispatch& path);
  void RelayEvents(std::string_view data);
  // Ends the send under way, whose answer is none of the protocol.
  void FailBadAnswer(std::string_view evidence);
  void DropBufferedAnswer();
  void FailSend(const SendFailure& failure, std::string_view evidence);
  void FinishSend(bool failed, Instant now);
  void NotePause(int64_t event_id, Instant now);
  // Whether events may not be so far apart on the call's route.
  bool IsLatePause(Milliseconds pause) const;
  // Notes how long the answer of a stream was that ended whole.
  void RecordAnswerLength();
  // Logs a call that ended well when it was late or sent more than once.
  void LogFinished(Instant now);
  std::string RelayedFields() const;
  bool IsGoodStreamHead() const;

  CallContext* context_;
  std::shared_ptr<FleetIndex> index_;
  // Null once the caller has its answer or has left.
  CallerConnection* caller_;
  HttpHead head_;
  std::string body_;
  FleetCall call_;

  // Why no path was found when one was last looked for.
  PathFailure path_failure_ = PathFailure::kNone;
  HttpClient::ExchangeId exchange_ = 0;
  bool under_way_ = false;
  CallDispatch sent_;
  Instant sent_at_{};
  HttpHead answer_head_;
  platform::ResponseFields answer_;
  std::string answer_body_;
  bool streaming_ = false;
  bool head_relayed_ = false;
  // Whether the answer is not read because the caller takes it too slowly.
  bool paused_ = false;
  int64_t events_relayed_ = 0;
  Instant first_relayed_{};
  Instant last_relayed_{};
  // Longest time between two events relayed, the event that ended it, and the
  // path that it took to come.
  Milliseconds longest_pause_{};
  int64_t pause_before_event_ = kNoEvent;
  std::string pause_path_;
  EventSplitter splitter_;
  std::string chunk_;
  // Lets answers to orders find out whether the call is still there.
  std::shared_ptr<RelayedCall*> self_ = std::make_shared<RelayedCall*>(this);
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RELAYED_CALL_H_
