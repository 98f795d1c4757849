#include "bbv_entry/call_log.h"

#include "bbv_entry/call_format.h"

namespace bbv {
namespace {

// Returns how a call proceeds that lost a hop after `sends_before` sends.
std::string_view ContinuationText(const FleetCall& call, int sends_before) {
  if (call.is_changing_path())
    return "path";
  if (call.sends() > sends_before)
    return "elsewhere";
  return call.done() ? "none" : "waits";
}

}  // namespace

void CallLog::WriteCallerLeft(const CallDispatch& path, Instant now) const {
  context_->log->Write(
      Event::kCallerLeft, now,
      {{"id", id()},
       {"target", path.target_id},
       {"after_ms", MillisecondsBetween(call_->request().arrived, now)},
       {"last_event", call_->last_event()},
       {"path", PathText(path)}});
}

void CallLog::WritePathLost(const std::string& hop_id,
                            int sends_before,
                            const CallDispatch& path,
                            Instant now) const {
  context_->log->Write(
      Event::kCallPathLost, now,
      {{"id", id()},
       {"hop", hop_id},
       {"way_on", std::string(ContinuationText(*call_, sends_before))},
       {"target", path.target_id},
       {"hops", static_cast<int64_t>(path.hop_ids.size())},
       {"last_event", call_->last_event()}});
}

void CallLog::WritePathChanged(const std::string& target_id,
                               const OrderAnswer& answer,
                               Instant now) const {
  context_->log->Write(Event::kCallPathChanged, now,
                       {{"id", id()},
                        {"target", target_id},
                        {"status", answer.logged_status()},
                        {"at_fault", answer.fault_address},
                        {"last_event", call_->last_event()}});
}

void CallLog::WriteSent(const TargetSend& send,
                        const std::string& beside,
                        Instant now) const {
  const CallDispatch& dispatch = send.dispatch;
  context_->log->Write(
      Event::kCallSent, now,
      {{"id", id()},
       {"send", static_cast<int64_t>(send.number)},
       {"target", dispatch.target_id},
       {"hops", static_cast<int64_t>(dispatch.hop_ids.size())},
       {"after_event", dispatch.last_event},
       {"beside", beside},
       {"remaining_ms",
        int64_t{RemainingMilliseconds(call_->request().deadline, now)}}});
}

void CallLog::WriteSendCancelled(const TargetSend& send,
                                 SendCancelReason reason,
                                 Instant now) const {
  // Callers that leave have a line of their own.
  if (reason == SendCancelReason::kCallerLeft)
    return;
  const auto broken_since = call_->path_broken_since();
  context_->log->Write(
      Event::kCallSendCancelled, now,
      {{"id", id()},
       {"reason", std::string(kSendCancelReasonNames.Name(reason))},
       {"send", static_cast<int64_t>(send.number)},
       {"target", send.dispatch.target_id},
       {"after_ms", MillisecondsBetween(send.sent_at, now)},
       {"path_broken_ms",
        broken_since ? MillisecondsBetween(*broken_since, now) : -1.0},
       {"heard_ms_ago", HeardMillisecondsAgo(send.dispatch, now)},
       {"last_event", call_->last_event()},
       {"entry_stopping", context_->is_stopping()}});
}

void CallLog::WriteSendFailed(const TargetSend& send,
                              const SendFailure& failure,
                              std::string_view evidence,
                              Instant now) const {
  context_->log->Write(
      Event::kCallSendFailed, now,
      {{"id", id()},
       {"send", static_cast<int64_t>(send.number)},
       {"target", send.dispatch.target_id},
       {"evidence", std::string(evidence)},
       {"at_fault", failure.fault_address},
       {"not_run", failure.not_run},
       {"after_ms", MillisecondsBetween(send.sent_at, now)},
       {"heard_ms_ago", HeardMillisecondsAgo(send.dispatch, now)},
       {"last_event", call_->last_event()},
       {"parts", FormatTraits(call_->request().shared_parts)}});
}

void CallLog::WriteFailed(const CallFailure& failure,
                          PathFailure short_of,
                          const QuarantineRow* quarantine,
                          const CallDispatch& path,
                          Instant now) const {
  const CallRequest& request = call_->request();
  const bool refused = failure.execution_status == ExecutionStatus::kNotRun;
  context_->log->Write(
      refused ? Event::kCallRefused : Event::kCallFailed, now,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"status", static_cast<int64_t>(failure.status)},
       {"cause", std::string(kCallEndReasonNames.Name(failure.end))},
       {"short_of", std::string(kPathFailureNames.Name(short_of))},
       {"outcome",
        std::string(kExecutionStatusNames.Name(failure.execution_status))},
       {"sends", static_cast<int64_t>(call_->sends())},
       {"last_target", path.target_id},
       {"heard_ms_ago", HeardMillisecondsAgo(path, now)},
       {"parts", quarantine == nullptr ? std::string()
                                       : FormatTraits(quarantine->traits)},
       {"after_ms", MillisecondsBetween(request.arrived, now)},
       {"retry_after_ms",
        static_cast<int64_t>(
            failure.retry_after.value_or(Milliseconds(0)).count())}});
}

void CallLog::WriteAborted(CallEndReason end,
                           PathFailure short_of,
                           const CallDispatch& path,
                           Instant now) const {
  context_->log->Write(
      Event::kCallFailed, now,
      {{"id", id()},
       {"cause", std::string(kCallEndReasonNames.Name(end))},
       {"outcome", "broken off"},
       {"short_of", std::string(kPathFailureNames.Name(short_of))},
       {"sends", static_cast<int64_t>(call_->sends())},
       {"events", relay_->events()},
       {"silent_ms", MillisecondsBetween(relay_->last_relayed(), now)},
       {"heard_ms_ago", HeardMillisecondsAgo(path, now)},
       {"after_ms", MillisecondsBetween(call_->request().arrived, now)},
       {"entry_stopping", context_->is_stopping()},
       {"last_event", call_->last_event()},
       {"last_target", path.target_id},
       {"path", PathText(path)}});
}

void CallLog::WriteFinished(const CallDispatch& path, Instant now) const {
  const CallRequest& request = call_->request();
  const Instant answered = relay_->has_begun() ? relay_->first_relayed() : now;
  const double answer_ms = MillisecondsBetween(request.arrived, answered);
  const bool late =
      request.route->objective_ms > 0 &&
      answer_ms > static_cast<double>(request.route->objective_ms);
  if (!late && !relay_->is_gap_late() && call_->sends() < 2)
    return;
  context_->log->Write(
      Event::kCallFinished, now,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"answer_ms", answer_ms},
       {"whole_ms", MillisecondsBetween(request.arrived, now)},
       {"late", late},
       {"longest_pause_ms",
        static_cast<int64_t>(relay_->longest_gap().count())},
       {"pause_before_event", relay_->event_after_longest_gap()},
       {"pause_path", relay_->late_gap_path()},
       {"sends", static_cast<int64_t>(call_->sends())},
       {"target", path.target_id}});
}

int64_t CallLog::HeardMillisecondsAgo(const CallDispatch& path,
                                      Instant now) const {
  const FleetTarget* target = context_->registry->Find(path.target_id);
  if (target == nullptr || target->heard_at == Instant{})
    return -1;
  return RemainingMilliseconds(now, target->heard_at);
}

}  // namespace bbv
