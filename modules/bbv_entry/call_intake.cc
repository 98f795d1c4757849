#include "bbv_entry/call_intake.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

// Ended calls that are kept until the end of the tick, above which requests
// that callers have pipelined wait.
constexpr std::size_t kMaxEndedCalls = 512;
// Part of the connections that may be accepted beyond their number while others
// are about to close after their answers.
constexpr std::size_t kSurplusDivisor = 8;
constexpr Milliseconds kDefaultCallerTimeout{30'000};
constexpr int kReservedDescriptors = 400;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// Retry-After in seconds while this entry is not ready.
constexpr std::string_view kNotReadyRetryAfter = "0.5";
// Retry-After in seconds while other entries of the zone serve.
constexpr std::string_view kElsewhereRetryAfter = "0.05";
constexpr double kMillisecondsPerSecond = 1000;
// Bounds of Retry-After for bodies that find no room. Room comes back when
// calls end.
constexpr Milliseconds kMinRoomDelay{500};
constexpr Milliseconds kMaxRoomDelay{8000};

}  // namespace

CallIntake::CallIntake(const Parts& parts, std::function<bool()> is_ready)
    : parts_(parts), is_ready_(std::move(is_ready)) {}

void CallIntake::Accept(std::unique_ptr<TcpStream> stream) {
  const auto limit = static_cast<std::size_t>(std::max(
      64,
      (parts_.settings->maximum_connections - kReservedDescriptors) * 3 / 4));
  if (callers_.size() >= limit && !MakeRoom(limit)) {
    parts_.log->Write(Event::kCallerTurnedAway, EventLoop::Now(),
                      {{"connections", static_cast<int64_t>(callers_.size())}});
    return;
  }
  const uint64_t id = next_connection_++;
  auto connection =
      std::make_unique<CallerConnection>(id, std::move(stream), this);
  if (stop_began_)
    connection->DisableKeepAlive();
  else if (!is_ready_() && EventLoop::Now() < hold_until_)
    connection->PauseReading();
  callers_.emplace(id, std::move(connection));
}

bool CallIntake::MakeRoom(std::size_t limit) {
  const RoomForCaller room = EvictOne();
  const bool has_room = IsRoomNow(room);
  // More than one if connections above the limit were accepted before.
  if (has_room && callers_.size() >= limit)
    EvictOne();
  return has_room || (room == RoomForCaller::kAfterAnswer &&
                      callers_.size() < limit + limit / kSurplusDivisor);
}

RoomForCaller CallIntake::EvictOne() {
  const RoomForCaller room = EvictCaller(&callers_, EventLoop::Now());
  evicted_ += room == RoomForCaller::kEvicted ? 1 : 0;
  return room;
}

void CallIntake::OnTick(Instant now) {
  if (holding_ && (is_ready_() || now >= hold_until_)) {
    holding_ = false;
    std::vector<CallerConnection*> held;
    for (const auto& [id, connection] : callers_)
      held.push_back(connection.get());
    for (CallerConnection* it : held)
      it->Resume();
  }
  std::erase_if(callers_, [now](auto& it) { return !it.second->OnTick(now); });
}

void CallIntake::BeginStop(Instant stop_deadline, Instant now) {
  assert(!stop_began_);
  stop_began_ = now;
  stop_admission_.emplace(now, stop_deadline, &parts_.calls->durations());
  // Callers held since the start are answered now.
  hold_until_ = now;
  for (const auto& [id, connection] : callers_)
    connection->DisableKeepAlive();
}

void CallIntake::CloseIdle(Instant now) {
  for (const auto& [id, connection] : callers_)
    connection->CloseIfIdle(now);
  std::erase_if(callers_, [](const auto& it) { return it.second->closed(); });
}

void CallIntake::Abort() {
  for (const auto& [id, connection] : callers_)
    connection->Abort();
}

std::size_t CallIntake::queued_bytes() const {
  std::size_t queued = 0;
  for (const auto& [id, connection] : callers_)
    queued += connection->queued_bytes();
  return queued;
}

CallerLimits CallIntake::limits() const {
  CallerLimits limits;
  if (const FleetIndex* index = parts_.configuration->current().get())
    limits = index->configuration().limits;
  limits.body_timeout_ms = parts_.settings->body_timeout_ms;
  return limits;
}

bool CallIntake::TakesWaitingRequests() const {
  return parts_.calls->ended() < kMaxEndedCalls;
}

void CallIntake::Refuse(CallerConnection* connection,
                        const std::string& attempt_id,
                        const Refusal& refusal) {
  parts_.log->Write(Event::kCallRefused, EventLoop::Now(),
                    {{"id", attempt_id},
                     {"status", static_cast<int64_t>(refusal.status)},
                     {"cause", std::string(refusal.cause)},
                     {"outcome", "not-run"}});
  parts_.metrics->CountBadRequest(refusal.status);
  std::string fields;
  if (!attempt_id.empty())
    AppendField(platform::kAttemptIdField, attempt_id, &fields);
  if (!refusal.retry_after.empty())
    AppendField("Retry-After", refusal.retry_after, &fields);
  connection->SendResponse(refusal.status, {}, fields, {});
}

void CallIntake::OnRequest(CallerConnection* connection,
                           HttpHead head,
                           std::string body) {
  const Instant now = EventLoop::Now();
  const platform::RequestFields fields = platform::DecodeRequest(head);
  connection->SetRequestName(fields.attempt_id);
  const std::shared_ptr<FleetIndex>& index = parts_.configuration->current();
  if (index == nullptr) {
    Refuse(connection, fields.attempt_id,
           {kUnavailable, "no configuration", kNotReadyRetryAfter});
    return;
  }
  CallRequest request;
  if (const auto refusal = FindRefusal(*index, fields, head, now, &request)) {
    Refuse(connection, fields.attempt_id, *refusal);
    return;
  }
  if (body.size() > MemoryLedger::kMaxSmallBody)
    refused_bodies_.RecordAccepted(now);
  DescribeCall(*index, fields, &request);
  auto call = std::make_unique<RelayedCall>(
      parts_.context, index, connection, std::move(request), std::move(head),
      ShareHeldText(std::move(body), connection->TakeBodyHold()));
  // An earlier call that waited on this connection has been answered.
  parts_.admission_control->Remove(connection->id());
  RelayedCall* started = call.get();
  parts_.calls->Add(connection->id(), std::move(call), now);
  started->Start(now);
}

std::optional<CallIntake::Refusal> CallIntake::FindRefusal(
    const FleetIndex& index,
    const platform::RequestFields& fields,
    const HttpHead& head,
    Instant now,
    CallRequest* request) const {
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  const ServiceRoute* route = index.FindRoute(fields.host, path);
  if (route == nullptr)
    return Refusal{kNotFound, "no route", {}};
  request->route = route;
  request->arrived = now;
  request->caller_deadline =
      now + Milliseconds(fields.caller_timeout_ms.value_or(
                kDefaultCallerTimeout.count()));
  request->deadline = request->caller_deadline;
  if (route->timeout_ms > 0) {
    request->deadline =
        std::min(request->deadline, now + Milliseconds(route->timeout_ms));
  }
  if (stop_admission_) {
    const bool others_serve = parts_.peers->members().MostOfZoneServes(now);
    if (!stop_admission_->Accepts(*route, request->deadline, others_serve,
                                  now)) {
      return Refusal{kUnavailable, "stopping",
                     others_serve ? kElsewhereRetryAfter : kNotReadyRetryAfter};
    }
  }
  const bool keyed = !index.configuration().accounts.empty();
  if (keyed && !route->allow_anonymous) {
    request->account = index.FindAccount(fields.key);
    if (request->account == nullptr)
      return Refusal{kUnauthorized, "unknown key", {}};
  }
  if (fields.attempt_id.empty())
    return Refusal{kBadRequest, "no id", {}};
  return std::nullopt;
}

void CallIntake::DescribeCall(const FleetIndex& index,
                              const platform::RequestFields& fields,
                              CallRequest* request) const {
  request->attempt_id = fields.attempt_id;
  request->service =
      FleetIndex::PickService(*request->route, HashBytes(fields.attempt_id));
  request->priority =
      index.PriorityRank(request->service, *request->route, request->account);
  request->has_several_priorities =
      index.HasSeveralPriorities(request->service);
  request->prompt_tokens = fields.prompt_tokens;
  request->max_output_tokens = fields.max_answer_tokens;
  const ServiceDescription* service = index.FindService(request->service);
  if (service != nullptr && service->engine) {
    request->output_tokens = parts_.response_length_estimator->EstimateTokens(
        request->service, service->engine->typical_output_tokens,
        request->max_output_tokens);
  }
  request->last_event = fields.last_event.value_or(kNoEvent);
  request->shared_parts = PartTraits(fields.prompt_parts);
}

void CallIntake::OnCallerGone(CallerConnection* connection) {
  RelayedCall* call = parts_.calls->Find(connection->id());
  if (call == nullptr)
    return;
  const Instant now = EventLoop::Now();
  parts_.admission_control->Remove(connection->id());
  call->OnCallerGone(now);
  parts_.calls->Retire(connection->id(), now);
}

int CallIntake::OnBadRequest(CallerConnection*, int status) {
  // Only the configuration says which requests are too large.
  const bool is_limit_unknown =
      parts_.configuration->current() == nullptr &&
      (status == kBodyTooLarge || status == kHeadTooLarge);
  const int answered = is_limit_unknown ? kUnavailable : status;
  parts_.metrics->CountBadRequest(answered);
  parts_.log->Write(
      Event::kCallRefused, EventLoop::Now(),
      {{"status", static_cast<int64_t>(answered)},
       {"cause", is_limit_unknown ? "no configuration" : "malformed request"}});
  return answered;
}

void CallIntake::OnBodyRefused(CallerConnection* connection) {
  const std::string attempt_id =
      platform::DecodeRequest(connection->head()).attempt_id;
  connection->SetRequestName(attempt_id);
  const Milliseconds delay = refused_bodies_.ReserveDelay(
      kMinRoomDelay, kMaxRoomDelay, EventLoop::Now());
  const std::string retry_after = std::to_string(
      static_cast<double>(delay.count()) / kMillisecondsPerSecond);
  Refuse(connection, attempt_id, {kUnavailable, "memory", retry_after});
}

void CallIntake::OnConnectionEnd(CallerConnection* connection,
                                 const CallerConnectionEnd& end) {
  if (!end.is_incomplete())
    return;
  const Instant now = EventLoop::Now();
  const std::string* attempt_id =
      end.request_partial ? connection->head().Find(platform::kAttemptIdField)
                          : &connection->request_name();
  parts_.log->Write(
      Event::kCallerConnectionEnded, now,
      {{"id", attempt_id == nullptr ? std::string() : *attempt_id},
       {"connection", static_cast<int64_t>(connection->id())},
       {"by", std::string(kCallerEndCauseNames.Name(end.cause))},
       {"request", end.response_begun    ? "answering"
                   : end.request_open    ? "open"
                   : end.request_partial ? "partial"
                                         : "none"},
       {"read", static_cast<int64_t>(end.bytes_read)},
       {"written", static_cast<int64_t>(end.bytes_written)},
       {"unsent", static_cast<int64_t>(end.bytes_unsent)},
       {"unread", static_cast<int64_t>(end.bytes_unread)},
       {"stopping_ms",
        stop_began_ ? (now - *stop_began_) / Milliseconds(1) : int64_t{-1}}});
}

}  // namespace bbv
