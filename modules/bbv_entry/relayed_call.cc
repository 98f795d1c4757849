#include "bbv_entry/relayed_call.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kConnectTimeout{250};
// Answers that are not streams are buffered and relayed whole, up to this size.
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
// Limit for all buffered answers together, so that targets that send endless
// answers leave memory for other calls.
constexpr std::size_t kMaxBufferedBytes = 48U << 20U;
// Amounts of data not yet taken by the caller at which reading of the answer
// stops and resumes.
constexpr std::size_t kStopReadingBytes = 256U << 10U;
constexpr std::size_t kResumeReadingBytes = 64U << 10U;
constexpr Milliseconds kRetryAfterNoTarget{1000};
constexpr Milliseconds kRetryAfterNoCapacity{400};
// Random spread of retry times, as a percentage of the minimum delay.
constexpr int kRetrySpreadPercent = 50;
// A caller is told to wait for at most this fraction (1/3) of its remaining
// time.
constexpr int kRetryAfterDeadlineDivisor = 3;
constexpr int kFirstServerErrorStatus = 500;
constexpr Milliseconds kOrderTimeout{300};

double MillisecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

// Returns the hops of a path as "target=from-to ...".
std::string PathText(const CallDispatch& dispatch) {
  std::string text;
  for (std::size_t it = 0; it < dispatch.layers.size(); ++it) {
    if (it > 0)
      text += ' ';
    text += dispatch.hop_ids[it] + '=' +
            std::to_string(dispatch.layers[it].from) + '-' +
            std::to_string(dispatch.layers[it].to);
  }
  return text;
}

// Returns the type of a response's body without parameters; empty if there is
// none.
std::string_view MediaType(const HttpHead& head) {
  const std::string* value = head.Find("Content-Type");
  if (value == nullptr)
    return {};
  const std::string_view type =
      std::string_view(*value).substr(0, value->find(';'));
  return type.substr(0, type.find_last_not_of(" \t") + 1);
}

// Returns how a call proceeds that lost a hop after `sends_before` sends.
std::string_view ContinuationText(const FleetCall& call, int sends_before) {
  if (call.is_changing_path())
    return "path";
  if (call.sends() > sends_before)
    return "elsewhere";
  return call.done() ? "none" : "waits";
}

}  // namespace

RelayedCall::RelayedCall(CallContext* context,
                         std::shared_ptr<FleetIndex> index,
                         CallerConnection* caller,
                         CallRequest request,
                         HttpHead head,
                         std::string body)
    : context_(context),
      index_(std::move(index)),
      caller_(caller),
      head_(std::move(head)),
      body_(std::make_shared<const std::string>(std::move(body))),
      traits_({request.account == nullptr ? std::string_view()
                                          : request.account->name,
               head_.method, head_.target, *body_},
              request.shared_parts),
      call_(std::move(request), this) {
  assert(context != nullptr && caller != nullptr);
}

RelayedCall::~RelayedCall() {
  CancelSend();
  DropBufferedAnswer();
}

void RelayedCall::Start(Instant now) {
  context_->retry_budget(call_.request().service)->RecordCall(now);
  context_->rate_limits->RecordCall(call_.request().service, now);
  call_.Start(now);
}

void RelayedCall::OnCallerGone(Instant now) {
  caller_ = nullptr;
  context_->log->Write(
      Event::kCallerLeft, now,
      {{"id", call_.request().attempt_id},
       {"target", dispatch_.target_id},
       {"after_ms", MillisecondsBetween(call_.request().arrived, now)},
       {"last_event", call_.last_event()},
       {"path", PathText(dispatch_)}});
  call_.OnCallerLeft();
}

void RelayedCall::OnTick(Instant now) {
  if (paused_ && caller_ != nullptr) {
    // The gap is caused by the caller, not by a fault on the path.
    call_.OnEventRelayed(call_.last_event(), now);
    if (caller_->queued_bytes() < kResumeReadingBytes) {
      paused_ = false;
      context_->client->SetReadingPaused(exchange_, false);
    }
  }
  if (is_continuation_refused_) {
    // The body that is still to come is of no use.
    context_->client->Cancel(exchange_);
    FailUnusableAnswer();
  }
  call_.OnTick(now);
}

void RelayedCall::OnPathFault(const std::string& target_id, Instant now) {
  const auto& ids = dispatch_.hop_ids;
  const bool affected =
      send_in_flight_ && !call_.is_path_broken() &&
      std::find(ids.begin(), ids.end(), target_id) != ids.end();
  const int sends = call_.sends();
  call_.OnPathFault(target_id, now);
  if (!affected)
    return;
  context_->log->Write(
      Event::kCallPathLost, now,
      {{"id", call_.request().attempt_id},
       {"hop", target_id},
       {"way_on", std::string(ContinuationText(call_, sends))},
       {"target", dispatch_.target_id},
       {"hops", static_cast<int64_t>(dispatch_.hop_ids.size())},
       {"last_event", call_.last_event()}});
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
  auto dispatch = context_->selector->Select(*index_, request, excluded,
                                             (*context_->random)(), now, end);
  path_failure_ = context_->selector->last_failure();
  if (path_failure_ == PathFailure::kRateLimit)
    context_->rate_limits->RecordShortage(request.service, now);
  return dispatch;
}

std::optional<CallDispatch> RelayedCall::ChooseReroute(
    const CallRequest& request,
    const CallDispatch& current,
    const std::vector<std::string>& excluded,
    Instant now) {
  return context_->selector->SelectReroute(*index_, request, current, excluded,
                                           (*context_->random)(), now);
}

void RelayedCall::ChangePath(const CallDispatch& path, Instant now) {
  PostOrder(context_->client, path.target_address,
            platform::EncodeChangePathOrder(call_.request().attempt_id,
                                            path.hop_addresses, path.layers),
            now + kOrderTimeout,
            [self = std::weak_ptr<RelayedCall*>(self_), exchange = exchange_,
             path](const OrderAnswer& answer) {
              const auto call = self.lock();
              // Ignore the answer if its send has ended: it does not apply to
              // the next one.
              if (call != nullptr && (*call)->send_in_flight_ &&
                  (*call)->exchange_ == exchange)
                (*call)->OnPathChangeAnswer(answer, path);
            });
}

void RelayedCall::OnPathChangeAnswer(const OrderAnswer& answer,
                                     const CallDispatch& path) {
  const Instant now = EventLoop::Now();
  context_->log->Write(Event::kCallPathChanged, now,
                       {{"id", call_.request().attempt_id},
                        {"target", dispatch_.target_id},
                        {"status", static_cast<int64_t>(answer.status)},
                        {"at_fault", answer.fault_address},
                        {"last_event", call_.last_event()}});
  if (answer.is_accepted()) {
    context_->selector->RemoveInFlight(&dispatch_);
    dispatch_ = path;
    context_->selector->AddInFlight(dispatch_);
  }
  call_.OnPathChanged(answer.is_accepted(), answer.fault_address, now);
}

void RelayedCall::Send(const CallDispatch& dispatch, Instant now) {
  const CallRequest& request = call_.request();
  dispatch_ = dispatch;
  sent_at_ = now;
  send_in_flight_ = true;
  streaming_ = false;
  resuming_ = head_relayed_;
  DropBufferedAnswer();
  splitter_.Reset();
  paused_ = false;
  events_of_send_ = 0;
  context_->selector->AddInFlight(dispatch_);
  if (call_.sends() == 1)
    context_->retry_after_scheduler(request.service)->RecordAccepted(now);
  platform::ForwardFields fields;
  if (request.account != nullptr)
    fields.account = request.account->name;
  fields.remaining_ms = RemainingMilliseconds(request.deadline, now);
  fields.target_id = dispatch_.target_id;
  if (!dispatch_.layers.empty()) {
    fields.hop_addresses = dispatch_.hop_addresses;
    fields.hop_layers = dispatch_.layers;
  }
  if (dispatch_.last_event >= 0)
    fields.last_event = dispatch_.last_event;
  fields.body_bytes = body_->size();
  ExchangeRequest exchange;
  exchange.address = ParseSocketAddress(dispatch_.target_address).value();
  exchange.bytes = platform::EncodeForwardedHead(head_, fields);
  exchange.body = body_;
  exchange.id_field = platform::kAttemptIdField;
  exchange.attempt_id = request.attempt_id;
  // The peer may have closed an idle connection without notice, and an unsafe
  // call that was sent on it cannot be repeated.
  exchange.may_reuse = request.route->kind != CallKind::kUnsafe;
  exchange.connect_deadline = std::min(now + kConnectTimeout, request.deadline);
  if (call_.sends() > 1) {
    context_->log->Write(
        Event::kCallSent, now,
        {{"id", request.attempt_id},
         {"send", static_cast<int64_t>(call_.sends())},
         {"target", dispatch_.target_id},
         {"hops", static_cast<int64_t>(dispatch_.hop_ids.size())},
         {"after_event", dispatch_.last_event},
         {"remaining_ms", fields.remaining_ms}});
  }
  exchange_ = context_->client->Send(std::move(exchange), this);
}

void RelayedCall::CancelSend() {
  if (!send_in_flight_)
    return;
  FinishSend(false, sent_at_);
  context_->client->Cancel(exchange_);
}

void RelayedCall::FinishSend(bool failed, Instant now) {
  send_in_flight_ = false;
  is_continuation_refused_ = false;
  context_->selector->RemoveInFlight(&dispatch_);
  FleetTarget* target = context_->registry->Find(dispatch_.target_id);
  if (target != nullptr && now > sent_at_) {
    context_->registry->RecordOutcome(target, failed,
                                      MillisecondsBetween(sent_at_, now));
  }
}

bool RelayedCall::TakeRetry(Instant now) {
  return context_->retry_budget(call_.request().service)->TryTake(now);
}

bool RelayedCall::WaitForCapacity(const CallRequest& request,
                                  Instant deadline) {
  AdmissionQueue::CallParameters parameters;
  parameters.service = request.service;
  if (request.account != nullptr)
    parameters.account = request.account->name;
  parameters.priority = request.route->priority;
  if (request.account != nullptr && request.account->priority)
    parameters.priority = *request.account->priority;
  parameters.cost = request.prompt_tokens + request.output_tokens;
  parameters.deadline = deadline;
  return caller_ != nullptr &&
         context_->admission_queue->Add(caller_->id(), parameters);
}

Milliseconds RelayedCall::RetryAfter(const CallRequest& request,
                                     CallEndReason end) {
  Milliseconds earliest = end == CallEndReason::kNoRoom ? kRetryAfterNoCapacity
                                                        : kRetryAfterNoTarget;
  const Instant now = EventLoop::Now();
  std::optional<Instant> capacity_at;
  if (end == CallEndReason::kNoTarget)
    capacity_at = context_->registry->EarliestBackoffEnd(request.service, now);
  else if (end == CallEndReason::kRateLimit)
    capacity_at = context_->registry->EarliestAllowance(request.service, now);
  if (capacity_at)
    earliest = std::max(earliest,
                        Milliseconds(RemainingMilliseconds(*capacity_at, now)));
  if (end == CallEndReason::kQuarantined) {
    const QuarantineRow* row = context_->crash_guard->FindQuarantine(Guarded());
    const Instant probe_at = row == nullptr ? now : row->probe_at;
    return std::max(earliest,
                    Milliseconds(RemainingMilliseconds(probe_at, now)));
  }
  // A caller is told to wait for part of its remaining time at most.
  const Milliseconds left(RemainingMilliseconds(request.caller_deadline, now));
  const Milliseconds latest =
      std::max(earliest, left / kRetryAfterDeadlineDivisor);
  const Milliseconds reserved_delay =
      context_->retry_after_scheduler(request.service)
          ->ReserveDelay(earliest, latest, now);
  const auto spread =
      static_cast<int>((*context_->random)() % kRetrySpreadPercent);
  return std::min(latest, reserved_delay + earliest * spread / 100);
}

void RelayedCall::Fail(const CallFailure& failure) {
  const CallRequest& request = call_.request();
  const Instant now = EventLoop::Now();
  const QuarantineRow* quarantine =
      context_->crash_guard->FindQuarantine(Guarded());
  const bool refused = failure.execution_status == ExecutionStatus::kNotRun;
  context_->metrics->CountFailure(request.service, failure.end);
  context_->log->Write(
      refused ? Event::kCallRefused : Event::kCallFailed, now,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"status", static_cast<int64_t>(failure.status)},
       {"cause", std::string(kCallEndReasonNames.Name(failure.end))},
       {"short_of", std::string(kPathFailureNames.Name(path_failure_))},
       {"outcome",
        std::string(kExecutionStatusNames.Name(failure.execution_status))},
       {"sends", static_cast<int64_t>(call_.sends())},
       {"last_target", dispatch_.target_id},
       {"parts", quarantine == nullptr ? std::string()
                                       : FormatTraits(quarantine->traits)},
       {"after_ms", MillisecondsBetween(request.arrived, now)},
       {"retry_after_ms",
        static_cast<int64_t>(
            failure.retry_after.value_or(Milliseconds(0)).count())}});
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

std::string RelayedCall::RelayedFields() const {
  std::string fields;
  const std::string* connection = answer_head_.Find("Connection");
  for (const HttpField& it : answer_head_.fields) {
    if (IsConnectionSpecificField(it.name))
      continue;
    if (connection != nullptr && HasListToken(*connection, it.name))
      continue;
    AppendField(it.name, it.value, &fields);
  }
  return fields;
}

void RelayedCall::RelayBufferedResponse() {
  if (caller_ == nullptr)
    return;
  std::exchange(caller_, nullptr)
      ->SendResponse(answer_head_.status, answer_head_.reason, RelayedFields(),
                     TakeBufferedAnswer());
}

void RelayedCall::AbortResponse(CallEndReason end) {
  context_->metrics->CountFailure(call_.request().service, end);
  const Instant now = EventLoop::Now();
  context_->log->Write(
      Event::kCallFailed, now,
      {{"id", call_.request().attempt_id},
       {"cause", std::string(kCallEndReasonNames.Name(end))},
       {"outcome", "broken off"},
       {"short_of", std::string(kPathFailureNames.Name(path_failure_))},
       {"sends", static_cast<int64_t>(call_.sends())},
       {"events", events_relayed_},
       {"silent_ms", MillisecondsBetween(last_relayed_, now)},
       {"after_ms", MillisecondsBetween(call_.request().arrived, now)},
       {"entry_stopping", context_->is_stopping()},
       {"last_event", call_.last_event()},
       {"last_target", dispatch_.target_id},
       {"path", PathText(dispatch_)}});
  if (caller_ != nullptr)
    std::exchange(caller_, nullptr)->Abort();
}

bool RelayedCall::IsGoodStreamHead() const {
  return call_.request().route->kind == CallKind::kStream &&
         answer_head_.status == 200 && answer_fields_.has_signature &&
         !answer_fields_.encoded &&
         (!resuming_ || SameFieldName(MediaType(answer_head_), media_type_));
}

void RelayedCall::OnResponseHead(HttpHead head) {
  answer_head_ = std::move(head);
  answer_fields_ = platform::DecodeResponse(answer_head_);
  streaming_ = IsGoodStreamHead();
  is_continuation_refused_ = resuming_ && !streaming_;
}

void RelayedCall::OnResponseBody(std::string_view data) {
  if (streaming_) {
    RelayEvents(data);
    return;
  }
  answer_body_.append(data);
  context_->buffered_bytes += data.size();
  if (answer_body_.size() > kMaxAnswerBytes ||
      context_->buffered_bytes > kMaxBufferedBytes) {
    DropBufferedAnswer();
    FailBadAnswer("answer too large");
  }
}

std::string RelayedCall::TakeBufferedAnswer() {
  context_->buffered_bytes -= answer_body_.size();
  return std::exchange(answer_body_, {});
}

void RelayedCall::FailBadAnswer(std::string_view evidence) {
  context_->client->Cancel(exchange_);
  FailSend({CallEndReason::kBadAnswer, false, false, {}}, evidence);
}

std::string_view RelayedCall::FindEventFault(const StreamEvent& event,
                                             int64_t last) const {
  // A target that resumes after an event must not repeat it; ids increase.
  if (event.id)
    return *event.id <= last ? "event out of order" : "";
  return awaits_first_event() && HasData(event) ? "event without id" : "";
}

std::string_view RelayedCall::CollectEvents(std::string_view data,
                                            int64_t* last) {
  chunk_.clear();
  chunk_ends_unnumbered_ = false;
  for (const StreamEvent& it : splitter_.Split(data)) {
    const std::string_view fault = FindEventFault(it, *last);
    if (!fault.empty())
      return fault;
    // Comments and the like before the first event repeat the first target's.
    if (!it.id && awaits_first_event())
      continue;
    if (it.id) {
      *last = *it.id;
      ++events_relayed_;
      if (++events_of_send_ == kEventsOfStartedOutput)
        context_->crash_guard->OnOutput(Guarded(), EventLoop::Now());
    }
    chunk_ends_unnumbered_ = !it.id && (chunk_ends_unnumbered_ || HasData(it));
    chunk_.append(it.text);
  }
  return splitter_.is_overlong() ? "event without end" : "";
}

void RelayedCall::RelayEvents(std::string_view data) {
  int64_t last = call_.last_event();
  const std::string_view fault = CollectEvents(data, &last);
  if (!fault.empty()) {
    FailBadAnswer(fault);
    return;
  }
  if (chunk_.empty() || caller_ == nullptr)
    return;
  const Instant now = EventLoop::Now();
  context_->selector->MarkPromptRead(&dispatch_);
  if (!call_.relaying())
    call_.OnResponseStarted(now);
  if (!head_relayed_) {
    head_relayed_ = true;
    media_type_ = MediaType(answer_head_);
    first_relayed_ = now;
    context_->metrics->ObserveFirstEvent(
        MillisecondsBetween(call_.request().arrived, now) / 1000);
    caller_->BeginStream(answer_head_.status, answer_head_.reason,
                         RelayedFields(), chunk_);
  } else {
    caller_->WriteChunk(chunk_);
  }
  RecordEventGap(last, now);
  call_.OnEventRelayed(last, now);
  if (chunk_ends_unnumbered_)
    call_.OnUnnumberedOutput();
  if (!paused_ && caller_->queued_bytes() > kStopReadingBytes) {
    paused_ = true;
    context_->client->SetReadingPaused(exchange_, true);
  }
}

void RelayedCall::RecordEventGap(int64_t event_id, Instant now) {
  const Instant last = std::exchange(last_relayed_, now);
  if (last == Instant{})
    return;
  const auto event_gap = std::chrono::duration_cast<Milliseconds>(now - last);
  if (event_gap <= longest_event_gap_)
    return;
  longest_event_gap_ = event_gap;
  event_after_longest_gap_ = event_id;
  if (IsLateEventGap(event_gap))
    late_gap_path_ = PathText(dispatch_);
}

bool RelayedCall::IsLateEventGap(Milliseconds event_gap) const {
  const int64_t objective = call_.request().route->event_gap_objective_ms;
  return objective > 0 && event_gap.count() > objective;
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
      model.tokens_per_event * static_cast<double>(events_relayed_),
      model.typical_output_tokens, request.max_output_tokens);
}

void RelayedCall::LogFinished(Instant now) {
  const CallRequest& request = call_.request();
  const Instant answered = head_relayed_ ? first_relayed_ : now;
  const double answer_ms = MillisecondsBetween(request.arrived, answered);
  const bool late =
      request.route->objective_ms > 0 &&
      answer_ms > static_cast<double>(request.route->objective_ms);
  const bool is_gap_late = IsLateEventGap(longest_event_gap_);
  if (!late && !is_gap_late && call_.sends() < 2)
    return;
  context_->log->Write(
      Event::kCallFinished, now,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"answer_ms", answer_ms},
       {"whole_ms", MillisecondsBetween(request.arrived, now)},
       {"late", late},
       {"longest_pause_ms", static_cast<int64_t>(longest_event_gap_.count())},
       {"pause_before_event", event_after_longest_gap_},
       {"pause_path", late_gap_path_},
       {"sends", static_cast<int64_t>(call_.sends())},
       {"target", dispatch_.target_id}});
}

bool RelayedCall::FailUnusableAnswer() {
  if (answer_fields_.not_run) {
    FailSend(
        {CallEndReason::kNoRoom, true, false, answer_fields_.fault_address},
        "not run, status " + std::to_string(answer_head_.status));
    return true;
  }
  if (is_success() &&
      (!answer_fields_.has_signature || answer_fields_.encoded)) {
    FailSend({CallEndReason::kBadAnswer, false, false, {}},
             "not the target's body");
    return true;
  }
  if (answer_head_.status >= kFirstServerErrorStatus || resuming_) {
    FailSend({CallEndReason::kBadAnswer, false, !resuming_, {}},
             "status " + std::to_string(answer_head_.status));
    return true;
  }
  return false;
}

void RelayedCall::OnResponseEnd() {
  const Instant now = EventLoop::Now();
  if (streaming_) {
    if (splitter_.has_partial_event() || !has_output()) {
      FailSend({CallEndReason::kBadAnswer, false, false, {}}, "stream cut");
      return;
    }
    FinishSend(false, now);
    if (!began_output())
      context_->crash_guard->OnOutput(Guarded(), now);
    call_.OnResponseComplete();
    context_->metrics->CountServed(call_.request().service);
    RecordResponseLength();
    LogFinished(now);
    if (caller_ != nullptr)
      std::exchange(caller_, nullptr)->EndStream();
    return;
  }
  if (FailUnusableAnswer())
    return;
  FinishSend(false, now);
  // An error response does not show that the target could write an answer.
  if (is_success())
    context_->crash_guard->OnOutput(Guarded(), now);
  call_.OnResponseComplete();
  context_->metrics->CountServed(call_.request().service);
  LogFinished(now);
  context_->metrics->ObserveAnswer(
      MillisecondsBetween(call_.request().arrived, now) / 1000);
  RelayBufferedResponse();
}

void RelayedCall::OnExchangeFailed(ExchangeFailure failure) {
  SendFailure send;
  send.not_run = failure == ExchangeFailure::kNotConnected;
  send.end = failure == ExchangeFailure::kBadAnswer
                 ? CallEndReason::kBadAnswer
                 : CallEndReason::kConnectionBroken;
  const std::string target_id = dispatch_.target_id;
  const Instant asked_at = sent_at_;
  if (failure == ExchangeFailure::kBroken) {
    context_->crash_guard->OnCallBroken(Guarded(), target_id, sent_at_,
                                        began_output(), EventLoop::Now());
  }
  FailSend(send, failure == ExchangeFailure::kNotConnected ? "not connected"
                 : failure == ExchangeFailure::kBroken     ? "broken"
                                                           : "bad answer");
  // Reported after FailSend() has rerouted this call, so that it is not
  // rerouted twice.
  if (failure == ExchangeFailure::kNotConnected)
    context_->on_target_fault({target_id, "not connected", asked_at, false});
}

void RelayedCall::FailSend(const SendFailure& failure,
                           std::string_view evidence) {
  const Instant now = EventLoop::Now();
  if (!send_in_flight_)
    return;
  FinishSend(true, now);
  context_->log->Write(Event::kCallSendFailed, now,
                       {{"id", call_.request().attempt_id},
                        {"send", static_cast<int64_t>(call_.sends())},
                        {"target", dispatch_.target_id},
                        {"evidence", std::string(evidence)},
                        {"at_fault", failure.fault_address},
                        {"not_run", failure.not_run},
                        {"after_ms", MillisecondsBetween(sent_at_, now)},
                        {"last_event", call_.last_event()},
                        {"parts", FormatTraits(call_.request().shared_parts)}});
  call_.OnSendFailed(failure, now);
  if (failure.fault_address.empty())
    return;
  if (const FleetTarget* it =
          context_->registry->FindAddress(failure.fault_address))
    context_->on_refusal_cause(it->record.id);
}

}  // namespace bbv
