#ifndef MODULES_BBV_ROLES_SIDE_LOGIC_H_
#define MODULES_BBV_ROLES_SIDE_LOGIC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_once/call_runner.h"
#include "bbv_pipeline/sequence_runner.h"
#include "bbv_roles/configuration_sharing.h"
#include "bbv_roles/version_loader.h"

namespace bbv {

// Output interface of SideLogic, implemented by the node that owns it.
class SideActions : public SequenceActions, public CallActions {
 public:
  ~SideActions() override = default;
  void Send(const std::string& peer, wire::FrameT frame) override = 0;

  // Sends an order to the engine. SideLogic::HandleOrderResult() must be called
  // with the result.
  virtual void SendLoadOrder(const LoadOrder& order) = 0;
};

// Settings of a side node that SideLogic uses.
struct SideOptions {
  std::string target;
  bool is_engine = true;
  uint64_t epoch = 0;
  SequenceLimits sequence_limits;
  CallLimits call_limits;
};

// Decision logic of a side node, the sidecar process of a single target.
//
// Thread safety: none, owned by the control thread. SideNode in bbv_node adds
// the threads and sockets.
class SideLogic {
 public:
  // `actions` must outlive the logic.
  SideLogic(const SideOptions& options, SideActions* actions);

  void HandleFrame(const std::string& peer,
                   const wire::FrameT& frame,
                   Instant now);
  void PeerLost(const std::string& peer, Instant now);

  void HandleConfigurationRecords(const LogRecords& records, Instant now);
  void HandleClaimRecords(const LogRecords& records, Instant now);
  void SetLogAvailable(bool available);
  void HandleAppendResult(const Result<void>& result, Instant now);

  void HandleEngineResults(const Result<wire::EngineResultsT>& results,
                           Instant now);
  void HandleOrderResult(const Result<EngineState>& result, Instant now);
  void HandleCallResult(const RequestId& id,
                        Result<wire::ServiceAnswerT> result,
                        Instant now);

  // Sets whether the process is shutting down or the instance list reports its
  // instance as leaving. A stopping side node refuses new work.
  void SetStopping(bool stopping);

  void Tick(Instant now);

  wire::HeartbeatT MakeHeartbeat() const;

  // Returns whether no work is queued or running, so that a stopping process
  // may exit.
  bool idle() const;

  const ConfigurationSharing& sharing() const { return sharing_; }
  const SequenceRunner& sequences() const { return sequences_; }
  const CallRunner& calls() const { return calls_; }

 private:
  void ConfigurationChanged();
  void UpdateLeaving();

  SideOptions options_;
  ConfigurationSharing sharing_;
  VersionLoader loader_;
  SequenceRunner sequences_;
  CallRunner calls_;
  bool stopping_ = false;
  bool draining_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROLES_SIDE_LOGIC_H_
