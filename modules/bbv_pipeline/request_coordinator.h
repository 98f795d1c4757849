#ifndef MODULES_BBV_PIPELINE_REQUEST_COORDINATOR_H_
#define MODULES_BBV_PIPELINE_REQUEST_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_routing/refusal.h"
#include "bbv_routing/retry_budget.h"
#include "bbv_routing/target_chooser.h"
#include "bbv_wire/frame_codec.h"
#include "bbv_wire/request_id.h"

namespace bbv {

// A caller's model request. `delivered_before` is above 0 when the caller
// comes back for the undelivered after that many tokens.
struct ModelRequest {
  RequestId id;
  std::string account;
  uint32_t weight = 1;
  uint8_t priority = 5;
  Model model;
  std::vector<uint64_t> prompt;
  uint32_t maximum_tokens = 0;
  Instant deadline{};
  std::string traceparent;
  bool resuming = false;
  uint32_t delivered_before = 0;
};

// What the coordinator asks of its surroundings.
class RequestActions {
 public:
  virtual ~RequestActions() = default;

  // Sends `frame` to the peer named `peer`; may be lost with the connection.
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Hands tokens to the caller; `first_index` counts from the first generated
  // token. With `finished` the answer is whole.
  virtual void DeliverTokens(const RequestId& id,
                             uint32_t first_index,
                             std::span<const uint64_t> tokens,
                             bool finished) = 0;

  // Ends the request without (the undelivered of) its answer.
  virtual void RefuseRequest(const RequestId& id, const Refusal& refusal) = 0;
};

// The model requests of one entry.
//
// A token is delivered only when it is the next undelivered one of the current
// attempt; then it is final. A new attempt starts from the prompt and the
// delivered tokens on a chain without the stage at fault.
// Thread safety: none, owned by the control thread. See SequenceRunner for the
// other end.
class RequestCoordinator {
 public:
  // All three must outlive the coordinator. `entry` is this node's name, `seed`
  // must differ between entries.
  RequestCoordinator(std::string entry,
                     uint64_t seed,
                     TargetTable* table,
                     TargetChooser* chooser,
                     RequestActions* actions);

  // Takes a request. Precondition: its deadline is ahead and its prompt is not
  // empty. Exactly one final delivery or refusal follows, unless cancelled.
  void Start(ModelRequest request, Instant now);

  // The caller of a request went away. It goes on for a while, so that the
  // caller can come back for it here or, through the sides, at another entry.
  // Unknown ids are ignored.
  void Detach(const RequestId& id, Instant now);

  void HandleTokens(const wire::TokenBatchT& batch, Instant now);
  void HandleFailure(const std::string& peer,
                     const wire::AttemptFailureT& failure,
                     Instant now);
  void HandleResumed(const wire::ResumedT& resumed, Instant now);

  // The connection to a side was lost, and with it what was under way on it.
  void PeerLost(const std::string& peer, Instant now);

  // Enforces deadlines; call a few times a second or more.
  void Tick(Instant now);

  std::size_t open_requests() const { return requests_.size(); }
  uint64_t attempts_started() const { return attempts_started_; }
  uint64_t retries() const { return retries_; }

 private:
  enum class Phase : uint8_t { kResuming, kWaitingForChain, kRunning };

  struct Request {
    ModelRequest spec;
    Phase phase = Phase::kWaitingForChain;
    // Of the attempt under way, and the least that the next one may have.
    uint64_t attempt_number = 0;
    uint64_t next_attempt_number = 1;
    std::vector<Target> chain;
    std::string version;
    std::vector<uint64_t> tokens;
    std::set<std::string> excluded;
    uint32_t refused_attempts = 0;
    uint32_t failed_attempts = 0;
    // Whether any attempt may have begun; decides the outcome told.
    bool may_have_run = false;
    // Nobody waits for the answer; given up at the deadline below.
    bool detached = false;
    Instant detached_deadline{};
    Instant progress_deadline{};
    Instant phase_deadline{};
  };

  struct AccountUsage {
    uint32_t open = 0;
    uint32_t weight = 1;
  };

  using Requests = std::unordered_map<RequestId, Request, RequestIdHash>;

  bool Reattach(const ModelRequest& request);
  void BroadcastResume(const ModelRequest& request);
  void SkipAttemptNumbers(Request* request, uint64_t highest_attempt);
  void StartAttempt(Request* request, Instant now);
  bool IsBelowFairShare(const ModelRequest& request) const;
  void WaitForChain(Request* request, bool lacks_capacity, Instant now);
  void SendAttempt(const Request& request, Instant now);
  void ReleaseAttempt(const Request& request);
  void FailAttempt(Request* request,
                   const std::string& target,
                   Reason reason,
                   Instant now);
  void Retry(Request* request, Instant now);
  // These take the id by value: it may be the one in the request they erase.
  void EndRequest(RequestId id);
  void Refuse(RequestId id, const Refusal& refusal);
  void HandleToken(const wire::TokenT& token, Instant now);
  void HandleRefusedAttempt(Request* request,
                            const wire::AttemptFailureT& failure,
                            Instant now);
  void DeliverResumed(Request* request, const wire::ResumedT& resumed);
  void TickRequest(Request* request, Instant now);
  std::vector<RequestId> FindRequests(
      const std::function<bool(const Request&)>& predicate) const;

  std::string entry_;
  TargetTable* table_;
  TargetChooser* chooser_;
  RequestActions* actions_;
  RetryBudget retry_budget_;
  std::mt19937_64 generator_;
  Requests requests_;
  // Open requests by client account.
  std::map<std::string, AccountUsage> account_usage_;
  uint64_t attempts_started_ = 0;
  uint64_t retries_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_PIPELINE_REQUEST_COORDINATOR_H_
