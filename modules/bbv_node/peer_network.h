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

// Converts node settings to network options. Thread safe.
PeerNetworkOptions MakePeerNetworkOptions(const NodeSettings& settings,
                                          NodeIdentity identity);

// Receives events of a PeerNetwork. All methods are called on the network
// thread.
class PeerNetworkListener {
 public:
  virtual ~PeerNetworkListener() = default;

  // Called when the first authenticated connection to `peer` is established.
  virtual void PeerConnected(const NodeIdentity& peer) = 0;

  // Called when all connections to `peer` have been closed; frames in transit
  // in either direction may be lost. Follows every PeerConnected() and every
  // SendToStage() that could not connect.
  virtual void PeerLost(const std::string& peer) = 0;

  virtual void FrameReceived(const std::string& peer, wire::FrameT frame) = 0;

  // Called when a connection is rejected or closed because of an error.
  // `fault` is the metric label of the cause.
  virtual void PeerFault(const std::string& fault) = 0;
};

// Manages the TCP connections between nodes.
//
// A single thread polls all connections. Both ends prove that they hold the
// shared key before any other frame is accepted. Heartbeats are sent on each
// connection, and a connection that receives nothing within the silence timeout
// is closed: a device on the path may have dropped its state while new
// connections still work.
// Thread safety: all public methods may be called from any thread.
class PeerNetwork {
 public:
  // `listener` must outlive the network.
  PeerNetwork(PeerNetworkOptions options, PeerNetworkListener* listener);
  ~PeerNetwork();

  // Opens the listening socket and starts the thread.
  Result<void> Start();

  // Writes queued data, ends its own direction of each connection and waits a
  // short time until the peers have ended theirs, so that no reset destroys the
  // last frames. Then joins the thread.
  void Stop();

  // Maintains a connection to the peer at `address`, reconnecting as needed. An
  // empty name accepts any peer name at that address.
  void Connect(const std::string& name, const SocketAddress& address);
  void Disconnect(const std::string& name);

  // Sends a frame to a connected peer. The frame is dropped if there is no
  // connection.
  void Send(const std::string& name, std::string frame);

  // Like Send(), but connects to `address` first if there is no connection.
  void SendToStage(const std::string& name,
                   const SocketAddress& address,
                   std::string frame);

  // Sets the encoded frame to send as the heartbeat.
  void SetHeartbeat(std::string frame);

  // Sends the heartbeat to all peers without waiting for its interval.
  void SendHeartbeat();

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
  // Ends all connections in order.
  void FinishConnections();
  // Sends what is queued, and discards what comes until the peer's end.
  void Finish(Connection* connection);
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
  // Writes without blocking as much as the socket accepts. Returns false if the
  // connection is broken.
  bool SendOutgoing(Connection* connection);
  void CheckTimeouts(Instant now);
  void Close(Connection* connection, const std::string& cause);
  void ClosePeerConnections(const std::string& peer, const Connection* except);
  void RemoveClosed();
  // Returns the outbound connection for `name`, authenticated or not.
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
  // The members below are accessed only on the network thread, except for the
  // atomic counters.
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<std::string, PersistentPeer> persistent_peers_;
  std::map<std::string, uint32_t> ready_connection_counts_;
  std::string heartbeat_;
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> control_bytes_sent_{0};
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_PEER_NETWORK_H_
