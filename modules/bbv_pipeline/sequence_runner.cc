#include "bbv_pipeline/sequence_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

// How long finished answers and sequences of lost entries are kept for callers
// that reconnect through another entry.
constexpr Milliseconds kRetention{15'000};
constexpr Milliseconds kTombstoneTtl{120'000};
constexpr uint32_t kMinRetryAfterMs = 100;
constexpr uint32_t kMaxRetryAfterMs = 5000;
// Later stages admit beyond their limit, since the earlier stages have already
// done work for the sequence.
constexpr uint32_t kLaterStageFactor = 2;

}  // namespace

SequenceRunner::SequenceRunner(std::string target,
                               SequenceLimits limits,
                               SequenceActions* actions)
    : target_(std::move(target)),
      limits_(limits),
      actions_(actions),
      limit_(limits.maximum_batch_sequences, limits.maximum_running) {
  assert(actions != nullptr);
  assert(limits.maximum_running > 0 && limits.maximum_batch_tokens > 0);
}

void SequenceRunner::SetLoadedVersions(std::vector<std::string> versions) {
  loaded_versions_ = std::move(versions);
}

void SequenceRunner::HandleSteps(const wire::StepBatchT& batch, Instant now) {
  for (const wire::StepT& step : batch.steps)
    HandleStep(step, now);
  StartIteration(now);
}

void SequenceRunner::HandleStep(const wire::StepT& step, Instant now) {
  const auto tombstone = tombstones_.find(step.request);
  if (tombstone != tombstones_.end() &&
      step.attempt_number <= tombstone->second.attempt_number)
    return;
  Sequence* sequence = Find(step.request);
  if (sequence != nullptr && step.attempt_number < sequence->attempt_number)
    return;
  if (sequence != nullptr && step.attempt_number > sequence->attempt_number) {
    Drop(step.request, now);
    sequence = nullptr;
  }
  if (sequence == nullptr)
    OpenSequence(step, now);
  else
    ContinueSequence(sequence, step, now);
}

void SequenceRunner::OpenSequence(const wire::StepT& step, Instant now) {
  if (!step.attempt || step.values.empty())
    return;
  const wire::AttemptT& attempt = *step.attempt;
  const auto stage = std::find_if(
      attempt.chain.begin(), attempt.chain.end(),
      [this](const wire::StageT& it) { return it.target == target_; });
  if (stage == attempt.chain.end()) {
    RefuseAttempt(attempt.entry, step, Reason::kBadRequest);
    return;
  }
  const bool first_stage = stage == attempt.chain.begin();
  Reason refusal = CheckAdmission(step, first_stage);
  if (refusal == Reason::kNone && attempt.remaining_milliseconds == 0)
    refusal = Reason::kDeadline;
  if (refusal != Reason::kNone) {
    RefuseAttempt(attempt.entry, step, refusal);
    return;
  }
  auto opened = std::make_unique<Sequence>();
  opened->request = step.request;
  opened->attempt_number = step.attempt_number;
  opened->attempt = attempt;
  opened->stage = stage - attempt.chain.begin();
  opened->values = step.values;
  opened->next_position = step.position;
  opened->tokens = attempt.delivered_tokens;
  opened->deadline = now + Milliseconds(attempt.remaining_milliseconds);
  opened->account = attempt.account;
  opened->weight = std::max<uint32_t>(attempt.weight, 1);
  opened->priority = attempt.priority;
  opened->cost = attempt.end_position;
  Sequence* sequence = opened.get();
  sequences_[step.request] = std::move(opened);
  if (first_stage) {
    sequence->state = State::kWaiting;
    waiting_.Push(sequence);
    AdmitWaiting();
  } else {
    ++running_count_;
    MakeReady(sequence);
  }
}

Reason SequenceRunner::CheckAdmission(const wire::StepT& step,
                                      bool first_stage) const {
  if (leaving_)
    return Reason::kLeaving;
  if (step.position != 0)
    return Reason::kGap;
  if (std::find(loaded_versions_.begin(), loaded_versions_.end(),
                step.attempt->version) == loaded_versions_.end())
    return Reason::kWrongVersion;
  const bool full =
      first_stage ? waiting_.size() >= limits_.maximum_queued &&
                        running_count_ >= limit_.limit()
                  : running_count_ >= std::size_t{limits_.maximum_running} *
                                          kLaterStageFactor;
  if (full)
    return Reason::kOverloaded;
  return Reason::kNone;
}

void SequenceRunner::RefuseAttempt(const std::string& entry,
                                   const wire::StepT& step,
                                   Reason reason) {
  wire::AttemptFailureT failure;
  failure.request = step.request;
  failure.attempt_number = step.attempt_number;
  failure.outcome = Outcome::kNotRun;
  failure.reason = static_cast<uint8_t>(reason);
  failure.retry_after_milliseconds = RetryAfterMilliseconds();
  actions_->Send(entry, MakeFrame(std::move(failure)));
}

void SequenceRunner::ContinueSequence(Sequence* sequence,
                                      const wire::StepT& step,
                                      Instant now) {
  if (step.values.empty() || sequence->state == State::kRetained)
    return;
  // While a step is in the engine, the stored result belongs to the previous
  // step.
  const bool repeats_last = !sequence->last_result.empty() &&
                            sequence->state != State::kInEngine &&
                            step.position == sequence->last_position;
  if (repeats_last) {
    OutgoingBatches outgoing;
    EmitResult(sequence, &outgoing);
    Flush(&outgoing);
    return;
  }
  const bool pending = sequence->state != State::kIdle;
  if (step.position == sequence->next_position && !pending) {
    sequence->values = step.values;
    MakeReady(sequence);
    return;
  }
  // A past step, or a duplicate of the one that is waiting or running, whose
  // result is sent only once.
  if (step.position <= sequence->next_position)
    return;
  FailSequence(sequence, "", Reason::kGap, now);
}

void SequenceRunner::FailSequence(Sequence* sequence,
                                  const std::string& target,
                                  Reason reason,
                                  Instant now) {
  wire::AttemptFailureT failure;
  failure.request = sequence->request;
  failure.attempt_number = sequence->attempt_number;
  failure.target = target;
  failure.outcome = Outcome::kRan;
  failure.reason = static_cast<uint8_t>(reason);
  actions_->Send(sequence->attempt.entry, MakeFrame(std::move(failure)));
  Drop(sequence->request, now);
}

void SequenceRunner::MakeReady(Sequence* sequence) {
  sequence->state = State::kReady;
  ready_.PushBack(sequence);
}

void SequenceRunner::AdmitWaiting() {
  while (!waiting_.empty() && running_count_ < limit_.limit()) {
    Sequence* sequence = waiting_.Pop();
    ++running_count_;
    MakeReady(sequence);
  }
}

void SequenceRunner::StartIteration(Instant now) {
  if (engine_busy_ || ready_.empty())
    return;
  // One version per call, since engines run one set of weights at a time.
  const std::string version = ready_.Front()->attempt.version;
  wire::EngineBatchT batch;
  batch.version = version;
  batch.releases = std::exchange(engine_releases_, {});
  std::size_t tokens = 0;
  std::vector<Sequence*> deferred;
  while (!ready_.empty() && tokens < limits_.maximum_batch_tokens &&
         batch.steps.size() < limits_.maximum_batch_sequences) {
    Sequence* sequence = ready_.PopFront();
    if (sequence->attempt.version != version) {
      deferred.push_back(sequence);
      continue;
    }
    sequence->state = State::kInEngine;
    wire::StepT step;
    step.request = sequence->request;
    step.attempt_number = sequence->attempt_number;
    step.position = sequence->next_position;
    step.values = std::move(sequence->values);
    sequence->values.clear();
    sequence->last_position = step.position;
    sequence->next_position += step.values.size();
    tokens += step.values.size();
    batch.steps.push_back(std::move(step));
  }
  limit_.Observe(batch.steps.size(), ready_.size(), running_count_);
  for (Sequence* sequence : deferred)
    ready_.PushBack(sequence);
  engine_busy_ = true;
  iteration_started_ = now;
  steps_run_ += batch.steps.size();
  actions_->RunEngine(std::move(batch));
}

void SequenceRunner::HandleEngineResults(const wire::EngineResultsT& results,
                                         Instant now) {
  assert(engine_busy_);
  engine_busy_ = false;
  const auto elapsed =
      std::chrono::duration_cast<Microseconds>(now - iteration_started_);
  step_microseconds_ = (step_microseconds_ * int64_t{7} + elapsed.count()) / 8;
  OutgoingBatches outgoing;
  for (const wire::EngineResultT& result : results.results)
    HandleResult(result, &outgoing, now);
  Flush(&outgoing);
  AdmitWaiting();
  StartIteration(now);
}

void SequenceRunner::HandleResult(const wire::EngineResultT& result,
                                  OutgoingBatches* outgoing,
                                  Instant now) {
  Sequence* sequence = Find(result.request);
  if (sequence == nullptr || sequence->state != State::kInEngine ||
      sequence->attempt_number != result.attempt_number)
    return;
  sequence->state = State::kIdle;
  if (result.status != wire::EngineStatus::kDone || result.values.empty()) {
    FailSequence(sequence, target_, Reason::kTargetFault, now);
    return;
  }
  sequence->last_result = result.values;
  if (sequence->is_last_stage()) {
    const uint32_t position = sequence->next_position;
    sequence->tokens.push_back(result.values.back());
    sequence->finished =
        result.finished || position + 1 >= sequence->attempt.end_position;
  }
  EmitResult(sequence, outgoing);
}

void SequenceRunner::EmitResult(Sequence* sequence, OutgoingBatches* outgoing) {
  if (sequence->is_last_stage()) {
    EmitTokens(sequence, sequence->next_position, outgoing);
    return;
  }
  const wire::StageT& next = sequence->attempt.chain[sequence->stage + 1];
  wire::StepT step;
  step.request = sequence->request;
  step.attempt_number = sequence->attempt_number;
  step.position = sequence->last_position;
  step.values = sequence->last_result;
  if (step.position == 0)
    step.attempt = std::make_unique<wire::AttemptT>(sequence->attempt);
  outgoing->stages[next.target] = next;
  outgoing->steps[next.target].steps.push_back(std::move(step));
}

void SequenceRunner::EmitTokens(Sequence* sequence,
                                uint32_t position,
                                OutgoingBatches* outgoing) {
  wire::TokenT token;
  token.request = sequence->request;
  token.attempt_number = sequence->attempt_number;
  token.position = position;
  token.token = sequence->last_result.back();
  token.finished = sequence->finished;
  outgoing->tokens[sequence->attempt.entry].tokens.push_back(token);
  if (sequence->finished)
    return;
  const wire::StageT& first = sequence->attempt.chain.front();
  wire::StepT step;
  step.request = sequence->request;
  step.attempt_number = sequence->attempt_number;
  step.position = position;
  step.values = {token.token};
  outgoing->stages[first.target] = first;
  outgoing->steps[first.target].steps.push_back(std::move(step));
}

void SequenceRunner::Flush(OutgoingBatches* outgoing) {
  for (auto& [entry, tokens] : outgoing->tokens)
    actions_->Send(entry, MakeFrame(std::move(tokens)));
  for (auto& [target, steps] : outgoing->steps) {
    if (target == target_) {
      // The only stage of a chain feeds its own next step.
      for (const wire::StepT& step : steps.steps)
        HandleStep(step, iteration_started_);
      continue;
    }
    actions_->SendToStage(target, outgoing->stages[target].address,
                          MakeFrame(std::move(steps)));
  }
}

void SequenceRunner::HandleEngineFault(Instant now) {
  assert(engine_busy_);
  engine_busy_ = false;
  std::vector<Sequence*> in_doubt;
  for (const auto& [id, sequence] : sequences_) {
    if (sequence->state == State::kInEngine)
      in_doubt.push_back(sequence.get());
  }
  for (Sequence* sequence : in_doubt)
    FailSequence(sequence, target_, Reason::kTargetFault, now);
  AdmitWaiting();
  StartIteration(now);
}

void SequenceRunner::HandleReleases(const std::string& peer,
                                    const wire::ReleaseBatchT& batch,
                                    Instant now) {
  for (const wire::ReleaseT& release : batch.releases) {
    Sequence* sequence = Find(release.request);
    if (sequence != nullptr && sequence->attempt.entry != peer)
      continue;
    const bool applies = sequence != nullptr &&
                         sequence->attempt_number <= release.attempt_number;
    AddTombstone(release.request, release.attempt_number, now);
    if (!applies)
      continue;
    const bool retain = sequence->finished && sequence->is_last_stage();
    if (!retain) {
      Drop(release.request, now);
      continue;
    }
    if (sequence->state != State::kRetained) {
      Unlink(sequence);
      sequence->state = State::kRetained;
    }
    sequence->deadline = now + kRetention;
  }
  AdmitWaiting();
  StartIteration(now);
}

void SequenceRunner::HandleResume(const std::string& peer,
                                  const wire::ResumeT& resume) {
  Sequence* sequence = Find(resume.request);
  if (sequence == nullptr || sequence->attempt.account != resume.account)
    return;
  sequence->attempt.entry = peer;
  wire::ResumedT resumed;
  resumed.request = resume.request;
  resumed.attempt_number = sequence->attempt_number;
  if (sequence->is_last_stage()) {
    resumed.attempt = std::make_unique<wire::AttemptT>(sequence->attempt);
    resumed.first_position = sequence->attempt.prompt_length;
    resumed.tokens = sequence->tokens;
    resumed.finished = sequence->finished;
  }
  actions_->Send(peer, MakeFrame(std::move(resumed)));
}

void SequenceRunner::PeerLost(const std::string& peer, Instant now) {
  std::vector<Sequence*> failed;
  for (const auto& [id, sequence] : sequences_) {
    if (sequence->state == State::kRetained)
      continue;
    const auto& chain = sequence->attempt.chain;
    const wire::StageT& next =
        sequence->is_last_stage() ? chain.front() : chain[sequence->stage + 1];
    if (next.target == peer)
      failed.push_back(sequence.get());
    else if (sequence->attempt.entry == peer)
      sequence->deadline = std::min(sequence->deadline, now + kRetention);
  }
  for (Sequence* sequence : failed)
    FailSequence(sequence, peer, Reason::kPeerLost, now);
  AdmitWaiting();
  StartIteration(now);
}

void SequenceRunner::Tick(Instant now) {
  std::vector<RequestId> expired;
  for (const auto& [id, sequence] : sequences_) {
    if (sequence->deadline <= now)
      expired.push_back(id);
  }
  for (const RequestId& id : expired)
    Drop(id, now);
  std::erase_if(tombstones_, [now](const auto& tombstone) {
    return tombstone.second.forget_at <= now;
  });
  AdmitWaiting();
  StartIteration(now);
}

void SequenceRunner::Unlink(Sequence* sequence) {
  switch (sequence->state) {
    case State::kWaiting:
      waiting_.Remove(sequence);
      return;
    case State::kReady:
      ready_.Remove(sequence);
      --running_count_;
      return;
    case State::kIdle:
    case State::kInEngine:
      --running_count_;
      return;
    case State::kRetained:
      return;
  }
}

void SequenceRunner::Drop(RequestId request, Instant now) {
  const auto it = sequences_.find(request);
  assert(it != sequences_.end());
  const uint64_t attempt_number = it->second->attempt_number;
  Unlink(it->second.get());
  sequences_.erase(it);
  wire::ReleaseT release;
  release.request = request;
  release.attempt_number = attempt_number;
  engine_releases_.push_back(release);
  AddTombstone(request, attempt_number, now);
}

void SequenceRunner::AddTombstone(const RequestId& request,
                                  uint64_t attempt_number,
                                  Instant now) {
  Tombstone& tombstone = tombstones_[request];
  tombstone.attempt_number = std::max(tombstone.attempt_number, attempt_number);
  tombstone.forget_at = std::max(tombstone.forget_at, now + kTombstoneTtl);
}

uint32_t SequenceRunner::RetryAfterMilliseconds() const {
  // Approximately the time to process the queue, at one sequence per iteration.
  const uint64_t wait =
      static_cast<uint64_t>(step_microseconds_) * (waiting_.size() + 1) / 1000;
  return std::clamp<uint64_t>(wait, kMinRetryAfterMs, kMaxRetryAfterMs);
}

SequenceRunner::Sequence* SequenceRunner::Find(const RequestId& request) {
  const auto it = sequences_.find(request);
  return it == sequences_.end() ? nullptr : it->second.get();
}

}  // namespace bbv
