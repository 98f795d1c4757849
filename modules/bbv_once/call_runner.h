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

// What a call runner asks of its surroundings.
class CallActions {
 public:
  virtual ~CallActions() = default;

  // Sends to a connected entry; may be lost with the connection.
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Calls the service once; CallRunner::HandleCallResult() must follow.
  virtual void CallService(const wire::ServiceCallT& call) = 0;

  // Appends one record to the claim stream; CallRunner::HandleAppendResult()
  // must follow.
  virtual void AppendClaims(std::string record) = 0;
};

struct CallLimits {
  uint32_t maximum_running = 64;
  uint32_t maximum_queued = 64;
  // Least time between two appends to the claim stream.
  Milliseconds claim_interval{5};
};

// The calls that one instance of a plain service is to run.
//
// A call under a caller's key runs only after this side's claim on the key was
// read back from the log as the first one; claims name the holder's epoch, so
// neither a restarted side nor another one ever runs a key that was claimed.
// A won claim that was not run (`kHeld`) stays with this epoch, which may run
// it when it is asked again, or gives it back with a void record on leaving.
// Thread safety: none, owned by the control thread.
class CallRunner {
 public:
  // `actions` must outlive the runner. `holder` is this side; its epoch must
  // differ from that of every other run of a side beside this target.
  CallRunner(ClaimHolder holder, CallLimits limits, CallActions* actions);

  void HandleCall(const std::string& peer,
                  wire::ServiceCallT call,
                  Instant now);

  // The result of CallService(). An error that is not `not_performed` leaves
  // the call's outcome unknown for good.
  void HandleCallResult(const RequestId& id,
                        Result<wire::ServiceAnswerT> result,
                        Instant now);

  // The result of AppendClaims(). Only reading settles claims; an error that is
  // `not_performed` withdraws those of the append.
  void HandleAppendResult(const Result<void>& result, Instant now);

  // Records of the claim stream, in order of their offsets.
  void HandleClaimRecords(const LogRecords& records, Instant now);

  // While unavailable, calls under new keys are refused at once as not run.
  void SetLogAvailable(bool available) { log_available_ = available; }

  void SetLeaving(bool leaving);
  void PeerLost(const std::string& peer);

  // Enforces deadlines and sends claims that are due.
  void Tick(Instant now);

  std::size_t running() const { return running_count_; }
  std::size_t queued() const { return run_queue_.size(); }

  // Returns whether no call is under way here, so that the process may end.
  bool idle() const;

  // Returns the offset of the claim stream to read next.
  uint64_t read_offset() const { return read_offset_; }
  uint64_t appends() const { return appends_; }
  uint64_t calls_run() const { return calls_run_; }
  std::size_t known_keys() const { return calls_.size(); }

 private:
  enum class State : uint8_t {
    kClaiming,
    kHeld,
    kQueued,
    kRunning,
    kFinished,
    kHeldElsewhere,
    kUnknown,
    kVoided,
  };

  // An entry that waits for a call's answer.
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
    // For FairQueue.
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
  Reason FindRefusalReason(const wire::ServiceCallT& call) const;
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
