#ifndef MODULES_BBV_ROLES_ENTRY_LOGIC_H_
#define MODULES_BBV_ROLES_ENTRY_LOGIC_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bbv_once/service_coordinator.h"
#include "bbv_pipeline/request_coordinator.h"
#include "bbv_roles/configuration_sharing.h"
#include "bbv_routing/account_index.h"
#include "bbv_routing/target_chooser.h"
#include "bbv_routing/target_table.h"

namespace bbv {

// Output interface of EntryLogic, implemented by the node that owns it.
class EntryActions : public RequestActions, public ServiceActions {
 public:
  ~EntryActions() override = default;
  void Send(const std::string& peer, wire::FrameT frame) override = 0;

  // Connect() opens a connection to the side node of `target` and keeps it
  // open until Disconnect().
  virtual void Connect(const std::string& target,
                       const std::string& address) = 0;
  virtual void Disconnect(const std::string& target) = 0;

  // Appends a record to the configuration stream. No result is reported: a
  // record takes effect only when it is read back from the log.
  virtual void AppendConfiguration(std::string record) = 0;
};

// Decision logic of an entry node.
//
// Thread safety: none, owned by the control thread. EntryNode in bbv_node adds
// the threads and sockets.
class EntryLogic {
 public:
  // `actions` must outlive the logic.
  EntryLogic(std::string name,
             std::string zone,
             uint64_t seed,
             EntryActions* actions,
             ChoicePolicy policy = ChoicePolicy::kPowerOfTwoChoices);

  // Handles a frame of any type from a peer.
  void HandleFrame(const std::string& peer,
                   const wire::FrameT& frame,
                   Instant now);
  void PeerConnected(const std::string& peer);
  void PeerLost(const std::string& peer, Instant now);

  void HandleConfigurationRecords(const LogRecords& records, Instant now);
  void ApplyInstanceList(const std::vector<std::string>& leaving);

  // Precondition: request.deadline > now and request.prompt is not empty.
  void StartRequest(ModelRequest request, Instant now);
  void DetachRequest(const RequestId& id, Instant now);

  // Precondition: deadline > now.
  void StartCall(uint64_t caller,
                 wire::ServiceCallT call,
                 Instant deadline,
                 Instant now);

  // Must be called every 10 to 100 ms.
  void Tick(Instant now);

  // Returns the current heartbeat for peers.
  wire::HeartbeatT MakeHeartbeat() const;

  // Returns whether callers may be served: either a configuration is active or
  // the configuration stream has been read to its end.
  bool ready() const;

  const Configuration& configuration() const {
    return sharing_.configuration();
  }
  const ConfigurationSharing& sharing() const { return sharing_; }
  const AccountIndex& accounts() const { return accounts_; }
  const TargetTable& targets() const { return targets_; }
  const RequestCoordinator& requests() const { return requests_; }
  const ServiceCoordinator& services() const { return services_; }

  void set_leaving(bool leaving) { leaving_ = leaving; }

 private:
  void ConfigurationChanged();
  void WriteCheckpointIfDue(Instant now);

  EntryActions* actions_;
  ConfigurationSharing sharing_;
  AccountIndex accounts_;
  TargetTable targets_;
  TargetChooser chooser_;
  RequestCoordinator requests_;
  ServiceCoordinator services_;
  std::map<std::string, std::string> connected_addresses_;
  Instant next_checkpoint_at_{};
  bool leaving_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROLES_ENTRY_LOGIC_H_
