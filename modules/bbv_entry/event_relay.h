#ifndef MODULES_BBV_ENTRY_EVENT_RELAY_H_
#define MODULES_BBV_ENTRY_EVENT_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_entry/target_send.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"

namespace bbv {

// Relays the events of one call's stream to its caller: splits what targets
// send, checks the order of the events, and keeps how they were relayed. The
// events may come from several sends in turn.
//
// Thread safety: none, the loop's thread.
class EventRelay {
 public:
  // Events of a send that are to be relayed.
  struct Batch {
    // Why the target's output is faulty; empty if it is not. A faulty batch is
    // not to be relayed.
    std::string_view fault;
    // Whether the fault is output that brings the stream no further and does
    // not seem to end.
    bool is_endless = false;
    // Valid until the next Collect().
    std::string_view text;
    // Id of the last event.
    int64_t last_event = kNoEvent;
    // Whether data without an id follows the last event.
    bool ends_unnumbered = false;
    // Whether the target has begun the output and has gone on with it.
    bool has_started_output = false;
  };

  // `gap_objective` is the longest time between two events that the route
  // allows; 0 if there is none.
  explicit EventRelay(Milliseconds gap_objective)
      : gap_objective_(gap_objective) {}

  // Takes the events that `data` of `send` completes. `last_event` is the id of
  // the last event that was relayed; `is_replacement` says whether the send has
  // not taken over yet.
  Batch Collect(TargetSend* send,
                bool is_replacement,
                std::string_view data,
                int64_t last_event);

  // Writes a batch to `caller`. `head` is that of the send whose events they
  // are; it is relayed before the first ones. Precondition: the batch is not
  // faulty.
  void Write(const Batch& batch,
             const HttpHead& head,
             const CallDispatch& path,
             CallerConnection* caller,
             Instant now);

  // Whether the head was relayed.
  bool has_begun() const { return has_begun_; }
  // Whether the head of `send` continues the stream, if any was relayed.
  bool IsContinuedBy(const TargetSend& send) const;

  // Whether reading of the answer is paused because the caller reads too
  // slowly.
  bool is_paused() const { return paused_; }
  // Returns true when reading has to stop, or may go on, with `queued_bytes`
  // that the caller has not taken. `has_memory` says whether the instance has
  // memory left for them.
  bool PauseIfFull(std::size_t queued_bytes, bool has_memory);
  bool ResumeIfTaken(std::size_t queued_bytes);
  // Another send, whose answer is read, takes over.
  void OnSendChanged() { paused_ = false; }

  int64_t events() const { return events_; }
  // When the first and the last events were relayed.
  Instant first_relayed() const { return first_relayed_; }
  Instant last_relayed() const { return last_relayed_; }
  // Longest time between two relayed events, the id of the event after it, and
  // the path of the call at that time if it was late.
  Milliseconds longest_gap() const { return longest_gap_; }
  int64_t event_after_longest_gap() const { return event_after_longest_gap_; }
  const std::string& late_gap_path() const { return late_gap_path_; }
  // Whether the longest time between two events exceeds the objective.
  bool is_gap_late() const { return IsLate(longest_gap_); }

 private:
  static std::string_view FindFault(const TargetSend& send,
                                    const StreamEvent& event,
                                    int64_t last);
  void RecordGap(int64_t event_id, const CallDispatch& path, Instant now);
  bool IsLate(Milliseconds gap) const {
    return gap_objective_ > Milliseconds(0) && gap > gap_objective_;
  }

  const Milliseconds gap_objective_;
  bool has_begun_ = false;
  // Type of the body whose head was relayed.
  std::string media_type_;
  bool paused_ = false;
  int64_t events_ = 0;
  Instant first_relayed_{};
  Instant last_relayed_{};
  Milliseconds longest_gap_{};
  int64_t event_after_longest_gap_ = kNoEvent;
  std::string late_gap_path_;
  std::string chunk_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_EVENT_RELAY_H_
