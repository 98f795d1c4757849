#include "bbv_entry/relayed_call.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_entry/call_format.h"
#include "bbv_entry/forwarded_request.h"
#include "bbv_entry/response_head.h"

namespace bbv {
namespace {

// Answers that are not streams are buffered and relayed whole, up to this size.
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
constexpr char kEndlessAnswer[] = "answer without end";

// Returns the evidence of a failed exchange, for the log.
std::string Evidence(ExchangeFailure failure, MessageFault fault) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return "not connected";
    case ExchangeFailure::kBroken:
      return "broken";
    case ExchangeFailure::kEndless:
      return kEndlessAnswer;
    case ExchangeFailure::kBadAnswer:
      break;
  }
  if (fault == MessageFault::kNone)
    return "bad answer";
  return "bad answer: " + std::string(kMessageFaultNames.Name(fault));
}

}  // namespace

RelayedCall::RelayedCall(CallContext* context,
                         std::shared_ptr<FleetIndex> index,
                         CallerConnection* caller,
                         CallRequest request,
                         HttpHead head,
                         std::shared_ptr<const std::string> body)
    : context_(context),
      index_(std::move(index)),
      caller_(caller),
      head_(std::move(head)),
      body_(std::move(body)),
      traits_({request.account == nullptr ? std::string_view()
                                          : request.account->name,
               head_.method, head_.target, *body_},
              request.shared_parts),
      call_(std::move(request), this),
      relay_(Milliseconds(call_.request().route->event_gap_objective_ms)),
      log_(context, &call_, &relay_),
      admission_(context),
      path_change_(context, &call_),
      queued_hold_(context->memory_ledger, MemoryLedger::Use::kAnswer) {
  assert(context != nullptr && caller != nullptr);
}

RelayedCall::~RelayedCall() {
  for (const auto& it : sends_.all()) {
    CloseSend(it.get());
    it->DropBody();
  }
}

void RelayedCall::Start(Instant now) {
  context_->retry_budget(call_.request().service)->RecordCall(now);
  context_->rate_limits->RecordCall(call_.request().service, now);
  context_->admission_control->OnArrival(call_.request(), now);
  call_.Start(now);
}

void RelayedCall::OnCallerGone(Instant now) {
  caller_ = nullptr;
  log_.WriteCallerLeft(sends_.path(), now);
  call_.OnCallerLeft(now);
}

void RelayedCall::OnTick(Instant now) {
  if (queued_hold_.bytes() > 0)
    queued_hold_.Set(caller_ == nullptr ? 0 : caller_->queued_bytes());
  if (relay_.is_paused() && caller_ != nullptr) {
    // The gap is caused by the caller, not by a fault on the path.
    call_.OnEventRelayed(call_.last_event(), now);
    if (relay_.ResumeIfTaken(caller_->queued_bytes()))
      context_->client->SetReadingPaused(sends_.active()->exchange, false);
  }
  for (std::size_t n = 0; n < sends_.all().size(); ++n) {
    TargetSend* it = sends_.all()[n].get();
    if (!it->is_continuation_refused)
      continue;
    // The body that is still to come is of no use.
    context_->client->Cancel(it->exchange);
    FailUnusableAnswer(it);
  }
  call_.OnTick(now);
  // An order that was not answered in time counts no longer.
  if (!call_.is_changing_path())
    path_change_.Release();
}

void RelayedCall::OnPathFault(const std::string& target_id, Instant now) {
  const auto& ids = sends_.path().hop_ids;
  const bool affected =
      sends_.is_sending() && !call_.is_path_broken() &&
      std::find(ids.begin(), ids.end(), target_id) != ids.end();
  const int sends = call_.sends();
  call_.OnPathFault(target_id, now);
  if (affected)
    log_.WritePathLost(target_id, sends, sends_.path(), now);
}

void RelayedCall::CheckQuarantine(Instant now) {
  // Output shows that the call is sound.
  if (!call_.relaying() && context_->crash_guard->IsQuarantined(Guarded()))
    call_.OnQuarantined(now);
}

std::optional<CallDispatch> RelayedCall::Choose(
    const CallRequest& request,
    const std::vector<std::string>& excluded,
    Instant now,
    CallEndReason* end) {
  if (!call_.relaying()) {
    const auto obstacle =
        context_->crash_guard->FindObstacle(Guarded(), call_.sends() > 0, now);
    if (obstacle) {
      path_failure_ = PathFailure::kNone;
      *end = *obstacle;
      return std::nullopt;
    }
  }
  const RoomLimits limits = call_.sends() == 0
                                ? context_->admission_control->Limits(request)
                                : RoomLimits();
  auto dispatch = context_->selector->Select(
      *index_, request, excluded, (*context_->random)(), now, end, limits);
  if (!dispatch && *end == CallEndReason::kNoRoom)
    context_->admission_control->OnNoRoom(request, limits);
  path_failure_ = context_->selector->last_failure();
  if (path_failure_ == PathFailure::kRateLimit)
    context_->rate_limits->RecordShortage(request.service, now);
  return dispatch;
}

RerouteChoice RelayedCall::ChooseReroute(
    const CallRequest&,
    const CallDispatch& current,
    const StreamProgress& progress,
    const std::vector<std::string>& excluded,
    Instant now) {
  return path_change_.Choose(*index_, current, progress, excluded, now);
}

void RelayedCall::ChangePath(const CallDispatch& path, Instant now) {
  path_change_.OnOrdered(path, now);
  // A silent target carries the order out when it goes on. Its answer is then
  // the only way to learn the path of the run.
  PostOrder(context_->client,
            {path.target_id, path.target_address,
             platform::EncodeChangePathOrder(call_.request().attempt_id,
                                             path.hop_addresses, path.layers),
             call_.request().deadline},
            [self = std::weak_ptr<RelayedCall*>(self_), send = sends_.active(),
             path](const OrderAnswer& answer) {
              const auto call = self.lock();
              // Ignore the answer if its send has ended: it does not apply to
              // the next one.
              if (call != nullptr && (*call)->sends_.active() == send &&
                  (*call)->sends_.is_sending())
                (*call)->OnPathChangeAnswer(answer, path);
            });
}

void RelayedCall::OnPathChangeAnswer(const OrderAnswer& answer,
                                     const CallDispatch& path) {
  const Instant now = EventLoop::Now();
  log_.WritePathChanged(sends_.active()->dispatch.target_id, answer, now);
  path_change_.Release();
  if (answer.is_accepted()) {
    context_->selector->RemoveInFlight(&sends_.active()->dispatch);
    sends_.active()->dispatch = path;
    context_->selector->AddInFlight(sends_.active()->dispatch);
  }
  if (!answer.status) {
    call_.OnPathChangeUnanswered(now);
    return;
  }
  // Other streams avoid a target without room from now on.
  if (!answer.is_accepted())
    ReportRefusalCause(answer.fault_address);
  call_.OnPathChanged(path, answer.is_accepted(), answer.fault_address, now);
}

void RelayedCall::Send(const CallDispatch& dispatch, Instant now) {
  const CallRequest& request = call_.request();
  const bool is_replacement = sends_.is_sending();
  TargetSend* send = sends_.Add(std::make_unique<TargetSend>(
      this, call_.sends(), dispatch, relay_.has_begun(), now));
  send->body_hold =
      MemoryLedger::Hold(context_->memory_ledger, MemoryLedger::Use::kAnswer);
  if (!is_replacement)
    relay_.OnSendChanged();
  context_->selector->AddInFlight(send->dispatch);
  if (send->number == 1)
    context_->admission_control->OnSent(request, now);
  if (send->number > 1) {
    log_.WriteSent(
        *send, is_replacement ? sends_.active()->dispatch.target_id : "", now);
  }
  send->exchange = context_->client->Send(
      MakeForwardedRequest(request, send->dispatch, head_, body_, now), send);
}

void RelayedCall::CancelSend(SendCancelReason reason, Instant now) {
  if (!sends_.is_sending())
    return;
  log_.WriteSendCancelled(*sends_.active(), reason, now);
  CloseSend(sends_.active());
}

void RelayedCall::CancelReplacement(int send,
                                    SendCancelReason reason,
                                    Instant now) {
  TargetSend* replacement = sends_.TakeReplacement(send);
  log_.WriteSendCancelled(*replacement, reason, now);
  CloseSend(replacement);
  replacement->DropBody();
}

void RelayedCall::PromoteReplacement(int send) {
  sends_.Promote(send);
  relay_.OnSendChanged();
}

void RelayedCall::CloseSend(TargetSend* send) {
  if (!send->in_flight)
    return;
  FinishSend(send, false, send->sent_at);
  context_->client->Cancel(send->exchange);
}

void RelayedCall::FinishSend(TargetSend* send, bool failed, Instant now) {
  send->in_flight = false;
  send->is_continuation_refused = false;
  send->splitter.Reset();
  context_->selector->RemoveInFlight(&send->dispatch);
  if (send == sends_.active())
    path_change_.Release();
  FleetTarget* target = context_->registry->Find(send->dispatch.target_id);
  if (target != nullptr && now > send->sent_at) {
    context_->registry->RecordOutcome(target, failed,
                                      MillisecondsBetween(send->sent_at, now));
  }
}

bool RelayedCall::TakeRetry(Instant now) {
  return context_->retry_budget(call_.request().service)->TryTake(now);
}

bool RelayedCall::WaitForCapacity(const CallRequest& request,
                                  Instant deadline) {
  return caller_ != nullptr &&
         context_->admission_control->Wait(caller_->id(), request, deadline);
}

Milliseconds RelayedCall::RetryAfter(const CallRequest& request,
                                     CallEndReason end) {
  return admission_.RetryAfter(request, Guarded(), end, EventLoop::Now());
}

void RelayedCall::Fail(const CallFailure& failure) {
  const CallRequest& request = call_.request();
  context_->metrics->CountFailure(request.service, failure.end);
  log_.WriteFailed(failure, path_failure_,
                   context_->crash_guard->FindQuarantine(Guarded()),
                   sends_.path(), EventLoop::Now());
  if (caller_ == nullptr)
    return;
  std::string fields;
  AppendField(platform::kAttemptIdField, request.attempt_id, &fields);
  if (failure.retry_after) {
    const auto text = std::to_string(
        static_cast<double>(failure.retry_after->count()) / 1000);
    AppendField("Retry-After", text, &fields);
  }
  std::exchange(caller_, nullptr)->SendResponse(failure.status, {}, fields, {});
}

void RelayedCall::RelayBufferedResponse() {
  if (caller_ == nullptr)
    return;
  std::exchange(caller_, nullptr)
      ->SendSharedResponse(
          sends_.active()->head.status, sends_.active()->head.reason,
          RelayedFields(sends_.active()->head), sends_.active()->TakeBody());
}

void RelayedCall::AbortResponse(CallEndReason end) {
  context_->metrics->CountFailure(call_.request().service, end);
  log_.WriteAborted(end, path_failure_, sends_.path(), EventLoop::Now());
  if (caller_ != nullptr)
    std::exchange(caller_, nullptr)->Abort();
}

bool RelayedCall::IsGoodStreamHead(const TargetSend& send) const {
  return call_.request().route->kind == CallKind::kStream &&
         send.head.status == 200 && send.fields.has_signature &&
         !send.fields.encoded && relay_.IsContinuedBy(send);
}

void RelayedCall::OnResponseHead(TargetSend* send, HttpHead head) {
  send->head = std::move(head);
  send->fields = platform::DecodeResponse(send->head);
  send->streaming = IsGoodStreamHead(*send);
  send->is_continuation_refused = send->resuming && !send->streaming;
}

void RelayedCall::OnResponseBody(TargetSend* send, std::string_view data) {
  if (send->streaming) {
    RelayEvents(send, data);
    return;
  }
  const std::size_t bytes = send->body.size() + data.size();
  if (bytes > kMaxAnswerBytes) {
    send->DropBody();
    FailEndlessAnswer(send, "answer too large");
    return;
  }
  if (!send->ReserveBody(bytes)) {
    send->DropBody();
    FailBadAnswer(send, "no memory left");
    return;
  }
  send->body.append(data);
}

void RelayedCall::FailEndlessAnswer(TargetSend* send,
                                    std::string_view evidence) {
  const std::string target_id = send->dispatch.target_id;
  FailBadAnswer(send, evidence);
  context_->on_target_fault(
      {target_id, std::string(evidence), std::nullopt, true});
}

void RelayedCall::FailBadAnswer(TargetSend* send, std::string_view evidence) {
  context_->client->Cancel(send->exchange);
  FailSend(send, {CallEndReason::kBadAnswer, false, false, {}}, evidence);
}

void RelayedCall::AcceptOutput(TargetSend* send, Instant now) {
  if (sends_.IsReplacement(send))
    call_.OnReplacementOutput(send->number, now);
}

void RelayedCall::RelayEvents(TargetSend* send, std::string_view data) {
  const EventRelay::Batch batch = relay_.Collect(
      send, sends_.IsReplacement(send), data, call_.last_event());
  const Instant now = EventLoop::Now();
  if (batch.has_started_output)
    context_->crash_guard->OnOutput(Guarded(), now);
  if (!batch.fault.empty()) {
    if (batch.is_endless)
      FailEndlessAnswer(send, batch.fault);
    else
      FailBadAnswer(send, batch.fault);
    return;
  }
  if (batch.text.empty() || caller_ == nullptr)
    return;
  AcceptOutput(send, now);
  path_change_.OnEvent(&send->dispatch, relay_.last_relayed(), now);
  if (!call_.relaying())
    call_.OnResponseStarted(now);
  if (!relay_.has_begun()) {
    context_->metrics->ObserveFirstEvent(
        MillisecondsBetween(call_.request().arrived, now) / 1000);
    RecordResponseTime(*send, now);
  }
  relay_.Write(batch, sends_.active()->head, sends_.path(), caller_, now);
  call_.OnEventRelayed(batch.last_event, now);
  if (batch.ends_unnumbered)
    call_.OnUnnumberedOutput();
  const std::size_t queued = caller_->queued_bytes();
  if (relay_.PauseIfFull(queued, queued_hold_.Set(queued)))
    context_->client->SetReadingPaused(send->exchange, true);
}

void RelayedCall::RecordResponseLength() {
  const CallRequest& request = call_.request();
  const ServiceDescription* service = index_->FindService(request.service);
  // If the stream was resumed, this entry has not seen all of its events.
  if (service == nullptr || !service->engine || request.last_event != kNoEvent)
    return;
  const EngineModel& model = *service->engine;
  context_->response_length_estimator->Record(
      request.service,
      model.tokens_per_event * static_cast<double>(relay_.events()),
      model.typical_output_tokens, request.max_output_tokens);
}

bool RelayedCall::FailUnusableAnswer(TargetSend* send) {
  const std::optional<AnswerFault> fault = send->FindAnswerFault();
  if (!fault)
    return false;
  if (send->IsMisdirected())
    context_->on_misdirected(send->dispatch);
  FailSend(send, fault->failure, fault->evidence);
  return true;
}

void RelayedCall::OnResponseEnd(TargetSend* send) {
  const Instant now = EventLoop::Now();
  if (send->streaming) {
    FinishStream(send, now);
    return;
  }
  if (FailUnusableAnswer(send))
    return;
  AcceptOutput(send, now);
  FinishSend(send, false, now);
  // An error response does not show that the target could write an answer.
  if (send->is_success())
    context_->crash_guard->OnOutput(Guarded(), now);
  call_.OnResponseComplete(now);
  context_->metrics->CountServed(call_.request().service);
  log_.WriteFinished(sends_.path(), now);
  RecordResponseTime(*send, now);
  context_->metrics->ObserveAnswer(
      MillisecondsBetween(call_.request().arrived, now) / 1000);
  RelayBufferedResponse();
}

void RelayedCall::RecordResponseTime(const TargetSend& send, Instant now) {
  // Later sends and resumed streams say little about new calls.
  if (send.number > 1 || call_.request().last_event != kNoEvent)
    return;
  context_->admission_control->OnResponse(
      call_.request(),
      std::chrono::duration_cast<Milliseconds>(now - send.sent_at));
}

void RelayedCall::FinishStream(TargetSend* send, Instant now) {
  // A replacement that has brought no event yet cannot end the stream.
  if (sends_.IsReplacement(send) || send->splitter.has_partial_event() ||
      !has_output(*send)) {
    context_->crash_guard->OnCallBroken(Guarded(), send->dispatch.target_id,
                                        send->sent_at, send->began_output(),
                                        now);
    FailSend(send, {CallEndReason::kBadAnswer, false, false, {}}, "stream cut");
    return;
  }
  FinishSend(send, false, now);
  if (!send->began_output())
    context_->crash_guard->OnOutput(Guarded(), now);
  call_.OnResponseComplete(now);
  context_->metrics->CountServed(call_.request().service);
  RecordResponseLength();
  log_.WriteFinished(sends_.path(), now);
  if (caller_ != nullptr)
    std::exchange(caller_, nullptr)->EndStream();
}

void RelayedCall::OnExchangeFailed(TargetSend* send,
                                   ExchangeFailure failure,
                                   MessageFault fault) {
  SendFailure send_failure;
  send_failure.not_run = failure == ExchangeFailure::kNotConnected;
  const bool is_endless = failure == ExchangeFailure::kEndless;
  send_failure.end = failure == ExchangeFailure::kBadAnswer || is_endless
                         ? CallEndReason::kBadAnswer
                         : CallEndReason::kConnectionBroken;
  const std::string target_id = send->dispatch.target_id;
  const Instant asked_at = send->sent_at;
  if (failure == ExchangeFailure::kBroken) {
    context_->crash_guard->OnCallBroken(Guarded(), target_id, asked_at,
                                        send->began_output(), EventLoop::Now());
  }
  FailSend(send, send_failure, Evidence(failure, fault));
  // Reported after FailSend() has rerouted this call, so that it is not
  // rerouted twice.
  if (failure == ExchangeFailure::kNotConnected)
    context_->on_target_fault({target_id, "not connected", asked_at, false});
  if (is_endless)
    context_->on_target_fault({target_id, kEndlessAnswer, std::nullopt, true});
}

void RelayedCall::FailSend(TargetSend* send,
                           const SendFailure& failure,
                           std::string_view evidence) {
  const Instant now = EventLoop::Now();
  if (!send->in_flight)
    return;
  FinishSend(send, true, now);
  log_.WriteSendFailed(*send, failure, evidence, now);
  if (sends_.IsReplacement(send)) {
    sends_.TakeReplacement(send->number)->DropBody();
    call_.OnReplacementFailed(send->number, failure, now);
  } else {
    call_.OnSendFailed(failure, now);
  }
  ReportRefusalCause(failure.fault_address);
}

void RelayedCall::ReportRefusalCause(const std::string& address) {
  if (address.empty())
    return;
  if (const FleetTarget* it = context_->registry->FindAddress(address))
    context_->on_refusal_cause(it->record.id);
}

}  // namespace bbv
