#include "judge.h"

#include <algorithm>

namespace bbv {

void Judge::ExpectAnswer(const RequestId& id,
                         const std::vector<uint64_t>& prompt,
                         uint32_t tokens) {
  Answer& answer = answers_[KeyOf(id)];
  answer.reference =
      std::make_unique<standins::ReferenceSequence>(weights_, layers_, prompt);
  answer.expected = tokens;
}

bool Judge::IsNextToken(const Answer& answer, uint64_t token) const {
  return std::any_of(answer.attempts.begin(), answer.attempts.end(),
                     [&](uint64_t attempt_number) {
                       return answer.reference->Next(attempt_number) == token;
                     });
}

bool Judge::IsHeard(const RequestId& id, bool ends, const std::string& what) {
  Answer& answer = answers_[KeyOf(id)];
  if (answer.ended >= answer.asked)
    Violation(what + " after the end of " + ToString(id));
  if (ends)
    ++answer.ended;
  return !answer.finished && !answer.refused;
}

void Judge::Delivered(const RequestId& id,
                      uint32_t first_index,
                      std::span<const uint64_t> tokens,
                      bool finished) {
  Answer& answer = answers_[KeyOf(id)];
  if (!IsHeard(id, finished, "delivery"))
    return;
  if (first_index != answer.received)
    Violation("token " + std::to_string(first_index) + " of " + ToString(id) +
              " delivered when " + std::to_string(answer.received) +
              " was due");
  for (const uint64_t token : tokens) {
    const uint32_t index = answer.received++;
    if (index >= answer.expected || !IsNextToken(answer, token))
      Violation("wrong token " + std::to_string(index) + " of " + ToString(id));
    answer.reference->Append(token);
  }
  answer.finished = finished;
  if (finished && answer.received != answer.expected)
    Violation("answer to " + ToString(id) + " is not whole");
}

void Judge::Refused(const RequestId& id, const Refusal& refusal) {
  Answer& answer = answers_[KeyOf(id)];
  if (!IsHeard(id, true, "refusal"))
    return;
  answer.refused = true;
  answer.refusal = refusal;
  if (refusal.outcome == Outcome::kNotRun && engine_rows_[KeyOf(id)] > 0)
    Violation("refused as not run, but ran: " + ToString(id));
}

void Judge::CallerGone(const RequestId& id) {
  answers_[KeyOf(id)].excused = true;
}

void Judge::CallStarted(const std::string& caller, const RequestId& id) {
  calls_[caller].id = id;
}

void Judge::CallAnswered(const std::string& caller) {
  Call& call = calls_[caller];
  if (call.state != "open")
    Violation("second answer to call " + caller);
  call.state = "ran";
  if (runs_[KeyOf(call.id)] == 0)
    Violation("reported as run but never run: call " + caller);
}

void Judge::CallRefused(const std::string& caller, const Refusal& refusal) {
  Call& call = calls_[caller];
  if (call.state != "open")
    Violation("second answer to call " + caller);
  call.state = kOutcomeNames.Name(refusal.outcome);
}

void Judge::CallerOfCallGone(const std::string& caller) {
  calls_[caller].excused = true;
}

void Judge::EngineRan(const std::string& target,
                      const standins::EngineTraceRow& row,
                      Instant now) {
  ++engine_rows_[KeyOf(row.request)];
  answers_[KeyOf(row.request)].attempts.insert(row.attempt_number);
  auto& covered = coverage_[{KeyOf(row.request), row.attempt_number}];
  if (covered.size() < row.position + row.count)
    covered.resize(row.position + row.count, 0);
  for (uint32_t it = row.position; it < row.position + row.count; ++it) {
    if (covered[it] != row.first_layer)
      Violation("layer " + std::to_string(row.first_layer) + " at position " +
                std::to_string(it) + " of " + ToString(row.request) +
                " ran after layer " + std::to_string(covered[it]));
    if (row.end_layer > layers_)
      Violation("layers beyond the model at " + target);
    covered[it] = row.end_layer;
  }
  const auto forbidden = forbidden_.find(target);
  if (row.position == 0 && forbidden != forbidden_.end() &&
      now >= forbidden->second)
    Violation("new work at leaving target " + target);
}

void Judge::ServiceRan(const RequestId& id, bool may_repeat) {
  const int n = ++runs_[KeyOf(id)];
  if (n > 1 && !may_repeat)
    Violation("call " + ToString(id) + " ran " + std::to_string(n) + " times");
}

void Judge::ForbidNewWork(const std::string& target, Instant from) {
  forbidden_.try_emplace(target, from);
}

void Judge::AllowNewWork(const std::string& target) {
  forbidden_.erase(target);
}

void Judge::ConfigurationSeen(const std::string& node,
                              uint64_t version,
                              uint64_t digest) {
  uint64_t& last = node_versions_[node];
  if (version < last)
    Violation(node + " went back from configuration " + std::to_string(last) +
              " to " + std::to_string(version));
  last = version;
  const auto [it, inserted] = digests_.try_emplace(version, digest);
  if (!inserted && it->second != digest)
    Violation(node + " has another configuration " + std::to_string(version));
}

void Judge::Finish() {
  for (const auto& [key, answer] : answers_) {
    if (!answer.finished && !answer.refused && !answer.excused)
      Violation("no answer to " + ToString(RequestId(key.first, key.second)));
  }
  std::set<std::pair<uint64_t, uint64_t>> may_have_run;
  for (const auto& [caller, call] : calls_) {
    if (call.state == "open" && !call.excused)
      Violation("no answer to call " + caller);
    if (call.state != "not-run")
      may_have_run.insert(KeyOf(call.id));
  }
  for (const auto& [caller, call] : calls_) {
    if (!may_have_run.contains(KeyOf(call.id)) && runs_[KeyOf(call.id)] > 0)
      Violation("refused as not run, but ran: call " + caller);
  }
}

bool Judge::IsComplete(const RequestId& id) const {
  const auto it = answers_.find(KeyOf(id));
  return it != answers_.end() && it->second.finished;
}

uint32_t Judge::ReceivedCount(const RequestId& id) const {
  const auto it = answers_.find(KeyOf(id));
  return it == answers_.end() ? 0 : it->second.received;
}

int Judge::RunCount(const RequestId& id) const {
  const auto it = runs_.find(KeyOf(id));
  return it == runs_.end() ? 0 : it->second;
}

std::string Judge::CallState(const std::string& caller) const {
  const auto it = calls_.find(caller);
  return it == calls_.end() ? "unknown-caller" : it->second.state;
}

std::string Judge::RequestState(const RequestId& id) const {
  const auto it = answers_.find(KeyOf(id));
  if (it == answers_.end())
    return "unknown-request";
  if (it->second.finished)
    return "complete";
  if (it->second.refused)
    return std::string(kOutcomeNames.Name(it->second.refusal.outcome));
  return "open";
}

}  // namespace bbv
