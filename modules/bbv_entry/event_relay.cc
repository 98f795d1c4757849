#include "bbv_entry/event_relay.h"

#include <cassert>
#include <utility>

#include "bbv_entry/call_format.h"
#include "bbv_entry/response_head.h"

namespace bbv {
namespace {

// Amounts of data not yet taken by the caller at which reading of the answer
// stops and resumes.
constexpr std::size_t kStopReadingBytes = 256U << 10U;
constexpr std::size_t kResumeReadingBytes = 64U << 10U;

}  // namespace

std::string_view EventRelay::FindFault(const TargetSend& send,
                                       const StreamEvent& event,
                                       int64_t last) {
  // A target that resumes after an event must not repeat it; ids increase.
  if (event.id)
    return *event.id <= last ? "event out of order" : "";
  return send.awaits_first_event() && HasData(event) ? "event without id" : "";
}

EventRelay::Batch EventRelay::Collect(TargetSend* send,
                                      bool is_replacement,
                                      std::string_view data,
                                      int64_t last_event) {
  chunk_.clear();
  Batch batch;
  batch.last_event = last_event;
  for (const StreamEvent& it : send->splitter.Split(data)) {
    batch.fault = FindFault(*send, it, batch.last_event);
    if (!batch.fault.empty())
      return batch;
    // Comments and the like before the first event repeat the first target's.
    if (!it.id && !HasData(it) && send->events == 0 &&
        (send->resuming || is_replacement))
      continue;
    if (it.id) {
      batch.last_event = *it.id;
      ++events_;
      if (++send->events == TargetSend::kEventsOfStartedOutput)
        batch.has_started_output = true;
    }
    batch.ends_unnumbered = !it.id && (batch.ends_unnumbered || HasData(it));
    chunk_.append(it.text);
  }
  batch.text = chunk_;
  if (send->splitter.is_overlong())
    batch.fault = "event without end";
  return batch;
}

void EventRelay::Write(const Batch& batch,
                       const HttpHead& head,
                       const CallDispatch& path,
                       CallerConnection* caller,
                       Instant now) {
  assert(batch.fault.empty());
  if (has_begun_) {
    caller->WriteChunk(batch.text);
  } else {
    has_begun_ = true;
    media_type_ = MediaType(head);
    first_relayed_ = now;
    caller->BeginStream(head.status, head.reason, RelayedFields(head),
                        batch.text);
  }
  RecordGap(batch.last_event, path, now);
}

bool EventRelay::IsContinuedBy(const TargetSend& send) const {
  return !send.resuming || SameFieldName(MediaType(send.head), media_type_);
}

bool EventRelay::PauseIfFull(std::size_t queued_bytes) {
  if (paused_ || queued_bytes <= kStopReadingBytes)
    return false;
  paused_ = true;
  return true;
}

bool EventRelay::ResumeIfTaken(std::size_t queued_bytes) {
  if (!paused_ || queued_bytes >= kResumeReadingBytes)
    return false;
  paused_ = false;
  return true;
}

void EventRelay::RecordGap(int64_t event_id,
                           const CallDispatch& path,
                           Instant now) {
  const Instant last = std::exchange(last_relayed_, now);
  if (last == Instant{})
    return;
  const auto gap = std::chrono::duration_cast<Milliseconds>(now - last);
  if (gap <= longest_gap_)
    return;
  longest_gap_ = gap;
  event_after_longest_gap_ = event_id;
  if (IsLate(gap))
    late_gap_path_ = PathText(path);
}

}  // namespace bbv
