#ifndef MODULES_BBV_PIPELINE_SEQUENCE_RUNNER_H_
#define MODULES_BBV_PIPELINE_SEQUENCE_RUNNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_core/reason.h"
#include "bbv_routing/adaptive_limit.h"
#include "bbv_routing/fair_queue.h"
#include "bbv_routing/refusal.h"
#include "bbv_wire/frame_codec.h"
#include "bbv_wire/request_id.h"

namespace bbv {

// Interface through which SequenceRunner acts.
class SequenceActions {
 public:
  virtual ~SequenceActions() = default;

  // Sends to a peer that is already connected, such as an entry.
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Sends to the side of a stage. Connects to `address` if necessary.
  virtual void SendToStage(const std::string& target,
                           const std::string& address,
                           wire::FrameT frame) = 0;

  // Runs one engine iteration. Exactly one call to
  // SequenceRunner::HandleEngineResults() or HandleEngineFault() must follow.
  virtual void RunEngine(wire::EngineBatchT batch) = 0;
};

// Limits of one side, in sequences, except for maximum_batch_tokens.
struct SequenceLimits {
  uint32_t maximum_running = 64;
  uint32_t maximum_queued = 8;
  uint32_t maximum_batch_tokens = 4096;
  uint32_t maximum_batch_sequences = 64;
};

// Manages the attempts in which one engine takes part.
//
// For each attempt only the next step in order is run; a repeat of the last
// step returns its stored result; a gap is rejected, and steps of lower
// attempts are ignored. Each iteration makes one engine call with the ready
// sequences and sends the results as one frame per peer. If the result of an
// engine call is in doubt, the attempts in that call fail. Thread safety: none,
// owned by the control thread. See RequestCoordinator for the other end.
class SequenceRunner {
 public:
  // `actions` must outlive the runner. `target` is the name of this side's
  // target.
  SequenceRunner(std::string target,
                 SequenceLimits limits,
                 SequenceActions* actions);

  // Handles steps from an entry (first stage) or from another side.
  void HandleSteps(const wire::StepBatchT& batch, Instant now);

  // Handles releases. A release of a known sequence is ignored unless it comes
  // from the entry to which the attempt currently reports.
  void HandleReleases(const std::string& peer,
                      const wire::ReleaseBatchT& batch,
                      Instant now);

  // Transfers a request to the entry `peer`, to which its caller reconnected.
  void HandleResume(const std::string& peer, const wire::ResumeT& resume);

  // Completion of RunEngine(). After a fault the state of the sequences in the
  // batch is unknown.
  void HandleEngineResults(const wire::EngineResultsT& results, Instant now);
  void HandleEngineFault(Instant now);

  // Called when the connection to a stage or an entry is lost.
  void PeerLost(const std::string& peer, Instant now);

  // While set, attempts that are new to this side are refused with outcome
  // kNotRun.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // Sets the versions that the engine holds. Attempts on others are refused.
  void SetLoadedVersions(std::vector<std::string> versions);

  // Removes sequences whose deadline has passed. Call at least a few times per
  // second.
  void Tick(Instant now);

  std::size_t running() const { return running_count_; }
  std::size_t queued() const { return waiting_.size(); }

  // Returns the number of sequences that the side should currently hold.
  uint32_t limit() const { return limit_.limit(); }

  // Returns the moving average of the duration of an iteration.
  uint32_t step_microseconds() const { return step_microseconds_; }
  uint64_t steps_run() const { return steps_run_; }

 private:
  enum class State : uint8_t { kWaiting, kIdle, kReady, kInEngine, kRetained };

  // One attempt at this stage. It is in `waiting_` or `ready_` according to its
  // state.
  struct Sequence : IntrusiveNode {
    RequestId request;
    uint64_t attempt_number = 0;
    wire::AttemptT attempt;
    State state = State::kIdle;
    std::size_t stage = 0;
    // The next position to run, and the input of that step.
    uint32_t next_position = 0;
    std::vector<uint64_t> values;
    // The last step run and its result, for repeats.
    uint32_t last_position = 0;
    std::vector<uint64_t> last_result;
    // At the last stage: the generated tokens, for callers that reconnect.
    std::vector<uint64_t> tokens;
    bool finished = false;
    Instant deadline{};
    // Used by FairQueue.
    std::string account;
    uint32_t weight = 1;
    uint8_t priority = 5;
    uint64_t cost = 0;

    bool is_last_stage() const { return stage + 1 == attempt.chain.size(); }
  };

  // The highest attempt that was released. Keeps late steps from reopening it.
  struct Tombstone {
    uint64_t attempt_number = 0;
    Instant forget_at{};
  };

  // Steps and tokens of one iteration, collected into one frame per peer.
  struct OutgoingBatches {
    std::map<std::string, wire::StageT> stages;
    std::map<std::string, wire::StepBatchT> steps;
    std::map<std::string, wire::TokenBatchT> tokens;
  };

  using Sequences =
      std::unordered_map<RequestId, std::unique_ptr<Sequence>, RequestIdHash>;

  void HandleStep(const wire::StepT& step, Instant now);
  void OpenSequence(const wire::StepT& step, Instant now);
  void ContinueSequence(Sequence* sequence,
                        const wire::StepT& step,
                        Instant now);
  Reason CheckAdmission(const wire::StepT& step, bool first_stage) const;
  void RefuseAttempt(const std::string& entry,
                     const wire::StepT& step,
                     Reason reason);
  void FailSequence(Sequence* sequence,
                    const std::string& target,
                    Reason reason,
                    Instant now);
  void MakeReady(Sequence* sequence);
  void AdmitWaiting();
  void StartIteration(Instant now);
  void HandleResult(const wire::EngineResultT& result,
                    OutgoingBatches* outgoing,
                    Instant now);
  void EmitResult(Sequence* sequence, OutgoingBatches* outgoing);
  void EmitTokens(Sequence* sequence,
                  uint32_t position,
                  OutgoingBatches* outgoing);
  void Flush(OutgoingBatches* outgoing);
  void Unlink(Sequence* sequence);
  // Takes the id by value: a reference might be to the sequence it erases.
  void Drop(RequestId request, Instant now);
  void AddTombstone(const RequestId& request,
                    uint64_t attempt_number,
                    Instant now);
  uint32_t RetryAfterMilliseconds() const;
  Sequence* Find(const RequestId& request);

  std::string target_;
  SequenceLimits limits_;
  SequenceActions* actions_;
  AdaptiveLimit limit_;
  Sequences sequences_;
  FairQueue<Sequence> waiting_;
  IntrusiveList<Sequence> ready_;
  std::unordered_map<RequestId, Tombstone, RequestIdHash> tombstones_;
  std::vector<std::string> loaded_versions_;
  // Sequences that ended since the last iteration, for the engine to free.
  std::vector<wire::ReleaseT> engine_releases_;
  bool leaving_ = false;
  bool engine_busy_ = false;
  Instant iteration_started_{};
  std::size_t running_count_ = 0;
  uint32_t step_microseconds_ = 0;
  uint64_t steps_run_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_PIPELINE_SEQUENCE_RUNNER_H_
