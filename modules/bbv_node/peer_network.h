#ifndef MODULES_BBV_NODE_PEER_NETWORK_H_
#define MODULES_BBV_NODE_PEER_NETWORK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_node/peer_handshake.h"
#include "bbv_settings/node_settings.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

struct PeerNetworkOptions {
  NodeIdentity identity;
  std::string key;
  SocketAddress listen_address;
  Milliseconds heartbeat_interval{250};
  Milliseconds silence_timeout{1000};
  std::size_t maximum_frame_bytes = 1 << 24;
  std::size_t maximum_connections = 2048;
  std::size_t maximum_send_queue_bytes = 1 << 26;
};

// Returns the options that a node's settings ask for. Thread safe.
PeerNetworkOptions MakePeerNetworkOptions(const NodeSettings& settings,
                                          NodeIdentity identity);

// What the network reports, always from its own thread.
class PeerNetworkListener {
 public:
  virtual ~PeerNetworkListener() = default;

  // An authenticated connection to `peer` is up.
  virtual void PeerConnected(const NodeIdentity& peer) = 0;

  // Connections to `peer` ended; frames either way may be lost. Follows every
  // PeerConnected(), and a SendToStage() that could not connect.
  virtual void PeerLost(const std::string& peer) = 0;

  virtual void FrameReceived(const std::string& peer, wire::FrameT frame) = 0;

  // A connection was refused or ended for `fault`, a word for the metrics.
  virtual void PeerFault(const std::string& fault) = 0;
};

// The TCP connections between the project's own processes.
//
// One thread polls all of them. Both ends prove the shared key before anything
// else is read; each connection carries heartbeats, and one that is silent for
// longer than the timeout is closed, since something between the ends may have
// lost it while new ones work.
// Thread safety: all public methods may be called from any thread.
class PeerNetwork {
 public:
  // `listener` must outlive the network.
  PeerNetwork(PeerNetworkOptions options, PeerNetworkListener* listener);
  ~PeerNetwork();

  // Opens the listening socket and starts the thread.
  Result<void> Start();

  // Sends what is queued, as far as it goes at once, and ends the thread.
  void Stop();

  // Keeps a connection to the peer at `address` open from now on. An empty
  // name stands for whoever answers there.
  void Connect(const std::string& name, const SocketAddress& address);
  void Disconnect(const std::string& name);

  // Sends to a connected peer; dropped when there is no connection.
  void Send(const std::string& name, std::string frame);

  // As Send(), but connects to `address` first when need be.
  void SendToStage(const std::string& name,
                   const SocketAddress& address,
                   std::string frame);

  // Sets the encoded frame that heartbeats carry from now on.
  void SetHeartbeat(std::string frame);

  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t control_bytes_sent() const { return control_bytes_sent_; }

 private:
  struct Connection;
  struct PersistentPeer {
    SocketAddress address;
    Instant next_attempt_at{};
    uint32_t failures = 0;
  };
  using Task = std::function<void()>;

  void Post(Task task);
  void Run();
  void RunTasks();
  void Accept();
  void Poll();
  void ConnectPersistentPeers(Instant now);
  Connection* Open(const std::string& name, const SocketAddress& address);
  Connection* Add(int fd, const std::string& expected_name, Instant now);
  void FinishConnecting(Connection* connection);
  void Read(Connection* connection, Instant now);
  void ProcessFrames(Connection* connection);
  Result<void> ProcessFrame(Connection* connection, wire::FrameT frame);
  Result<void> ProcessHandshakeFrame(Connection* connection,
                                     const wire::FrameT& frame);
  void FinishHandshake(Connection* connection);
  void Queue(Connection* connection, const std::string& bytes);
  void Write(Connection* connection);
  // Sends what the socket takes now; false when the connection is broken.
  bool SendOutgoing(Connection* connection);
  void CheckTimeouts(Instant now);
  void Close(Connection* connection, const std::string& cause);
  void ClosePeerConnections(const std::string& peer, const Connection* except);
  void RemoveClosed();
  // The connection that was opened here for `name`, ready or not.
  Connection* FindOutbound(const std::string& name);
  Connection* FindReady(const std::string& peer);
  void ReportPeerLost(const std::string& peer);

  const PeerNetworkOptions options_;
  PeerNetworkListener* const listener_;
  int listen_fd_ = -1;
  int wake_fd_ = -1;
  std::mutex mutex_;
  std::vector<Task> tasks_;
  bool stopping_ = false;
  std::thread thread_;
  // Owned by the thread from here on.
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<std::string, PersistentPeer> persistent_peers_;
  std::map<std::string, uint32_t> reported_connections_;
  std::string heartbeat_;
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> control_bytes_sent_{0};
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_PEER_NETWORK_H_
