#include "bbv_entry/relayed_call.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kConnectTimeout{250};
// Answers that are not streams are buffered and relayed whole, up to this size.
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
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
      call_(std::move(request), this) {
  assert(context != nullptr && caller != nullptr);
}

RelayedCall::~RelayedCall() {
  for (const auto& it : sends_) {
    CloseSend(it.get());
    DropBufferedAnswer(it.get());
  }
}

const CallDispatch& RelayedCall::path() const {
  static const CallDispatch kNoPath;
  return active_ == nullptr ? kNoPath : active_->dispatch;
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
       {"target", path().target_id},
       {"after_ms", MillisecondsBetween(call_.request().arrived, now)},
       {"last_event", call_.last_event()},
       {"path", PathText(path())}});
  call_.OnCallerLeft(now);
}

void RelayedCall::OnTick(Instant now) {
  if (paused_ && caller_ != nullptr) {
    // The gap is caused by the caller, not by a fault on the path.
    call_.OnEventRelayed(call_.last_event(), now);
    if (caller_->queued_bytes() < kResumeReadingBytes) {
      paused_ = false;
      context_->client->SetReadingPaused(active_->exchange, false);
    }
  }
  for (std::size_t n = 0; n < sends_.size(); ++n) {
    TargetSend* it = sends_[n].get();
    if (!it->is_continuation_refused)
      continue;
    // The body that is still to come is of no use.
    context_->client->Cancel(it->exchange);
    FailUnusableAnswer(it);
  }
  call_.OnTick(now);
}

void RelayedCall::OnPathFault(const std::string& target_id, Instant now) {
  const auto& ids = path().hop_ids;
  const bool affected =
      is_sending() && !call_.is_path_broken() &&
      std::find(ids.begin(), ids.end(), target_id) != ids.end();
  const int sends = call_.sends();
  call_.OnPathFault(target_id, now);
  if (!affected)
    return;
  context_->log->Write(Event::kCallPathLost, now,
                       {{"id", call_.request().attempt_id},
                        {"hop", target_id},
                        {"way_on", std::string(ContinuationText(call_, sends))},
                        {"target", path().target_id},
                        {"hops", static_cast<int64_t>(path().hop_ids.size())},
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

void RelayedCall::ChangePath(const CallDispatch& path, Instant) {
  // A silent target carries the order out when it goes on. Its answer is then
  // the only way to learn the path of the run.
  PostOrder(context_->client,
            {path.target_id, path.target_address,
             platform::EncodeChangePathOrder(call_.request().attempt_id,
                                             path.hop_addresses, path.layers),
             call_.request().deadline},
            [self = std::weak_ptr<RelayedCall*>(self_), send = active_,
             path](const OrderAnswer& answer) {
              const auto call = self.lock();
              // Ignore the answer if its send has ended: it does not apply to
              // the next one.
              if (call != nullptr && (*call)->active_ == send &&
                  (*call)->is_sending())
                (*call)->OnPathChangeAnswer(answer, path);
            });
}

void RelayedCall::OnPathChangeAnswer(const OrderAnswer& answer,
                                     const CallDispatch& path) {
  const Instant now = EventLoop::Now();
  context_->log->Write(Event::kCallPathChanged, now,
                       {{"id", call_.request().attempt_id},
                        {"target", active_->dispatch.target_id},
                        {"status", static_cast<int64_t>(answer.status)},
                        {"at_fault", answer.fault_address},
                        {"last_event", call_.last_event()}});
  if (answer.is_accepted()) {
    context_->selector->RemoveInFlight(&active_->dispatch);
    active_->dispatch = path;
    context_->selector->AddInFlight(active_->dispatch);
  }
  if (answer.status == 0) {
    call_.OnPathChangeUnanswered(now);
    return;
  }
  call_.OnPathChanged(path, answer.is_accepted(), answer.fault_address, now);
}

void RelayedCall::Send(const CallDispatch& dispatch, Instant now) {
  const CallRequest& request = call_.request();
  sends_.push_back(std::make_unique<TargetSend>(this, call_.sends(), dispatch,
                                                head_relayed_, now));
  TargetSend* send = sends_.back().get();
  send->body_hold =
      MemoryLedger::Hold(context_->memory_ledger, MemoryLedger::Use::kAnswer);
  const bool is_replacement = is_sending();
  if (is_replacement) {
    replacements_.push_back(send);
  } else {
    if (active_ != nullptr)
      DropBufferedAnswer(active_);
    active_ = send;
    paused_ = false;
  }
  context_->selector->AddInFlight(send->dispatch);
  if (send->number == 1)
    context_->retry_after_scheduler(request.service)->RecordAccepted(now);
  if (send->number > 1) {
    context_->log->Write(
        Event::kCallSent, now,
        {{"id", request.attempt_id},
         {"send", static_cast<int64_t>(send->number)},
         {"target", dispatch.target_id},
         {"hops", static_cast<int64_t>(dispatch.hop_ids.size())},
         {"after_event", dispatch.last_event},
         {"beside", is_replacement ? active_->dispatch.target_id : ""},
         {"remaining_ms",
          int64_t{RemainingMilliseconds(request.deadline, now)}}});
  }
  send->exchange = context_->client->Send(MakeExchange(*send, now), send);
}

ExchangeRequest RelayedCall::MakeExchange(const TargetSend& send,
                                          Instant now) const {
  const CallRequest& request = call_.request();
  const CallDispatch& dispatch = send.dispatch;
  platform::ForwardFields fields;
  if (request.account != nullptr)
    fields.account = request.account->name;
  fields.remaining_ms = RemainingMilliseconds(request.deadline, now);
  if (request.has_unlike_priorities)
    fields.priority = request.priority;
  fields.target_id = dispatch.target_id;
  if (!dispatch.layers.empty()) {
    fields.hop_addresses = dispatch.hop_addresses;
    fields.hop_layers = dispatch.layers;
  }
  if (dispatch.last_event >= 0)
    fields.last_event = dispatch.last_event;
  fields.body_bytes = body_->size();
  ExchangeRequest exchange;
  exchange.address = ParseSocketAddress(dispatch.target_address).value();
  exchange.bytes = platform::EncodeForwardedHead(head_, fields);
  exchange.body = body_;
  exchange.id_field = platform::kAttemptIdField;
  exchange.attempt_id = request.attempt_id;
  // The peer may have closed an idle connection without notice, and an unsafe
  // call that was sent on it cannot be repeated.
  exchange.may_reuse = request.route->kind != CallKind::kUnsafe;
  exchange.connect_deadline = std::min(now + kConnectTimeout, request.deadline);
  return exchange;
}

void RelayedCall::CancelSend(SendCancelReason reason, Instant now) {
  if (!is_sending())
    return;
  LogCancelled(*active_, reason, now);
  CloseSend(active_);
}

void RelayedCall::CancelReplacement(int send,
                                    SendCancelReason reason,
                                    Instant now) {
  TargetSend* replacement = TakeReplacement(send);
  LogCancelled(*replacement, reason, now);
  CloseSend(replacement);
  DropBufferedAnswer(replacement);
}

void RelayedCall::PromoteReplacement(int send) {
  assert(!is_sending());
  DropBufferedAnswer(active_);
  active_ = TakeReplacement(send);
  paused_ = false;
}

bool RelayedCall::IsReplacement(const TargetSend* send) const {
  return std::find(replacements_.begin(), replacements_.end(), send) !=
         replacements_.end();
}

TargetSend* RelayedCall::TakeReplacement(int number) {
  const auto it = std::find_if(
      replacements_.begin(), replacements_.end(),
      [number](const TargetSend* send) { return send->number == number; });
  assert(it != replacements_.end());
  TargetSend* send = *it;
  replacements_.erase(it);
  return send;
}

void RelayedCall::LogCancelled(const TargetSend& send,
                               SendCancelReason reason,
                               Instant now) {
  // Callers that leave have a line of their own.
  if (reason == SendCancelReason::kCallerLeft)
    return;
  const auto broken_since = call_.path_broken_since();
  context_->log->Write(
      Event::kCallSendCancelled, now,
      {{"id", call_.request().attempt_id},
       {"reason", std::string(kSendCancelReasonNames.Name(reason))},
       {"send", static_cast<int64_t>(send.number)},
       {"target", send.dispatch.target_id},
       {"after_ms", MillisecondsBetween(send.sent_at, now)},
       {"path_broken_ms",
        broken_since ? MillisecondsBetween(*broken_since, now) : -1.0},
       {"heard_ms_ago", HeardMillisecondsAgo(send.dispatch, now)},
       {"last_event", call_.last_event()},
       {"entry_stopping", context_->is_stopping()}});
}

void RelayedCall::CloseSend(TargetSend* send) {
  if (!send->in_flight)
    return;
  FinishSend(send, false, send->sent_at);
  context_->client->Cancel(send->exchange);
}

int64_t RelayedCall::HeardMillisecondsAgo(const CallDispatch& path,
                                          Instant now) const {
  const FleetTarget* target = context_->registry->Find(path.target_id);
  if (target == nullptr || target->heard_at == Instant{})
    return -1;
  return RemainingMilliseconds(now, target->heard_at);
}

void RelayedCall::FinishSend(TargetSend* send, bool failed, Instant now) {
  send->in_flight = false;
  send->is_continuation_refused = false;
  context_->selector->RemoveInFlight(&send->dispatch);
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
  AdmissionQueue::CallParameters parameters;
  parameters.service = request.service;
  if (request.account != nullptr)
    parameters.account = request.account->name;
  parameters.priority = request.priority;
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
       {"last_target", path().target_id},
       {"heard_ms_ago", HeardMillisecondsAgo(path(), now)},
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
  const HttpHead& head = active_->head;
  const std::string* connection = head.Find("Connection");
  for (const HttpField& it : head.fields) {
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
      ->SendSharedResponse(active_->head.status, active_->head.reason,
                           RelayedFields(), TakeBufferedAnswer(active_));
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
       {"heard_ms_ago", HeardMillisecondsAgo(path(), now)},
       {"after_ms", MillisecondsBetween(call_.request().arrived, now)},
       {"entry_stopping", context_->is_stopping()},
       {"last_event", call_.last_event()},
       {"last_target", path().target_id},
       {"path", PathText(path())}});
  if (caller_ != nullptr)
    std::exchange(caller_, nullptr)->Abort();
}

bool RelayedCall::IsGoodStreamHead(const TargetSend& send) const {
  return call_.request().route->kind == CallKind::kStream &&
         send.head.status == 200 && send.fields.has_signature &&
         !send.fields.encoded &&
         (!send.resuming || SameFieldName(MediaType(send.head), media_type_));
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
  const bool too_large = bytes > kMaxAnswerBytes;
  if (too_large || !send->body_hold.GrowTo(bytes)) {
    DropBufferedAnswer(send);
    FailBadAnswer(send, too_large ? "answer too large" : "no memory left");
    return;
  }
  send->body.append(data);
}

std::shared_ptr<const std::string> RelayedCall::TakeBufferedAnswer(
    TargetSend* send) {
  return ShareHeldText(std::exchange(send->body, {}),
                       std::move(send->body_hold));
}

void RelayedCall::FailBadAnswer(TargetSend* send, std::string_view evidence) {
  context_->client->Cancel(send->exchange);
  FailSend(send, {CallEndReason::kBadAnswer, false, false, {}}, evidence);
}

std::string_view RelayedCall::FindEventFault(const TargetSend& send,
                                             const StreamEvent& event,
                                             int64_t last) {
  // A target that resumes after an event must not repeat it; ids increase.
  if (event.id)
    return *event.id <= last ? "event out of order" : "";
  return send.awaits_first_event() && HasData(event) ? "event without id" : "";
}

std::string_view RelayedCall::CollectEvents(TargetSend* send,
                                            std::string_view data,
                                            int64_t* last) {
  chunk_.clear();
  chunk_ends_unnumbered_ = false;
  for (const StreamEvent& it : send->splitter.Split(data)) {
    const std::string_view fault = FindEventFault(*send, it, *last);
    if (!fault.empty())
      return fault;
    // Comments and the like before the first event repeat the first target's.
    if (!it.id && !HasData(it) && send->events == 0 &&
        (send->resuming || IsReplacement(send)))
      continue;
    if (it.id) {
      *last = *it.id;
      ++events_relayed_;
      if (++send->events == TargetSend::kEventsOfStartedOutput)
        context_->crash_guard->OnOutput(Guarded(), EventLoop::Now());
    }
    chunk_ends_unnumbered_ = !it.id && (chunk_ends_unnumbered_ || HasData(it));
    chunk_.append(it.text);
  }
  return send->splitter.is_overlong() ? "event without end" : "";
}

void RelayedCall::AcceptOutput(TargetSend* send, Instant now) {
  if (IsReplacement(send))
    call_.OnReplacementOutput(send->number, now);
}

void RelayedCall::RelayEvents(TargetSend* send, std::string_view data) {
  int64_t last = call_.last_event();
  const std::string_view fault = CollectEvents(send, data, &last);
  if (!fault.empty()) {
    FailBadAnswer(send, fault);
    return;
  }
  if (chunk_.empty() || caller_ == nullptr)
    return;
  const Instant now = EventLoop::Now();
  AcceptOutput(send, now);
  context_->selector->MarkPromptRead(&send->dispatch);
  if (!call_.relaying())
    call_.OnResponseStarted(now);
  WriteEvents(*send, now);
  RecordEventGap(last, now);
  call_.OnEventRelayed(last, now);
  if (chunk_ends_unnumbered_)
    call_.OnUnnumberedOutput();
  if (!paused_ && caller_->queued_bytes() > kStopReadingBytes) {
    paused_ = true;
    context_->client->SetReadingPaused(send->exchange, true);
  }
}

void RelayedCall::WriteEvents(const TargetSend& send, Instant now) {
  if (head_relayed_) {
    caller_->WriteChunk(chunk_);
    return;
  }
  head_relayed_ = true;
  media_type_ = MediaType(send.head);
  first_relayed_ = now;
  context_->metrics->ObserveFirstEvent(
      MillisecondsBetween(call_.request().arrived, now) / 1000);
  caller_->BeginStream(send.head.status, send.head.reason, RelayedFields(),
                       chunk_);
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
    late_gap_path_ = PathText(path());
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
       {"target", path().target_id}});
}

bool RelayedCall::FailUnusableAnswer(TargetSend* send) {
  if (send->fields.not_run) {
    FailSend(send,
             {CallEndReason::kNoRoom, true, false, send->fields.fault_address},
             "not run, status " + std::to_string(send->head.status));
    return true;
  }
  if (send->is_success() &&
      (!send->fields.has_signature || send->fields.encoded)) {
    FailSend(send, {CallEndReason::kBadAnswer, false, false, {}},
             "not the target's body");
    return true;
  }
  if (send->head.status >= kFirstServerErrorStatus || send->resuming) {
    FailSend(send, {CallEndReason::kBadAnswer, false, !send->resuming, {}},
             "status " + std::to_string(send->head.status));
    return true;
  }
  return false;
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
  LogFinished(now);
  context_->metrics->ObserveAnswer(
      MillisecondsBetween(call_.request().arrived, now) / 1000);
  RelayBufferedResponse();
}

void RelayedCall::FinishStream(TargetSend* send, Instant now) {
  // A replacement that has brought no event yet cannot end the stream.
  if (IsReplacement(send) || send->splitter.has_partial_event() ||
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
  LogFinished(now);
  if (caller_ != nullptr)
    std::exchange(caller_, nullptr)->EndStream();
}

void RelayedCall::OnExchangeFailed(TargetSend* send, ExchangeFailure failure) {
  SendFailure send_failure;
  send_failure.not_run = failure == ExchangeFailure::kNotConnected;
  send_failure.end = failure == ExchangeFailure::kBadAnswer
                         ? CallEndReason::kBadAnswer
                         : CallEndReason::kConnectionBroken;
  const std::string target_id = send->dispatch.target_id;
  const Instant asked_at = send->sent_at;
  if (failure == ExchangeFailure::kBroken) {
    context_->crash_guard->OnCallBroken(Guarded(), target_id, asked_at,
                                        send->began_output(), EventLoop::Now());
  }
  FailSend(send, send_failure,
           failure == ExchangeFailure::kNotConnected ? "not connected"
           : failure == ExchangeFailure::kBroken     ? "broken"
                                                     : "bad answer");
  // Reported after FailSend() has rerouted this call, so that it is not
  // rerouted twice.
  if (failure == ExchangeFailure::kNotConnected)
    context_->on_target_fault({target_id, "not connected", asked_at, false});
}

void RelayedCall::FailSend(TargetSend* send,
                           const SendFailure& failure,
                           std::string_view evidence) {
  const Instant now = EventLoop::Now();
  if (!send->in_flight)
    return;
  FinishSend(send, true, now);
  context_->log->Write(
      Event::kCallSendFailed, now,
      {{"id", call_.request().attempt_id},
       {"send", static_cast<int64_t>(send->number)},
       {"target", send->dispatch.target_id},
       {"evidence", std::string(evidence)},
       {"at_fault", failure.fault_address},
       {"not_run", failure.not_run},
       {"after_ms", MillisecondsBetween(send->sent_at, now)},
       {"heard_ms_ago", HeardMillisecondsAgo(send->dispatch, now)},
       {"last_event", call_.last_event()},
       {"parts", FormatTraits(call_.request().shared_parts)}});
  if (IsReplacement(send)) {
    DropBufferedAnswer(TakeReplacement(send->number));
    call_.OnReplacementFailed(send->number, failure, now);
  } else {
    call_.OnSendFailed(failure, now);
  }
  if (failure.fault_address.empty())
    return;
  if (const FleetTarget* it =
          context_->registry->FindAddress(failure.fault_address))
    context_->on_refusal_cause(it->record.id);
}

}  // namespace bbv
