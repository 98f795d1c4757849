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

// Whether a call ran at any target, as far as is known.
enum class ExecutionStatus : uint8_t { kNotRun, kRan, kUnknown };
inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames(
    {"not-run", "ran", "unknown"});

// Why a call ended without a response from a target.
enum class CallEndReason : uint8_t {
  kNoTarget,
  kNoRoom,
  kNoAttemptsLeft,
  kRetryBudgetSpent,
  kDeadline,
  kConnectionBroken,
  kBadAnswer,
  kStopping,
  // Calls that share some trait with it crash their targets.
  kQuarantined,
  // The call may have crashed its target and is not repeated.
  kCrashSuspect,
  // The rate limits of the targets leave this entry no request soon.
  kRateLimit,
};
inline constexpr NameTable<CallEndReason, 11> kCallEndReasonNames(
    {"no-target", "no-room", "no-attempts-left", "retry-budget-spent",
     "deadline", "connection-broken", "bad-answer", "stopping", "quarantined",
     "crash-suspect", "rate-limit"});

// Why an active send is cancelled.
enum class SendCancelReason : uint8_t {
  // Another send brought output in its place.
  kReplaced,
  // It was to replace a send that has gone on.
  kNotNeeded,
  kDeadline,
  kCallerLeft,
  kQuarantined,
  kStopping,
};
inline constexpr NameTable<SendCancelReason, 6> kSendCancelReasonNames(
    {"replaced", "not-needed", "deadline", "caller-left", "quarantined",
     "stopping"});

// Event id before the first event.
inline constexpr int64_t kNoEvent = -1;

// One call, decoded from the caller's request.
struct CallRequest {
  // Id of this attempt, chosen by the caller; targets echo it in their
  // responses.
  std::string attempt_id;
  const ServiceRoute* route = nullptr;
  const FleetAccount* account = nullptr;
  std::string service;
  // Rank of its priority among those of its service, see
  // FleetIndex::PriorityRank(); 0 is the highest.
  int priority = 0;
  // Whether calls of the service may differ in priority.
  bool has_several_priorities = false;
  // When the caller stops waiting.
  Instant caller_deadline;
  // Earlier of `caller_deadline` and the route's timeout.
  Instant deadline;
  Instant arrived;
  // Tokens of the prompt and expected tokens of the output.
  double prompt_tokens = 0;
  double output_tokens = 0;
  // Maximum number of output tokens that the caller accepts; 0 if not
  // specified.
  double max_output_tokens = 0;
  // Last event that the caller has already received, or kNoEvent.
  int64_t last_event = kNoEvent;
  // Ids of the prompt's parts that other requests may share.
  std::vector<uint64_t> shared_parts;
};

// Destination of a call: a path for engines, a single target for plain
// services.
struct CallDispatch {
  std::string target_id;
  std::string target_address;
  // Start of the target's process, which tells restarts apart.
  int64_t target_started_unix_ms = 0;
  // Empty for plain services.
  std::vector<LayerRange> layers;
  std::vector<std::string> hop_ids;
  std::vector<std::string> hop_addresses;
  double tokens = 0;
  // Tokens to prefill at every hop but `prefilled_hop_ids`.
  double unread_tokens = 0;
  // Tokens that other entries are expected to add there at the same time, of
  // which they have not told yet.
  double expected_peer_tokens = 0;
  // Hops that have prefilled the call's tokens before.
  std::vector<std::string> prefilled_hop_ids;
  // Time for which the prompt occupies links between zones, in milliseconds.
  double link_ms = 0;
  // Expected interval between two events of a stream, in milliseconds.
  double event_ms = 0;
  // Last event that the caller has received when the call is sent; the target
  // resumes after it.
  int64_t last_event = kNoEvent;
};

// How far a stream had come when it lost a hop of its path.
struct StreamProgress {
  int64_t last_event = kNoEvent;
  // When its next event is due by the route's objectives.
  Instant event_deadline{};
  // Whether the stream stands still until its path is changed.
  bool is_broken = false;
};

// Result of a search for a path that replaces lost hops.
struct RerouteChoice {
  // Nullopt if there is none, or none yet.
  std::optional<CallDispatch> path;
  // Set if the stream waits for others to move first: when to search again.
  std::optional<Instant> search_again_at;
};

// Final result of a call that did not end with a response from a target.
struct CallFailure {
  CallEndReason end = CallEndReason::kNoTarget;
  ExecutionStatus execution_status = ExecutionStatus::kNotRun;
  int status = 503;
  // When capacity is expected; set only with status 503.
  std::optional<Milliseconds> retry_after;
};

// Why one send did not produce a complete, valid response.
struct SendFailure {
  CallEndReason end = CallEndReason::kConnectionBroken;
  // Whether the call certainly did not run: the target said so, or no byte of
  // the call left this process.
  bool not_run = false;
  // Whether a complete error response of the target is buffered and may be
  // relayed.
  bool has_buffered_response = false;
  // Address of the target that the response names as the cause.
  std::string fault_address;
};

// Actions that a FleetCall delegates to its owner. The call invokes them from
// within its own methods; implementations must not call back into it.
class FleetCallDelegate {
 public:
  virtual ~FleetCallDelegate() = default;
  // Chooses a destination; on failure sets `end` and returns nullopt.
  virtual std::optional<CallDispatch> Choose(
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      Instant now,
      CallEndReason* end) = 0;
  // Chooses a path on which the current send can continue from its first target
  // without the excluded hops.
  virtual RerouteChoice ChooseReroute(const CallRequest& request,
                                      const CallDispatch& current,
                                      const StreamProgress& progress,
                                      const std::vector<std::string>& excluded,
                                      Instant now) = 0;
  // Instructs the first target to continue along `path`; its reply is passed to
  // OnPathChanged().
  virtual void ChangePath(const CallDispatch& path, Instant now) = 0;
  // Sends the call. If a send is active, the new one is a replacement for it:
  // all go on until one of them brings output. Replacements are identified by
  // the value of sends() during this call.
  virtual void Send(const CallDispatch& dispatch, Instant now) = 0;
  // Closes the connection of the active send.
  virtual void CancelSend(SendCancelReason reason, Instant now) = 0;
  // Closes the connection of replacement `send`.
  virtual void CancelReplacement(int send,
                                 SendCancelReason reason,
                                 Instant now) = 0;
  // Makes replacement `send` the active send, which has ended.
  virtual void PromoteReplacement(int send) = 0;
  // Takes one retry from the shared budget; returns false if it is exhausted.
  virtual bool TakeRetry(Instant now) = 0;
  // Sends a failure to the caller. Called only if no part of a response was
  // relayed.
  virtual void Fail(const CallFailure& failure) = 0;
  // Relays the buffered error response of the target.
  virtual void RelayBufferedResponse() = 0;
  // Closes the caller's connection, because part of a response was relayed
  // already.
  virtual void AbortResponse(CallEndReason end) = 0;
  // Queues a call that found no capacity until `deadline`; returns false if it
  // cannot be queued.
  virtual bool WaitForCapacity(const CallRequest& request,
                               Instant deadline) = 0;
  // Returns when a call rejected now may be retried by the caller.
  virtual Milliseconds RetryAfter(const CallRequest& request,
                                  CallEndReason end) = 0;
};

// State machine of one call: sends, retries, resumption and the final result.
//
// Deterministic: takes events with their times and acts through
// FleetCallDelegate. Which failures are followed by another send:
//
//   execution   safe     unsafe   resumable stream
//   not run     retry    retry    retry
//   unknown     retry    502/504  retry after the last relayed event
//   ran         retry    relayed  retry after the last relayed event
//
// A call that may crash its targets is withheld from them: quarantined calls
// end before they are sent, and suspects of crashes are not sent again.
//
// Retries are limited by the deadline, the route's attempts and the retry
// budget. A final result is reported immediately.
//
// When a hop after the first one fails, the first target is instructed to
// continue on a rerouted path. The same execution continues, for every kind of
// call, and no retry is spent. Only if no reroute exists, or if the first
// target itself seems to have failed, is the call sent to another target as
// well. Silence does not show whether a target has failed or will go on, and
// another target may refuse the call. The active send is therefore kept until
// a replacement brings output, and whichever send brings output first goes on.
// A replacement that falls silent is kept as well. A call is never ended
// because its targets are silent.
//
// A stream whose send has ended without another path waits for a short time,
// because lost layers are loaded on other targets meanwhile; the same holds if
// the retry budget is exhausted. A call that finds no capacity waits for a part
// of its objective before it is rejected.
//
// Thread safety: none, owned by the thread of its connection.
class FleetCall {
 public:
  // `delegate` must outlive the call.
  FleetCall(CallRequest request, FleetCallDelegate* delegate);

  // Sends the call for the first time. Call once.
  void Start(Instant now);

  // The active send ended without a valid response.
  void OnSendFailed(const SendFailure& failure, Instant now);

  // Replacement `send` ended without a valid response.
  void OnReplacementFailed(int send, const SendFailure& failure, Instant now);

  // Replacement `send` has brought output that is about to be relayed: it takes
  // the place of the active send.
  void OnReplacementOutput(int send, Instant now);

  // The head of a valid response was received; for streams, it is relayed.
  void OnResponseStarted(Instant now);

  // An event was relayed to the caller. Ids are ascending.
  void OnEventRelayed(int64_t event_id, Instant now);

  // Output without an id was relayed after the last event. No other target can
  // continue the stream after it, until the next event is relayed.
  void OnUnnumberedOutput() { has_unnumbered_output_ = true; }

  // The valid response is complete and relayed.
  void OnResponseComplete(Instant now);

  // The caller disconnected.
  void OnCallerLeft(Instant now);

  // Handles timeouts and searches for a path again if needed; call often.
  void OnTick(Instant now);

  // Sends a call that waits for capacity. Returns false if there is still none.
  bool TrySendWaiting(Instant now);

  // The wait for capacity ended without any.
  void OnCapacityWaitTimeout(Instant now);

  // A hop of the path seems dead: the call continues without it as soon as it
  // can. The active send is kept until another one has brought output, since
  // the hop may be sound.
  void OnPathFault(const std::string& target_id, Instant now);

  // Hops after the first one give up the layers that the call uses there. They
  // keep them until the call has ended: it moves to another path if its run can
  // be continued there, and else stays.
  void OnLayersReleased(Instant now);

  // Calls like this one are quarantined from now on: ends the call immediately,
  // unless it has output, which shows that it is sound.
  void OnQuarantined(Instant now);

  // This process is about to exit: ends the call immediately.
  void OnForcedStop(Instant now);

  // The first target accepted or rejected `path`, perhaps after the timeout for
  // its reply; `fault_address` is the hop that it names as the cause.
  void OnPathChanged(const CallDispatch& path,
                     bool accepted,
                     const std::string& fault_address,
                     Instant now);

  // The instruction to change the path got no reply.
  void OnPathChangeUnanswered(Instant now);

  // Whether the stream has been silent for much longer than expected on its
  // path.
  bool IsStalled(Instant now) const;
  // Path of the send that should have brought an event by now: a replacement,
  // or the active send; null if none is overdue.
  const CallDispatch* FindOverduePath(Instant now) const;

  bool done() const { return done_; }
  bool relaying() const { return relaying_; }
  // When the active path last delivered an event; nullopt before its first
  // event and while a reroute is being searched for.
  std::optional<Instant> last_event_time() const;
  // Whether a hop of the active path failed and is not replaced yet.
  bool is_path_broken() const { return path_broken_since_.has_value(); }
  // Since when a hop of the active path is missing.
  std::optional<Instant> path_broken_since() const {
    return path_broken_since_;
  }
  // Whether the first target was instructed to change the path and has not
  // replied in time yet.
  bool is_changing_path() const { return pending_path_.has_value(); }
  const CallRequest& request() const { return request_; }
  const CallDispatch& dispatch() const { return dispatch_; }
  int sends() const { return sends_; }
  int64_t last_event() const { return last_event_; }
  ExecutionStatus execution_status() const { return execution_status_; }
  const std::vector<std::string>& excluded() const { return excluded_; }
  // How far the active send has come.
  StreamProgress progress() const;

 private:
  // A send beside the active one.
  struct Replacement {
    int send = 0;
    CallDispatch path;
    Instant sent_at{};
    // Whether a hop of its path seems dead.
    bool suspected = false;
  };

  Instant CapacityDeadline() const;
  bool WaitsForPath(Instant now) const;
  bool CanRetry(const SendFailure& failure) const;
  bool IsIdempotent() const;
  // Whether the call may be sent again although its active send may run.
  bool CanRepeatActiveSend() const;
  void SendTo(CallDispatch dispatch, Instant now);
  void SendReplacement(CallDispatch dispatch, Instant now);
  void CancelReplacements(SendCancelReason reason, Instant now);
  std::vector<Replacement>::iterator FindReplacement(int send);
  // Replacement `send` becomes the active send, which has ended.
  void TakeReplacement(int send);
  // Whether a replacement is under way whose path has no suspected hop.
  bool HasSoundReplacement() const;
  // Marks the replacements whose path uses `target_id`; returns whether there
  // are new ones.
  bool SuspectReplacements(const std::string& target_id);
  // Hops that a replacement must not use: excluded ones, and the first targets
  // of the sends under way.
  std::vector<std::string> ExcludedForReplacement() const;
  // When the next event of the active send will be overdue, so that none is on
  // its way.
  Instant NextEventDue() const;
  // Counts how a send that ended without a response leaves the call.
  void RecordFailure(const SendFailure& failure);
  void ChooseAndSend(const SendFailure& failure, Instant now);
  // Whether a call that ends for this reason was withheld from targets because
  // it might crash them.
  static bool IsWithheld(CallEndReason end);
  void EndCall(CallEndReason end, bool has_buffered_response, Instant now);
  // Excludes the target at fault for a failed send along `path`.
  void Exclude(const CallDispatch& path, const SendFailure& failure);
  void ExcludeTarget(const std::string& id);
  bool IsExcluded(const std::string& id) const;
  // Reroutes a call with a failed hop, or sends it to another target.
  void TryReroute(Instant now);
  // Tells the first target to continue on another path, or waits until it is
  // the call's turn to be moved; false if there is no other path.
  bool StartReroute(Instant now);
  void TryResend(Instant now);
  void CheckBrokenPath(Instant now);
  // The run continues on `path`.
  void AdoptPath(const CallDispatch& path, Instant now);
  // No hop of the path is missing any more.
  void MarkPathWhole();
  bool UsesExcludedHop() const;
  // How long the active send may be silent before it counts as stalled.
  Milliseconds StallTimeout() const;
  // Cancels all sends; the call may have run.
  void CancelSends(SendCancelReason reason, Instant now);

  CallRequest request_;
  FleetCallDelegate* delegate_;
  CallDispatch dispatch_;
  std::vector<std::string> excluded_;
  ExecutionStatus execution_status_ = ExecutionStatus::kNotRun;
  // All sends, and those of them that may have run.
  int sends_ = 0;
  int possible_runs_ = 0;
  bool sending_ = false;
  // Whether an active stream waits for a path.
  bool waiting_for_path_ = false;
  SendFailure last_failure_;
  // Set while a hop of the path is missing.
  std::optional<Instant> path_broken_since_;
  // Whether the first target is the missing hop: it cannot be told to change
  // the path.
  bool first_target_suspected_ = false;
  // Changed path that the first target has not confirmed yet, and the deadline
  // for its reply.
  std::optional<CallDispatch> pending_path_;
  Instant path_change_deadline_{};
  int path_changes_ = 0;
  // The first target gets no other instruction before this time, after it left
  // one unanswered.
  Instant next_path_change_{};
  // Sends that take over if they bring output before the active one does, in
  // the order in which they were sent.
  std::vector<Replacement> replacements_;
  // When the last send ended that may have run.
  Instant run_ended_{};
  bool relaying_ = false;
  bool done_ = false;
  int64_t last_event_ = kNoEvent;
  bool has_unnumbered_output_ = false;
  Instant last_progress_{};
  // Since when the next event of the active path has been expected.
  Instant silent_since_{};
  Instant next_path_search_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_CALL_H_
