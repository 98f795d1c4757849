#ifndef MODULES_BBV_NODE_ENTRY_NODE_H_
#define MODULES_BBV_NODE_ENTRY_NODE_H_

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>

#include "bbv_node/caller_authentication.h"
#include "bbv_node/control_thread.h"
#include "bbv_node/http_server.h"
#include "bbv_node/log_follower.h"
#include "bbv_node/peer_network.h"
#include "bbv_node/request_mailbox.h"
#include "bbv_node/worker_pool.h"
#include "bbv_observe/bbv_observe.h"
#include "bbv_platform/bbv_platform.h"
#include "bbv_roles/entry_logic.h"

namespace bbv {

// Result of a service call: the service's answer, or why there is none.
using CallResult = std::variant<wire::ServiceAnswerT, Refusal>;

// An entry node: runs EntryLogic with its threads, sockets and HTTP interface.
//
// Thread safety: Start() and Stop() are called by the owner; the methods for
// HTTP handlers may be called from any thread.
class EntryNode : public EntryActions, public PeerNetworkListener {
 public:
  explicit EntryNode(NodeSettings settings);
  ~EntryNode() override;

  Result<void> Start();

  // Shuts the node down gracefully: reports not ready, keeps serving for a
  // grace period so that load balancers notice, then refuses new requests as
  // not run, waits for those in flight and stops. Requests whose deadline would
  // not pass before the stop timeout are refused from the beginning. Blocks
  // until then.
  void Stop();

  // Methods for HTTP handlers.

  // Starts a model request and returns the mailbox that receives its tokens.
  RefPtr<RequestMailbox> OpenRequest(ModelRequest request);

  // Ends delivery to `mailbox`. `complete` is true if the caller has received
  // the entire response; otherwise the request is detached.
  void CloseRequest(const RequestId& id,
                    const RefPtr<RequestMailbox>& mailbox,
                    bool complete);

  // Runs a service call and blocks until it completes.
  CallResult RunCall(wire::ServiceCallT call, Instant deadline);

  // Queues `record` for appending to the configuration stream.
  void AppendConfiguration(std::string record) override;

  // Admits a request and counts it until EndCallerRequest(). Returns kNone, or
  // the reason if the request is not admitted.
  Reason BeginCallerRequest();
  void EndCallerRequest();

  const NodeSettings& settings() const { return settings_; }
  const ConfigurationViewHolder& view() const { return view_; }
  ControlThread& control() { return control_; }
  // Precondition: called on the control thread.
  EntryLogic& logic() { return logic_; }
  Metrics& metrics() { return metrics_; }
  SpanWriter& spans() { return spans_; }
  RequestId MakeRequestId();
  TraceContext MakeTrace(const std::string& traceparent);

  // EntryActions, called on the control thread.
  void Send(const std::string& peer, wire::FrameT frame) override;
  void DeliverTokens(const RequestId& id,
                     uint32_t first_index,
                     std::span<const uint64_t> tokens,
                     bool finished) override;
  void RefuseRequest(const RequestId& id, const Refusal& refusal) override;
  void AnswerCall(uint64_t caller, const wire::ServiceAnswerT& answer) override;
  void RefuseCall(uint64_t caller, const Refusal& refusal) override;
  void Connect(const std::string& target, const std::string& address) override;
  void Disconnect(const std::string& target) override;

  // PeerNetworkListener, called on the network thread.
  void PeerConnected(const NodeIdentity& peer) override;
  void PeerLost(const std::string& peer) override;
  void FrameReceived(const std::string& peer, wire::FrameT frame) override;
  void PeerFault(const std::string& fault) override;

 private:
  void Tick(Instant now);
  void PublishState();
  // Returns true if no request is open and none has begun or ended recently.
  // Thread safe.
  bool IsIdle(Instant now) const;
  void PollInstances();
  std::string SerializeMetrics();
  RefPtr<RequestMailbox> FindMailbox(const RequestId& id);
  void CompleteCall(uint64_t caller, CallResult result);

  const NodeSettings settings_;
  Metrics metrics_;
  SpanWriter spans_;
  ConfigurationViewHolder view_;
  EntryLogic logic_;
  PeerNetwork network_;
  ControlThread control_;
  LogFollower configuration_follower_;
  WorkerPool log_worker_;
  WorkerPool instance_worker_;
  LogClient log_client_;
  InstanceListClient instance_list_client_;
  HttpServer http_;

  std::mutex mailboxes_mutex_;
  std::unordered_map<RequestId, RefPtr<RequestMailbox>, RequestIdHash>
      mailboxes_;
  std::mutex calls_mutex_;
  std::map<uint64_t, std::promise<CallResult>> calls_;
  uint64_t next_caller_ = 1;
  std::mutex random_mutex_;
  std::mt19937_64 random_;

  std::atomic<bool> ready_{false};
  std::atomic<bool> leaving_{false};
  // When a stopping node begins to reject requests.
  std::atomic<Instant> reject_requests_from_{Instant::max()};
  std::atomic<int> open_requests_{0};
  // Time at which a caller's request last began or ended.
  std::atomic<Instant> last_request_{Instant{}};
  std::atomic<bool> instance_poll_running_{false};
  bool started_ = false;
  // Accessed only on the control thread.
  uint64_t published_version_ = 0;
  Instant next_instance_poll_{};
  Instant next_heartbeat_update_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_ENTRY_NODE_H_
