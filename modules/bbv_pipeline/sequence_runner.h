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

// What a sequence runner asks of its surroundings.
class SequenceActions {
 public:
  virtual ~SequenceActions() = default;

  // Sends to a peer that is connected already (an entry).
  virtual void Send(const std::string& peer, wire::FrameT frame) = 0;

  // Sends to the side of a stage, connecting to `address` when needed.
  virtual void SendToStage(const std::string& target,
                           const std::string& address,
                           wire::FrameT frame) = 0;

  // Runs one engine iteration; SequenceRunner::HandleEngineResults() or
  // HandleEngineFault() must follow exactly once.
  virtual void RunEngine(wire::EngineBatchT batch) = 0;
};

// Limits of one side. Counts are of sequences but for the batch, in tokens.
struct SequenceLimits {
  uint32_t maximum_running = 64;
  uint32_t maximum_queued = 8;
  uint32_t maximum_batch_tokens = 4096;
  uint32_t maximum_batch_sequences = 64;
};

// The attempts that one engine takes part in.
//
// For each attempt the exact next step is run, a repeat of the last one gets
// its stored result, a gap is refused and so is a lower attempt. One engine
// call an iteration carries every ready sequence, and one frame a peer its
// results. An engine call whose result is in doubt ends its attempts.
// Thread safety: none, owned by the control thread. See RequestCoordinator for
// the other end.
class SequenceRunner {
 public:
  // `actions` must outlive the runner. `target` is this side's target.
  SequenceRunner(std::string target,
                 SequenceLimits limits,
                 SequenceActions* actions);

  // Steps from an entry (first stage) or another side.
  void HandleSteps(const wire::StepBatchT& batch, Instant now);

  // Releases count only from the entry that the attempt answers to now.
  void HandleReleases(const std::string& peer,
                      const wire::ReleaseBatchT& batch,
                      Instant now);

  // Hands the request over to the entry `peer`, for a caller that came back.
  void HandleResume(const std::string& peer, const wire::ResumeT& resume);

  // Answers to RunEngine(). A fault leaves in doubt what the engine ran.
  void HandleEngineResults(const wire::EngineResultsT& results, Instant now);
  void HandleEngineFault(Instant now);

  // A connection to a stage or an entry was lost.
  void PeerLost(const std::string& peer, Instant now);

  // While set, attempts that are new to this side are refused as not run.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // Versions that the engine holds; attempts on others are refused.
  void SetLoadedVersions(std::vector<std::string> versions);

  // Drops sequences whose deadline passed; call a few times a second or more.
  void Tick(Instant now);

  std::size_t running() const { return running_count_; }
  std::size_t queued() const { return waiting_.size(); }

  // Returns how many sequences the side should hold at present.
  uint32_t limit() const { return limit_.limit(); }

  // Returns the mean time between an iteration's start and its end.
  uint32_t step_microseconds() const { return step_microseconds_; }
  uint64_t steps_run() const { return steps_run_; }

 private:
  enum class State : uint8_t { kWaiting, kIdle, kReady, kInEngine, kRetained };

  // One attempt at this stage. Stands in `waiting_` or `ready_` by its state.
  struct Sequence : IntrusiveNode {
    RequestId request;
    uint64_t attempt_number = 0;
    wire::AttemptT attempt;
    State state = State::kIdle;
    std::size_t stage = 0;
    // The next position to run, and the step that is to run it.
    uint32_t next_position = 0;
    std::vector<uint64_t> values;
    // The last step run and its result, for repeats.
    uint32_t last_position = 0;
    std::vector<uint64_t> last_result;
    // At the last stage: the tokens generated, for callers that come back.
    std::vector<uint64_t> tokens;
    bool finished = false;
    Instant deadline{};
    // For FairQueue.
    std::string account;
    uint32_t weight = 1;
    uint8_t priority = 5;
    uint64_t cost = 0;

    bool is_last_stage() const { return stage + 1 == attempt.chain.size(); }
  };

  // The highest attempt that was released, so that late steps cannot open it
  // again.
  struct Tombstone {
    uint64_t attempt_number = 0;
    Instant forget_at{};
  };

  // Steps and tokens of one iteration, gathered for one frame a peer.
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
  // Takes the id by value: it may be the one in the sequence it erases.
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
