#ifndef MODULES_BBV_ONCE_CALL_RUNNER_H_
#define MODULES_BBV_ONCE_CALL_RUNNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bbv_config/configuration_log.h"
#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_core/reason.h"
#include "bbv_once/claim_record.h"
#include "bbv_routing/fair_queue.h"
#include "bbv_routing/refusal.h"
#include "bbv_wire/frame_codec.h"

namespace bbv {

// Output interface of CallRunner, implemented by the node that owns it.
class CallActions {
 public:
  virtual ~CallActions() = default;

  // Sends a frame to a connected entry. The frame is lost if the connection
  // fails.
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Sends the call to the service once. CallRunner::HandleCallResult() must
  // be called with the result.
  virtual void CallService(const wire::ServiceCallT& call) = 0;

  // Appends one record to the claim stream. CallRunner::HandleAppendResult()
  // must be called with the result.
  virtual void AppendClaims(std::string record) = 0;
};

struct CallLimits {
  uint32_t maximum_running = 64;
  uint32_t maximum_queued = 64;
  // Minimum interval between two appends to the claim stream.
  Milliseconds claim_interval{5};
};

// Runs the calls for one instance of a plain service.
//
// A call with an idempotency key runs only after this side node has read its
// own claim on the key back from the log and no other claim precedes it. Claims
// carry the holder's epoch, so a key that is claimed is never run by another
// side node or by a restarted one. If this side node won a claim but did not
// run the call (`kHeld`), it may still run the call in the same epoch when an
// entry sends it again. When it leaves, it voids such claims instead.
// Thread safety: none, owned by the control thread.
class CallRunner {
 public:
  // `actions` must outlive the runner. `holder` identifies this side node. Its
  // epoch must differ from the epoch of every other side process that has run
  // for this target.
  CallRunner(ClaimHolder holder, CallLimits limits, CallActions* actions);

  void HandleCall(const std::string& peer,
                  wire::ServiceCallT call,
                  Instant now);

  // Handles the result of CallService(). After an error without
  // `not_performed`, the call may have run, so it is never run again.
  void HandleCallResult(const RequestId& id,
                        Result<wire::ServiceAnswerT> result,
                        Instant now);

  // Handles the result of AppendClaims(). A successful append does not decide
  // a claim; only reading the stream does. After an error with `not_performed`,
  // the claims of the append are dropped and their calls answered as not run.
  void HandleAppendResult(const Result<void>& result, Instant now);

  // Handles records of the claim stream, in offset order.
  void HandleClaimRecords(const LogRecords& records, Instant now);

  // While the log is unavailable, calls with new keys are refused immediately
  // as not run.
  void SetLogAvailable(bool available) { log_available_ = available; }

  void SetLeaving(bool leaving);
  void PeerLost(const std::string& peer);

  // Enforces deadlines and appends pending claims.
  void Tick(Instant now);

  std::size_t running() const { return running_count_; }
  std::size_t queued() const { return run_queue_.size(); }

  // Returns whether the process may exit: no call is queued, running or waited
  // for, and nothing is left to append to the log while it is available.
  bool idle() const;

  // Returns the next offset to read from the claim stream.
  uint64_t read_offset() const { return read_offset_; }
  uint64_t appends() const { return appends_; }
  uint64_t calls_run() const { return calls_run_; }
  std::size_t known_keys() const { return calls_.size(); }

 private:
  enum class State : uint8_t {
    // The claim is pending or appended but not yet read back.
    kClaiming,
    // The claim belongs to this epoch and the call has not run.
    kHeld,
    // The call waits for a free execution slot.
    kQueued,
    kRunning,
    // The call ran and its answer is known.
    kFinished,
    // Another side node's claim came first.
    kHeldElsewhere,
    // The call may have run.
    kUnknown,
    // The claim is being given back because this side node is leaving.
    kVoided,
  };

  // An entry, and its caller id, waiting for the answer to a call.
  struct Waiter {
    std::string peer;
    uint64_t caller = 0;
    Instant deadline{};
  };

  struct Call : IntrusiveNode {
    RequestId id;
    bool keyed = false;
    uint64_t fingerprint = 0;
    State state = State::kClaiming;
    ClaimHolder holder;
    wire::ServiceCallT call;
    std::vector<Waiter> waiters;
    wire::ServiceAnswerT answer;
    bool claim_pending = false;
    // Required by FairQueue.
    std::string account;
    uint32_t weight = 1;
    uint8_t priority = 5;
    uint64_t cost = 1;
  };

  using Calls =
      std::unordered_map<RequestId, std::unique_ptr<Call>, RequestIdHash>;

  void HandleNewCall(const Waiter& waiter,
                     wire::ServiceCallT call,
                     Instant now);
  void HandleRepeatedCall(Call* call, const Waiter& waiter);
  Reason CheckAdmission(const wire::ServiceCallT& call) const;
  void Enqueue(Call* call);
  void RunQueuedCalls(Instant now);
  void QueueClaim(Call* call);
  void AppendIfDue(Instant now);
  void HandleClaim(const ClaimHolder& holder, const Claim& claim, Instant now);
  void HandleOwnClaim(Call* call, Instant now);
  void HandleForeignClaim(Call* call, const ClaimHolder& holder);
  void ApplyRecordedAnswer(const ClaimAnswer& answer);
  void HandleVoidedClaim(const ClaimHolder& holder, const RequestId& key);
  void HandleLogGap();
  void ExpireWaiters(Call* call, Instant now);
  void AnswerWaiters(Call* call, const wire::ServiceAnswerT& answer);
  void AnswerWaitersNotRun(Call* call, Reason reason);
  void SendAnswer(const Waiter& waiter,
                  const RequestId& id,
                  wire::ServiceAnswerT answer);
  void RecordAnswer(const Call& call);
  Call* Find(const RequestId& id);

  ClaimHolder holder_;
  CallLimits limits_;
  CallActions* actions_;
  Calls calls_;
  FairQueue<Call> run_queue_;
  ClaimRecord pending_record_;
  ClaimRecord appending_record_;
  bool append_outstanding_ = false;
  Instant next_append_at_{};
  bool log_available_ = true;
  bool leaving_ = false;
  std::size_t running_count_ = 0;
  uint64_t read_offset_ = 0;
  uint64_t appends_ = 0;
  uint64_t calls_run_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ONCE_CALL_RUNNER_H_
