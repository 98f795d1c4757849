#include "bbv_entry/event_relay.h"

#include <algorithm>
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
// The first of them while the instance has no memory left for answers.
constexpr std::size_t kStopReadingBytesWithoutMemory = 16U << 10U;
// Comments between two events, and their bytes: a target may send one now and
// then to keep its stream open.
constexpr int kMaxIdleParts = 1024;
constexpr std::size_t kMaxIdleBytes = 64U << 10U;
// Events at once that repeat earlier ones, above which a target does not seem
// to end.
constexpr int kMaxRepeatedEvents = 16;

int CountRepeated(const std::vector<StreamEvent>& events, int64_t last) {
  return static_cast<int>(std::count_if(
      events.begin(), events.end(),
      [last](const auto& it) { return it.id && *it.id <= last; }));
}

// Counts a part of a stream. Returns whether too many without an id or data
// have come since the last event.
bool IsEndless(TargetSend* send, const StreamEvent& part) {
  if (part.id || HasData(part)) {
    send->idle_parts = 0;
    send->idle_bytes = 0;
    return false;
  }
  send->idle_bytes += part.text.size();
  return ++send->idle_parts > kMaxIdleParts || send->idle_bytes > kMaxIdleBytes;
}

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
  const std::vector<StreamEvent>& events = send->splitter.Split(data);
  for (const StreamEvent& it : events) {
    batch.fault = FindFault(*send, it, batch.last_event);
    if (!batch.fault.empty()) {
      batch.is_endless =
          CountRepeated(events, batch.last_event) > kMaxRepeatedEvents;
      return batch;
    }
    if (IsEndless(send, it)) {
      batch.fault = "no event among comments";
      batch.is_endless = true;
      return batch;
    }
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
  if (send->splitter.is_overlong()) {
    batch.fault = "event without end";
    batch.is_endless = true;
  }
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

bool EventRelay::PauseIfFull(std::size_t queued_bytes, bool has_memory) {
  const std::size_t limit =
      has_memory ? kStopReadingBytes : kStopReadingBytesWithoutMemory;
  if (paused_ || queued_bytes <= limit)
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
