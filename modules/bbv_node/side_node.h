#ifndef MODULES_BBV_NODE_SIDE_NODE_H_
#define MODULES_BBV_NODE_SIDE_NODE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "bbv_node/control_thread.h"
#include "bbv_node/http_server.h"
#include "bbv_node/log_follower.h"
#include "bbv_node/peer_network.h"
#include "bbv_node/worker_pool.h"
#include "bbv_observe/bbv_observe.h"
#include "bbv_platform/bbv_platform.h"
#include "bbv_roles/side_logic.h"

namespace bbv {

// The side node of one target: runs SideLogic with its threads and sockets.
//
// Thread safety: Start() and Stop() are called by the owner.
class SideNode : public SideActions, public PeerNetworkListener {
 public:
  explicit SideNode(NodeSettings settings);
  ~SideNode() override;

  Result<void> Start();

  // Shuts the node down gracefully: accepts no new work, finishes work in
  // progress up to the stop timeout, then stops. Blocks until then.
  void Stop();

  // SideActions, called on the control thread.
  void Send(const std::string& peer, wire::FrameT frame) override;
  void SendToStage(const std::string& target,
                   const std::string& address,
                   wire::FrameT frame) override;
  void RunEngine(wire::EngineBatchT batch) override;
  void CallService(const wire::ServiceCallT& call) override;
  void AppendClaims(std::string record) override;
  void SendLoadOrder(const LoadOrder& order) override;

  // PeerNetworkListener, called on the network thread.
  void PeerConnected(const NodeIdentity& peer) override;
  void PeerLost(const std::string& peer) override;
  void FrameReceived(const std::string& peer, wire::FrameT frame) override;
  void PeerFault(const std::string& fault) override;

 private:
  // Trace span of a request on this node. Opened by the first step of an
  // attempt or by a service call, closed by the release or the answer.
  struct ActiveSpan {
    TraceContext context;
    uint64_t start_unix_nanoseconds = 0;
  };

  void Tick(Instant now);
  // Waits until the entries must know that this node leaves and no work is
  // left, or until `deadline`.
  void WaitUntilLeft(Instant deadline);
  void PollInstances();
  std::string SerializeMetrics();
  void TraceFrame(const wire::FrameT& frame);
  void EndSpan(const RequestId& id, const std::string& name);

  const NodeSettings settings_;
  Metrics metrics_;
  SpanWriter spans_;
  std::mt19937_64 random_;
  SideLogic logic_;
  PeerNetwork network_;
  ControlThread control_;
  LogFollower configuration_follower_;
  std::unique_ptr<LogFollower> claim_follower_;
  WorkerPool engine_worker_;
  WorkerPool load_worker_;
  WorkerPool call_workers_;
  WorkerPool log_worker_;
  WorkerPool instance_worker_;
  EngineClient engine_client_;
  EngineClient load_client_;
  LogClient log_client_;
  InstanceListClient instance_list_client_;
  HttpServer http_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};
  // Time at which an entry or another side node last sent work.
  std::atomic<Instant> last_work_{Instant{}};
  bool started_ = false;
  // Accessed only on the control thread.
  std::unordered_map<RequestId, ActiveSpan, RequestIdHash> active_spans_;
  Instant next_instance_poll_{};
  Instant next_heartbeat_update_{};
  bool listed_leaving_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_SIDE_NODE_H_
