#ifndef MODULES_BBV_ONCE_SERVICE_COORDINATOR_H_
#define MODULES_BBV_ONCE_SERVICE_COORDINATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "bbv_core/instant.h"
#include "bbv_routing/refusal.h"
#include "bbv_routing/retry_budget.h"
#include "bbv_routing/target_chooser.h"
#include "bbv_wire/frame_codec.h"

namespace bbv {

// Output interface of ServiceCoordinator, implemented by the node that owns it.
class ServiceActions {
 public:
  virtual ~ServiceActions() = default;
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Delivers the answer to the call identified by `caller`.
  virtual void AnswerCall(uint64_t caller,
                          const wire::ServiceAnswerT& answer) = 0;

  // Ends the call identified by `caller` without an answer.
  virtual void RefuseCall(uint64_t caller, const Refusal& refusal) = 0;
};

// Forwards the plain-service calls of one entry node to side nodes.
//
// A call is retried only if it is idempotent, if the side node reported that it
// did not run, or if it has an idempotency key, whose claim on the log prevents
// a second run. Any other call that is lost ends immediately with an unknown
// outcome. CallRunner is the counterpart in the side node.
// Thread safety: none, owned by the control thread.
class ServiceCoordinator {
 public:
  // `table`, `chooser` and `actions` must outlive the coordinator.
  ServiceCoordinator(TargetTable* table,
                     TargetChooser* chooser,
                     ServiceActions* actions);

  // Starts a call. `caller` identifies it and must never be reused; calls with
  // the same idempotency key share a request id. Exactly one AnswerCall() or
  // RefuseCall() follows. Precondition: deadline > now.
  void Start(uint64_t caller,
             wire::ServiceCallT call,
             Instant deadline,
             Instant now);

  void HandleAnswer(const std::string& peer,
                    const wire::ServiceAnswerT& answer,
                    Instant now);
  void PeerLost(const std::string& peer, Instant now);
  void Tick(Instant now);

  std::size_t open_calls() const { return calls_.size(); }
  uint64_t retries() const { return retries_; }

 private:
  struct Call {
    uint64_t caller = 0;
    wire::ServiceCallT call;
    Instant deadline{};
    std::string target;
    std::set<std::string> excluded;
    uint32_t attempts = 0;
    // Whether an earlier attempt ended without proof that it did not run.
    bool earlier_outcome_unknown = false;
    Refusal last_refusal;
  };

  using Calls = std::unordered_map<uint64_t, Call>;

  void SendToNextTarget(Call* call, Instant now);
  void SendTo(Call* call, const std::string& target, Instant now);
  void HandleAnswerForCall(Call* call,
                           const std::string& peer,
                           const wire::ServiceAnswerT& answer,
                           Instant now);
  void SendToClaimHolder(Call* call, const std::string& holder, Instant now);
  void HandleNotRunAnswer(Call* call,
                          const std::string& peer,
                          const wire::ServiceAnswerT& answer,
                          Instant now);
  void HandleUnknownAnswer(Call* call,
                           const std::string& peer,
                           const wire::ServiceAnswerT& answer,
                           Instant now);
  void Refuse(Call* call, const Refusal& refusal);

  TargetTable* table_;
  TargetChooser* chooser_;
  ServiceActions* actions_;
  RetryBudget retry_budget_;
  Calls calls_;
  uint64_t retries_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ONCE_SERVICE_COORDINATOR_H_
