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

// A caller's model request. `delivered_before` is above 0 if the caller
// reconnects after having received that many tokens.
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

// Interface through which RequestCoordinator acts.
class RequestActions {
 public:
  virtual ~RequestActions() = default;

  // Sends `frame` to `peer`. The frame is lost if the connection is.
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Delivers tokens to the caller; `first_index` counts from the first
  // generated token. `finished` marks the end of the answer.
  virtual void DeliverTokens(const RequestId& id,
                             uint32_t first_index,
                             std::span<const uint64_t> tokens,
                             bool finished) = 0;

  // Ends the request without its answer, or without the remainder of it.
  virtual void RefuseRequest(const RequestId& id, const Refusal& refusal) = 0;
};

// Manages the model requests of one entry.
//
// A token is delivered only if it is the next undelivered one of the current
// attempt, and is never revised afterwards. A new attempt starts from the
// prompt and the delivered tokens, on a chain without the failed stage. Thread
// safety: none, owned by the control thread. See SequenceRunner for the other
// end.
class RequestCoordinator {
 public:
  // `table`, `chooser` and `actions` must outlive the coordinator. `entry` is
  // the name of this node; `seed` must differ between entries.
  RequestCoordinator(std::string entry,
                     uint64_t seed,
                     TargetTable* table,
                     TargetChooser* chooser,
                     RequestActions* actions);

  // Starts a request. Precondition: its deadline is in the future and its
  // prompt is not empty. Exactly one final delivery or refusal follows, unless
  // the request is cancelled.
  void Start(ModelRequest request, Instant now);

  // Called when the caller of a request disconnects. The request continues for
  // a while, so that the caller can resume it here or, through the sides, at
  // another entry. Unknown ids are ignored.
  void Detach(const RequestId& id, Instant now);

  void HandleTokens(const wire::TokenBatchT& batch, Instant now);
  void HandleFailure(const std::string& peer,
                     const wire::AttemptFailureT& failure,
                     Instant now);
  void HandleResumed(const wire::ResumedT& resumed, Instant now);

  // Called when the connection to a side is lost. Fails the attempts that use
  // the side.
  void PeerLost(const std::string& peer, Instant now);

  // Enforces deadlines. Call at least a few times per second.
  void Tick(Instant now);

  std::size_t open_requests() const { return requests_.size(); }
  uint64_t attempts_started() const { return attempts_started_; }
  uint64_t retries() const { return retries_; }

 private:
  enum class Phase : uint8_t { kResuming, kWaitingForChain, kRunning };

  struct Request {
    ModelRequest spec;
    Phase phase = Phase::kWaitingForChain;
    // The number of the current attempt, and the lowest number allowed for the
    // next one.
    uint64_t attempt_number = 0;
    uint64_t next_attempt_number = 1;
    std::vector<Target> chain;
    std::string version;
    std::vector<uint64_t> tokens;
    std::set<std::string> excluded;
    uint32_t refused_attempts = 0;
    uint32_t failed_attempts = 0;
    // Whether any attempt may have started; determines the reported outcome.
    bool may_have_run = false;
    // The caller has disconnected; the request is dropped at
    // `detached_deadline`.
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
  // These take the id by value: a reference might be to the request they erase.
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
