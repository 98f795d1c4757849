#ifndef MODULES_BBV_FLEET_FLEET_CALL_H_
#define MODULES_BBV_FLEET_FLEET_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/path_chooser.h"

namespace bbv {

// What is known about whether a call ran at any target.
enum class ExecutionStatus : uint8_t { kNotRun, kRan, kUnknown };
inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames(
    {"not-run", "ran", "unknown"});

// Why a call ended without a target's answer.
enum class CallEndReason : uint8_t {
  kNoTarget,
  kNoRoom,
  kNoAttemptsLeft,
  kRetryBudgetSpent,
  kDeadline,
  kConnectionBroken,
  kBadAnswer,
  kStopping,
};
inline constexpr NameTable<CallEndReason, 8> kCallEndReasonNames(
    {"no-target", "no-room", "no-attempts-left", "retry-budget-spent",
     "deadline", "connection-broken", "bad-answer", "stopping"});

// Stands for an event's id before the first event.
inline constexpr int64_t kNoEvent = -1;

// What one caller asked for, decoded from its request.
struct CallRequest {
  // The caller's id of this attempt; targets give it back in their answers.
  std::string attempt_id;
  const ServiceRoute* route = nullptr;
  const FleetAccount* account = nullptr;
  std::string service;
  // When the caller gives up.
  Instant caller_deadline;
  // The earlier of that and the route's timeout.
  Instant deadline;
  Instant arrived;
  // Tokens that the prompt has and that the answer may have.
  double prompt_tokens = 0;
  double output_tokens = 0;
  // Most tokens that the caller takes; 0 when it did not say.
  double max_output_tokens = 0;
  // Last event that the caller has already; kNoEvent for none.
  int64_t last_event = kNoEvent;
};

// Where a call is sent: a path for engines, one target for plain services.
struct CallDispatch {
  std::string target_id;
  std::string target_address;
  // Empty for plain services.
  std::vector<LayerRange> layers;
  std::vector<std::string> hop_ids;
  std::vector<std::string> hop_addresses;
  double tokens = 0;
  // Prompt tokens that every hop has to read, counted as many times as other
  // entries are expected to send the like at the same moment.
  double unread_tokens = 0;
  // Milliseconds for which its prompt occupies links between zones.
  double link_ms = 0;
  // Expected milliseconds between two events of a stream.
  double event_ms = 0;
  // Last event that the caller has when it is sent; the target goes on after
  // it.
  int64_t last_event = kNoEvent;
};

// The final word on a call that is not a target's answer.
struct CallFailure {
  CallEndReason end = CallEndReason::kNoTarget;
  ExecutionStatus execution_status = ExecutionStatus::kNotRun;
  int status = 503;
  // When room is expected; set with 503 only.
  std::optional<Milliseconds> retry_after;
};

// How one send ended without a whole good answer.
struct SendFailure {
  CallEndReason end = CallEndReason::kConnectionBroken;
  // Proved by the target, or no byte of the call left this process.
  bool not_run = false;
  // The target's own complete failure answer is at hand and may be relayed.
  bool has_buffered_response = false;
  // Address of the target that the answer names as the cause.
  std::string fault_address;
};

// What a call makes others do. All methods are called from the call's own
// methods and must not call back into it.
class CallPorts {
 public:
  virtual ~CallPorts() = default;
  // Chooses where to send; on failure sets `end` and returns nothing.
  virtual std::optional<CallDispatch> Choose(
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      Instant now,
      CallEndReason* end) = 0;
  // Chooses how the send under way can go on from its first target without
  // hops that were lost; nothing when it cannot.
  virtual std::optional<CallDispatch> ChooseReroute(
      const CallRequest& request,
      const CallDispatch& current,
      const std::vector<std::string>& excluded,
      Instant now) = 0;
  // Orders the first target to go on along `path`; what it answers comes by
  // OnPathChanged.
  virtual void ChangePath(const CallDispatch& path, Instant now) = 0;
  // Sends the call.
  virtual void Send(const CallDispatch& dispatch, Instant now) = 0;
  // Closes the connection of the send that is under way.
  virtual void CancelSend() = 0;
  // Takes one repeat from the shared budget.
  virtual bool TakeRetry(Instant now) = 0;
  // Answers the caller; nothing of an answer was relayed before.
  virtual void Fail(const CallFailure& failure) = 0;
  // Relays the failure answer at hand.
  virtual void RelayBufferedResponse() = 0;
  // Ends the caller's connection, since part of an answer was relayed.
  virtual void AbortResponse(CallEndReason end) = 0;
  // Lets a call that found no room wait until `deadline`; false when it cannot.
  virtual bool WaitForRoom(const CallRequest& request, Instant deadline) = 0;
  // When a call refused now may come back.
  virtual Milliseconds RetryAfter(const CallRequest& request,
                                  CallEndReason end) = 0;
};

// The course of one call: sends, repeats, resumption and the final word.
//
// Deterministic: takes what happened and when, and acts through its ports.
// Which failures are followed by another send:
//
//   known       safe     unsafe   resumable stream
//   not run     again    again    again
//   unknown     again    502/504  again, after the last event relayed
//   ran         again    relayed  again, after the last event relayed
//
// Each within the deadline, the route's attempts and the retry budget. Ends
// are final and said at once.
//
// When a hop behind the first one is lost, the first target is ordered to go on
// along a mended path: the same run continues, whatever the kind of call, and
// no repeat is spent. Only where that cannot be done the call goes elsewhere;
// where nothing can, it stays until layers return or its send ends.
//
// A stream that is under way and finds no path
// waits for one for a short time, since lost layers are loaded elsewhere
// meanwhile; so does one for which the budget is spent. A call that finds no
// room waits for a part of its objective before it is refused.
// Thread safety: none, owned by the thread of its connection.
class FleetCall {
 public:
  // `ports` must outlive the call.
  FleetCall(CallRequest request, CallPorts* ports);

  // Sends the call first. Call once.
  void Start(Instant now);

  // The send under way ended without a good answer.
  void OnSendFailed(const SendFailure& failure, Instant now);

  // The good answer's head has come; for streams, it is relayed.
  void OnResponseStarted(Instant now);

  // An event was relayed to the caller. Ids ascend.
  void OnEventRelayed(int64_t event_id, Instant now);

  // The good answer is complete and relayed.
  void OnResponseComplete();

  // The caller has left.
  void OnCallerLeft();

  // Ends what is overdue and looks for a path again; call often.
  void OnTick(Instant now);

  // Sends a call that waits for room. Returns false when there is none yet.
  bool TrySendWaiting(Instant now);

  // A call has waited for room in vain.
  void OnRoomWaitTimeout(Instant now);

  // A hop of the path was found dead: goes on without it at once.
  void OnPathFault(const std::string& target_id, Instant now);

  // The first target took the changed path, or did not; `fault_address` is the
  // hop that it names as the cause.
  void OnPathChanged(bool accepted,
                     const std::string& fault_address,
                     Instant now);

  // Whether the stream has been silent for much longer than its path's usual
  // pace.
  bool IsStalled(Instant now) const;

  bool done() const { return done_; }
  bool relaying() const { return relaying_; }
  // When the path under way last brought an event; nothing before its first
  // one, and while a way on is looked for.
  std::optional<Instant> last_event_time() const;
  // Whether the path under way lacks a hop.
  bool is_path_broken() const { return path_broken_since_.has_value(); }
  // Whether the first target was ordered to change the path and has not
  // answered.
  bool is_changing_path() const { return next_path_.has_value(); }
  const CallRequest& request() const { return request_; }
  const CallDispatch& dispatch() const { return dispatch_; }
  int sends() const { return sends_; }
  int64_t last_event() const { return last_event_; }
  ExecutionStatus execution_status() const { return execution_status_; }
  const std::vector<std::string>& excluded() const { return excluded_; }

 private:
  Instant RoomDeadline() const;
  bool WaitsForPath(Instant now) const;
  bool CanRetry(const SendFailure& failure) const;
  void SendTo(CallDispatch dispatch, Instant now);
  void ChooseAndSend(const SendFailure& failure, Instant now);
  void EndCall(CallEndReason end, bool has_buffered_response, Instant now);
  void Exclude(const SendFailure& failure);
  void ExcludeTarget(const std::string& id);
  bool IsExcluded(const std::string& id) const;
  // Looks for a way on for a call whose path lost a hop.
  void TryReroute(Instant now);
  void TryResend(Instant now);
  void CheckBrokenPath(Instant now);
  bool UsesExcludedHop() const;
  // Ends the send under way, which may have run.
  void CancelActiveSend();

  CallRequest request_;
  CallPorts* ports_;
  CallDispatch dispatch_;
  std::vector<std::string> excluded_;
  ExecutionStatus execution_status_ = ExecutionStatus::kNotRun;
  // Sends in all, and those of them that may have run.
  int sends_ = 0;
  int possible_runs_ = 0;
  bool sending_ = false;
  // Whether a stream under way waits for a path.
  bool waiting_for_path_ = false;
  SendFailure last_failure_;
  // Set while the path lacks a hop.
  std::optional<Instant> path_broken_since_;
  // A changed path that the first target has not answered yet, and until when
  // it may.
  std::optional<CallDispatch> next_path_;
  Instant change_deadline_{};
  int path_changes_ = 0;
  bool relaying_ = false;
  bool done_ = false;
  int64_t last_event_ = kNoEvent;
  Instant last_progress_{};
  // Since when the path under way has been expected to bring the next event.
  Instant silent_since_{};
  Instant next_path_search_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_CALL_H_
