#include "bbv_pipeline/request_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

// An attempt that produces no token for this time is abandoned.
constexpr Milliseconds kProgressTimeout{5000};
// How long a request that may have started waits for a usable chain.
constexpr Milliseconds kChainTimeout{3000};
// How long a request continues after its caller disconnected.
constexpr Milliseconds kDetachedTimeout{10'000};
// How long the sides have to answer for a request of a lost entry.
constexpr Milliseconds kResumeTimeout{400};
// A request is refused to its caller after this many refused attempts.
constexpr uint32_t kMaxRefusedAttempts = 3;
constexpr uint32_t kMaxFailedAttempts = 8;
// Range of the random gap between the attempt numbers of two entries.
constexpr uint64_t kMinAttemptDistance = 1ULL << 16;
constexpr uint64_t kMaxAttemptDistance = 1ULL << 48;
constexpr double kRetryBudgetRatio = 0.1;
constexpr double kRetryBudgetBurst = 50;
constexpr uint32_t kNoTargetRetryAfterMs = 500;

}  // namespace

RequestCoordinator::RequestCoordinator(std::string entry,
                                       uint64_t seed,
                                       TargetTable* table,
                                       TargetChooser* chooser,
                                       RequestActions* actions)
    : entry_(std::move(entry)),
      table_(table),
      chooser_(chooser),
      actions_(actions),
      retry_budget_(kRetryBudgetRatio, kRetryBudgetBurst),
      generator_(seed) {
  assert(table != nullptr && chooser != nullptr && actions != nullptr);
}

void RequestCoordinator::Start(ModelRequest request, Instant now) {
  assert(request.deadline > now && !request.prompt.empty());
  const RequestId id = request.id;
  if (requests_.contains(id)) {
    if (!Reattach(request))
      actions_->RefuseRequest(id, {Outcome::kUnknown, Reason::kBadRequest, 0});
    return;
  }
  Request& added = requests_[id];
  added.spec = std::move(request);
  AccountUsage& account_usage = account_usage_[added.spec.account];
  ++account_usage.open;
  account_usage.weight = added.spec.weight;
  if (!added.spec.resuming) {
    retry_budget_.RecordAttempt();
    StartAttempt(&added, now);
    return;
  }
  added.phase = Phase::kResuming;
  SkipAttemptNumbers(&added, 0);
  added.may_have_run = true;
  added.phase_deadline = now + kResumeTimeout;
  BroadcastResume(added.spec);
}

bool RequestCoordinator::Reattach(const ModelRequest& request) {
  Request& known = requests_.at(request.id);
  const bool allowed = request.resuming &&
                       known.spec.account == request.account &&
                       request.delivered_before <= known.tokens.size();
  if (!allowed)
    return false;
  known.detached = false;
  const std::vector<uint64_t> undelivered(
      known.tokens.begin() + request.delivered_before, known.tokens.end());
  if (!undelivered.empty())
    actions_->DeliverTokens(request.id, request.delivered_before, undelivered,
                            false);
  return true;
}

void RequestCoordinator::BroadcastResume(const ModelRequest& request) {
  wire::ResumeT resume;
  resume.request = request.id;
  resume.account = request.account;
  for (const auto& [name, entry] : table_->entries()) {
    if (entry.connected && entry.target.is_engine())
      actions_->Send(name, MakeFrame(wire::ResumeT(resume)));
  }
}

void RequestCoordinator::SkipAttemptNumbers(Request* request,
                                            uint64_t highest_attempt) {
  // The previous entry may be paused rather than dead and continue to assign
  // numbers, so start at a random distance above the highest known number.
  std::uniform_int_distribution<uint64_t> distance(kMinAttemptDistance,
                                                   kMaxAttemptDistance);
  request->next_attempt_number = highest_attempt + distance(generator_);
}

void RequestCoordinator::StartAttempt(Request* request, Instant now) {
  const Model& model = request->spec.model;
  // Capacity is not required if work has already been done, nor for an account
  // below its fair share: the fair queue of the side gives it precedence.
  const CapacityPolicy capacity_policy =
      request->may_have_run || IsBelowFairShare(request->spec)
          ? CapacityPolicy::kAnyUsable
          : CapacityPolicy::kOnlyWithCapacity;
  Chain chain =
      chooser_->ChooseChain(model, request->excluded, capacity_policy, now);
  // If no other chain is available, allow the stages that already failed this
  // request.
  if (chain.empty() && !chain.lacks_capacity && !request->excluded.empty()) {
    request->excluded.clear();
    chain =
        chooser_->ChooseChain(model, request->excluded, capacity_policy, now);
  }
  if (chain.empty()) {
    WaitForChain(request, chain.lacks_capacity, now);
    return;
  }
  request->phase = Phase::kRunning;
  request->chain = std::move(chain.stages);
  request->version = std::move(chain.version);
  request->attempt_number = request->next_attempt_number++;
  ++attempts_started_;
  request->progress_deadline = now + kProgressTimeout;
  for (const Target& stage : request->chain)
    table_->AddOutstanding(stage.name);
  SendAttempt(*request, now);
}

bool RequestCoordinator::IsBelowFairShare(const ModelRequest& request) const {
  uint64_t open = 0;
  uint64_t weights = 0;
  for (const auto& [account, account_usage] : account_usage_) {
    open += account_usage.open;
    weights += account_usage.weight;
  }
  // A single account has no fair share to fall below.
  return account_usage_.size() > 1 &&
         account_usage_.at(request.account).open * weights <
             open * request.weight;
}

void RequestCoordinator::WaitForChain(Request* request,
                                      bool lacks_capacity,
                                      Instant now) {
  // A request that has not started does not wait: its caller is told when to
  // retry instead.
  if (!request->may_have_run) {
    Refuse(request->spec.id,
           {Outcome::kNotRun,
            lacks_capacity ? Reason::kOverloaded : Reason::kNoTarget,
            kNoTargetRetryAfterMs});
    return;
  }
  if (request->phase != Phase::kWaitingForChain) {
    request->phase = Phase::kWaitingForChain;
    request->phase_deadline = now + kChainTimeout;
  }
}

void RequestCoordinator::SendAttempt(const Request& request, Instant now) {
  const ModelRequest& spec = request.spec;
  wire::AttemptT attempt;
  attempt.entry = entry_;
  attempt.account = spec.account;
  attempt.model = spec.model.name;
  attempt.version = request.version;
  for (const Target& stage : request.chain) {
    wire::StageT wire_stage;
    wire_stage.target = stage.name;
    wire_stage.address = stage.address;
    attempt.chain.push_back(std::move(wire_stage));
  }
  attempt.prompt_length = spec.prompt.size();
  attempt.end_position = spec.prompt.size() + spec.maximum_tokens;
  attempt.remaining_milliseconds = RemainingMilliseconds(spec.deadline, now);
  attempt.priority = spec.priority;
  attempt.weight = spec.weight;
  attempt.traceparent = spec.traceparent;
  attempt.delivered_tokens = request.tokens;

  wire::StepT step;
  step.request = spec.id;
  step.attempt_number = request.attempt_number;
  step.values = spec.prompt;
  step.values.insert(step.values.end(), request.tokens.begin(),
                     request.tokens.end());
  step.attempt = std::make_unique<wire::AttemptT>(std::move(attempt));
  wire::StepBatchT batch;
  batch.steps.push_back(std::move(step));
  LogEvent(Event::kAttemptStarted,
           {{"request", ToString(spec.id)},
            {"attempt", std::to_string(request.attempt_number)},
            {"first", request.chain.front().name}});
  actions_->Send(request.chain.front().name, MakeFrame(std::move(batch)));
}

void RequestCoordinator::ReleaseAttempt(const Request& request) {
  for (const Target& stage : request.chain) {
    wire::ReleaseT release;
    release.request = request.spec.id;
    release.attempt_number = request.attempt_number;
    wire::ReleaseBatchT batch;
    batch.releases.push_back(release);
    actions_->Send(stage.name, MakeFrame(std::move(batch)));
    table_->RemoveOutstanding(stage.name);
  }
}

void RequestCoordinator::Detach(const RequestId& id, Instant now) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  it->second.detached = true;
  it->second.detached_deadline = now + kDetachedTimeout;
}

void RequestCoordinator::EndRequest(RequestId id) {
  const auto it = requests_.find(id);
  assert(it != requests_.end());
  ReleaseAttempt(it->second);
  const auto account_usage = account_usage_.find(it->second.spec.account);
  if (--account_usage->second.open == 0)
    account_usage_.erase(account_usage);
  requests_.erase(it);
}

void RequestCoordinator::Refuse(RequestId id, const Refusal& refusal) {
  LogEvent(Event::kRequestRefused,
           {{"request", ToString(id)},
            {"outcome", std::string(kOutcomeNames.Name(refusal.outcome))},
            {"reason", std::string(kReasonNames.Name(refusal.reason))}});
  EndRequest(id);
  actions_->RefuseRequest(id, refusal);
}

void RequestCoordinator::HandleTokens(const wire::TokenBatchT& batch,
                                      Instant now) {
  for (const wire::TokenT& token : batch.tokens)
    HandleToken(token, now);
}

void RequestCoordinator::HandleToken(const wire::TokenT& token, Instant now) {
  const auto it = requests_.find(token.request);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (request.phase != Phase::kRunning ||
      token.attempt_number != request.attempt_number)
    return;
  const std::size_t expected =
      request.spec.prompt.size() + request.tokens.size();
  if (token.position < expected)
    return;
  if (token.position > expected) {
    FailAttempt(&request, "", Reason::kGap, now);
    return;
  }
  request.may_have_run = true;
  request.progress_deadline = now + kProgressTimeout;
  const uint32_t index = request.tokens.size();
  request.tokens.push_back(token.token);
  if (token.finished) {
    for (const Target& stage : request.chain)
      table_->RecordSuccess(stage.name);
    EndRequest(token.request);
  }
  actions_->DeliverTokens(token.request, index, {&token.token, 1},
                          token.finished);
}

void RequestCoordinator::HandleFailure(const std::string& peer,
                                       const wire::AttemptFailureT& failure,
                                       Instant now) {
  const auto it = requests_.find(failure.request);
  if (it == requests_.end())
    return;
  Request& request = it->second;
  if (request.phase != Phase::kRunning ||
      failure.attempt_number != request.attempt_number)
    return;
  const Reason reason = ReasonFromNumber(failure.reason);
  if (failure.outcome == Outcome::kNotRun) {
    const bool first_stage = request.chain.front().name == peer;
    if (!first_stage)
      request.may_have_run = true;
    request.excluded.insert(peer);
    HandleRefusedAttempt(&request, failure, now);
    return;
  }
  request.may_have_run = true;
  FailAttempt(&request, failure.target, reason, now);
}

void RequestCoordinator::HandleRefusedAttempt(
    Request* request,
    const wire::AttemptFailureT& failure,
    Instant now) {
  ++request->refused_attempts;
  ReleaseAttempt(*request);
  request->chain.clear();
  const bool retries_exhausted =
      request->refused_attempts >= kMaxRefusedAttempts ||
      !retry_budget_.TryTakeRetry();
  if (retries_exhausted && request->tokens.empty()) {
    const Outcome outcome =
        request->may_have_run ? Outcome::kRan : Outcome::kNotRun;
    Refuse(request->spec.id, {outcome, ReasonFromNumber(failure.reason),
                              failure.retry_after_milliseconds});
    return;
  }
  Retry(request, now);
}

void RequestCoordinator::FailAttempt(Request* request,
                                     const std::string& target,
                                     Reason reason,
                                     Instant now) {
  LogEvent(Event::kAttemptFailed,
           {{"request", ToString(request->spec.id)},
            {"attempt", std::to_string(request->attempt_number)},
            {"target", target},
            {"reason", std::string(kReasonNames.Name(reason))}});
  ReleaseAttempt(*request);
  request->chain.clear();
  request->may_have_run = true;
  if (!target.empty()) {
    request->excluded.insert(target);
    table_->RecordFault(target, now);
  }
  ++request->failed_attempts;
  if (request->failed_attempts >= kMaxFailedAttempts) {
    Refuse(request->spec.id, {Outcome::kRan, reason, kNoTargetRetryAfterMs});
    return;
  }
  Retry(request, now);
}

void RequestCoordinator::Retry(Request* request, Instant now) {
  // Another entry may have taken over the request and must not be disturbed.
  if (request->detached) {
    EndRequest(request->spec.id);
    return;
  }
  ++retries_;
  request->phase = Phase::kRunning;
  StartAttempt(request, now);
}

void RequestCoordinator::HandleResumed(const wire::ResumedT& resumed,
                                       Instant now) {
  const auto it = requests_.find(resumed.request);
  if (it == requests_.end() || it->second.phase != Phase::kResuming)
    return;
  Request& request = it->second;
  // Later attempts must be numbered above those that the lost entry started.
  if (resumed.attempt_number >= request.next_attempt_number)
    SkipAttemptNumbers(&request, resumed.attempt_number);
  if (!resumed.attempt)
    return;
  const auto generated_start = request.spec.prompt.size();
  if (resumed.first_position != generated_start ||
      resumed.tokens.size() < request.spec.delivered_before)
    return;
  LogEvent(Event::kRequestResumed,
           {{"request", ToString(resumed.request)},
            {"tokens", std::to_string(resumed.tokens.size())}});
  request.phase = Phase::kRunning;
  request.attempt_number = resumed.attempt_number;
  request.version = resumed.attempt->version;
  request.progress_deadline = now + kProgressTimeout;
  for (const wire::StageT& stage : resumed.attempt->chain) {
    Target target;
    target.name = stage.target;
    target.address = stage.address;
    request.chain.push_back(target);
    table_->AddOutstanding(target.name);
  }
  request.tokens = resumed.tokens;
  DeliverResumed(&request, resumed);
}

void RequestCoordinator::DeliverResumed(Request* request,
                                        const wire::ResumedT& resumed) {
  const RequestId id = request->spec.id;
  const uint32_t skip = request->spec.delivered_before;
  const std::vector<uint64_t> undelivered(request->tokens.begin() + skip,
                                          request->tokens.end());
  if (resumed.finished)
    EndRequest(id);
  if (!undelivered.empty() || resumed.finished)
    actions_->DeliverTokens(id, skip, undelivered, resumed.finished);
}

void RequestCoordinator::PeerLost(const std::string& peer, Instant now) {
  const auto lost = FindRequests([&](const Request& request) {
    return std::any_of(request.chain.begin(), request.chain.end(),
                       [&](const Target& stage) { return stage.name == peer; });
  });
  for (const RequestId& id : lost) {
    if (const auto it = requests_.find(id); it != requests_.end())
      FailAttempt(&it->second, peer, Reason::kPeerLost, now);
  }
}

void RequestCoordinator::Tick(Instant now) {
  const auto due = FindRequests([&](const Request& request) {
    return request.spec.deadline <= now ||
           (request.detached && request.detached_deadline <= now) ||
           request.phase != Phase::kRunning || request.progress_deadline <= now;
  });
  for (const RequestId& id : due) {
    if (const auto it = requests_.find(id); it != requests_.end())
      TickRequest(&it->second, now);
  }
}

void RequestCoordinator::TickRequest(Request* request, Instant now) {
  const RequestId id = request->spec.id;
  if (request->detached && request->detached_deadline <= now) {
    EndRequest(id);
    return;
  }
  if (request->spec.deadline <= now) {
    Refuse(id, {request->may_have_run || request->phase == Phase::kRunning
                    ? Outcome::kUnknown
                    : Outcome::kNotRun,
                Reason::kDeadline, 0});
    return;
  }
  switch (request->phase) {
    case Phase::kRunning:
      FailAttempt(request, "", Reason::kDeadline, now);
      return;
    case Phase::kResuming:
      if (request->phase_deadline > now)
        return;
      // The caller has received no token yet, so any continuation is valid.
      if (request->spec.delivered_before == 0)
        StartAttempt(request, now);
      else
        Refuse(id, {Outcome::kUnknown, Reason::kUnknownRequest, 0});
      return;
    case Phase::kWaitingForChain:
      if (request->phase_deadline <= now) {
        Refuse(id, {Outcome::kRan, Reason::kNoTarget, kNoTargetRetryAfterMs});
        return;
      }
      StartAttempt(request, now);
      return;
  }
}

std::vector<RequestId> RequestCoordinator::FindRequests(
    const std::function<bool(const Request&)>& predicate) const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (predicate(request))
      ids.push_back(id);
  }
  return ids;
}

}  // namespace bbv
