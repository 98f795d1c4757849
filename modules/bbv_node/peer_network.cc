#include "bbv_node/peer_network.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr int kListenBacklog = 256;
constexpr int kPollTimeoutMs = 20;
constexpr std::size_t kReadBytes = 1 << 16;
constexpr std::size_t kHandshakeFrameBytes = 4096;
constexpr Milliseconds kHandshakeTimeout{2000};
constexpr Milliseconds kFirstReconnectDelay{50};
constexpr uint32_t kMaximumReconnectDoublings = 4;
// Time for which a stopping network waits for its peers to end connections.
constexpr Milliseconds kFinishTime{200};
constexpr int kFinishPollMs = 2;

sockaddr_in ToSockaddr(const SocketAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return fd;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

}  // namespace

PeerNetworkOptions MakePeerNetworkOptions(const NodeSettings& settings,
                                          NodeIdentity identity) {
  PeerNetworkOptions options;
  options.identity = std::move(identity);
  options.key = settings.peer_key;
  options.listen_address = settings.peer_address;
  options.heartbeat_interval = Milliseconds(settings.heartbeat_interval_ms);
  options.silence_timeout = Milliseconds(settings.silence_timeout_ms);
  options.maximum_frame_bytes = settings.maximum_frame_bytes;
  options.maximum_connections = settings.maximum_connections;
  options.maximum_send_queue_bytes = settings.maximum_send_queue_bytes;
  return options;
}

// State of one inbound or outbound connection.
struct PeerNetwork::Connection {
  Connection(const PeerNetworkOptions& options, int socket, Instant now)
      : fd(socket),
        reader(kHandshakeFrameBytes),
        handshake(options.identity, options.key),
        last_received(now),
        handshake_deadline(now + kHandshakeTimeout) {}

  bool ready() const { return !closed && handshake.authenticated(); }

  int fd;
  bool connecting = false;
  bool closed = false;
  // Whether this end has sent all it will send.
  bool shut_down = false;
  // Name that the connection was opened for; empty for inbound connections.
  std::string expected_name;
  bool outbound = false;
  FrameReader reader;
  PeerHandshake handshake;
  std::string peer;
  std::string outgoing;
  std::size_t outgoing_position = 0;
  // Frames to send once the handshake has completed.
  std::vector<std::string> deferred_frames;
  Instant last_received;
  Instant handshake_deadline;
  Instant next_heartbeat{};
};

PeerNetwork::PeerNetwork(PeerNetworkOptions options,
                         PeerNetworkListener* listener)
    : options_(std::move(options)), listener_(listener) {
  assert(listener != nullptr);
}

PeerNetwork::~PeerNetwork() {
  Stop();
}

Result<void> PeerNetwork::Start() {
  const std::string peer = options_.listen_address.ToString();
  listen_fd_ = OpenSocket();
  if (listen_fd_ < 0)
    return Fail(Operation::kConnect, peer, std::strerror(errno));
  const int on = 1;
  setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(options_.listen_address);
  if (bind(listen_fd_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listen_fd_, kListenBacklog) != 0) {
    return Fail(Operation::kConnect, peer, std::strerror(errno));
  }
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  thread_ = std::thread([this] { Run(); });
  return {};
}

void PeerNetwork::Stop() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    Post([] {});
    thread_.join();
  }
  for (const int fd : {listen_fd_, wake_fd_}) {
    if (fd >= 0)
      close(fd);
  }
  listen_fd_ = -1;
  wake_fd_ = -1;
}

void PeerNetwork::Connect(const std::string& name,
                          const SocketAddress& address) {
  Post([this, name, address] {
    const std::string key = name.empty() ? "@" + address.ToString() : name;
    persistent_peers_[key] = PersistentPeer{address, {}, 0};
  });
}

void PeerNetwork::Disconnect(const std::string& name) {
  Post([this, name] {
    persistent_peers_.erase(name);
    ClosePeerConnections(name, nullptr);
  });
}

void PeerNetwork::Send(const std::string& name, std::string frame) {
  Post([this, name, frame = std::move(frame)] {
    if (Connection* connection = FindReady(name))
      Queue(connection, frame);
  });
}

void PeerNetwork::SendToStage(const std::string& name,
                              const SocketAddress& address,
                              std::string frame) {
  Post([this, name, address, frame = std::move(frame)] {
    Connection* connection = FindReady(name);
    if (connection != nullptr) {
      Queue(connection, frame);
      return;
    }
    connection = FindOutbound(name);
    if (connection == nullptr)
      connection = Open(name, address);
    if (connection == nullptr)
      ReportPeerLost(name);
    else
      connection->deferred_frames.push_back(frame);
  });
}

void PeerNetwork::SetHeartbeat(std::string frame) {
  Post([this, frame = std::move(frame)] { heartbeat_ = frame; });
}

void PeerNetwork::SendHeartbeat() {
  Post([this] {
    for (const auto& connection : connections_)
      connection->next_heartbeat = {};
  });
}

void PeerNetwork::Post(Task task) {
  {
    const std::scoped_lock lock(mutex_);
    tasks_.push_back(std::move(task));
    if (tasks_.size() > 1)
      return;
  }
  const uint64_t one = 1;
  if (write(wake_fd_, &one, sizeof(one)) < 0) {
    // The eventfd counter is saturated, so the thread is already awake.
  }
}

void PeerNetwork::Run() {
  while (true) {
    RunTasks();
    for (const auto& connection : connections_) {
      if (!connection->closed && !connection->outgoing.empty())
        Write(connection.get());
    }
    {
      const std::scoped_lock lock(mutex_);
      if (stopping_ && tasks_.empty())
        break;
    }
    ConnectPersistentPeers(std::chrono::steady_clock::now());
    Poll();
    CheckTimeouts(std::chrono::steady_clock::now());
    RemoveClosed();
  }
  FinishConnections();
}

void PeerNetwork::FinishConnections() {
  const Instant deadline = std::chrono::steady_clock::now() + kFinishTime;
  while (!connections_.empty() && std::chrono::steady_clock::now() < deadline) {
    for (const auto& connection : connections_) {
      if (!connection->closed)
        Finish(connection.get());
    }
    RemoveClosed();
    poll(nullptr, 0, kFinishPollMs);
  }
  for (const auto& connection : connections_)
    close(connection->fd);
  connections_.clear();
}

void PeerNetwork::Finish(Connection* connection) {
  bool ended = connection->connecting || !SendOutgoing(connection);
  if (!ended && !connection->shut_down && connection->outgoing.empty()) {
    connection->shut_down = true;
    shutdown(connection->fd, SHUT_WR);
  }
  std::array<char, kReadBytes> buf;
  ssize_t n = 1;
  while (!ended && n > 0)
    n = recv(connection->fd, buf.data(), buf.size(), 0);
  ended = ended || n == 0 || (errno != EAGAIN && errno != EINTR);
  if (!ended)
    return;
  close(connection->fd);
  connection->closed = true;
}

void PeerNetwork::RunTasks() {
  uint64_t count = 0;
  if (read(wake_fd_, &count, sizeof(count)) < 0) {
    // The eventfd counter is zero: no task woke the thread.
  }
  std::vector<Task> tasks;
  {
    const std::scoped_lock lock(mutex_);
    tasks.swap(tasks_);
  }
  for (Task& task : tasks)
    task();
}

void PeerNetwork::Poll() {
  std::vector<pollfd> polled;
  std::vector<Connection*> polled_connections;
  polled.push_back({wake_fd_, POLLIN, 0});
  polled.push_back({listen_fd_, POLLIN, 0});
  for (const auto& connection : connections_) {
    if (connection->closed)
      continue;
    short events = POLLIN;
    if (connection->connecting || !connection->outgoing.empty())
      events |= POLLOUT;
    polled.push_back({connection->fd, events, 0});
    polled_connections.push_back(connection.get());
  }
  if (poll(polled.data(), polled.size(), kPollTimeoutMs) <= 0)
    return;
  const Instant now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < polled_connections.size(); ++i) {
    Connection* connection = polled_connections[i];
    const short events = polled[i + 2].revents;
    if (events == 0 || connection->closed)
      continue;
    if (connection->connecting) {
      FinishConnecting(connection);
      continue;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
      Read(connection, now);
    if ((events & POLLOUT) != 0 && !connection->closed)
      Write(connection);
  }
  if (polled[1].revents != 0)
    Accept();
}

void PeerNetwork::Accept() {
  while (true) {
    const int fd =
        accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    if (connections_.size() >= options_.maximum_connections) {
      listener_->PeerFault("too-many-connections");
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Connection* connection = Add(fd, "", std::chrono::steady_clock::now());
    Queue(connection,
          EncodeFrame(MakeFrame(connection->handshake.MakeHello())));
  }
}

void PeerNetwork::ConnectPersistentPeers(Instant now) {
  for (auto& [name, persistent_peer] : persistent_peers_) {
    if (persistent_peer.next_attempt_at > now)
      continue;
    if (FindOutbound(name) != nullptr) {
      persistent_peer.failures = 0;
      continue;
    }
    const uint32_t doublings =
        std::min(persistent_peer.failures, kMaximumReconnectDoublings);
    persistent_peer.next_attempt_at =
        now + kFirstReconnectDelay * (1 << doublings);
    ++persistent_peer.failures;
    Open(name, persistent_peer.address);
  }
}

PeerNetwork::Connection* PeerNetwork::Open(const std::string& name,
                                           const SocketAddress& address) {
  const int fd = OpenSocket();
  if (fd < 0)
    return nullptr;
  const sockaddr_in target = ToSockaddr(address);
  const int connected =
      connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  if (connected != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  Connection* connection = Add(fd, name, std::chrono::steady_clock::now());
  connection->outbound = true;
  connection->connecting = true;
  return connection;
}

PeerNetwork::Connection* PeerNetwork::Add(int fd,
                                          const std::string& expected_name,
                                          Instant now) {
  connections_.push_back(std::make_unique<Connection>(options_, fd, now));
  connections_.back()->expected_name = expected_name;
  return connections_.back().get();
}

void PeerNetwork::FinishConnecting(Connection* connection) {
  int ec = 0;
  socklen_t n = sizeof(ec);
  getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &ec, &n);
  if (ec != 0) {
    Close(connection, "");
    return;
  }
  connection->connecting = false;
  Queue(connection, EncodeFrame(MakeFrame(connection->handshake.MakeHello())));
}

void PeerNetwork::Read(Connection* connection, Instant now) {
  std::array<char, kReadBytes> buf;
  while (!connection->closed) {
    const ssize_t n = recv(connection->fd, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (n <= 0) {
      Close(connection, "");
      return;
    }
    connection->last_received = now;
    connection->reader.Append({buf.data(), static_cast<std::size_t>(n)});
    ProcessFrames(connection);
    if (static_cast<std::size_t>(n) < buf.size())
      return;
  }
}

void PeerNetwork::ProcessFrames(Connection* connection) {
  while (!connection->closed) {
    wire::FrameT frame;
    const auto parsed = connection->reader.Next(&frame);
    if (!parsed) {
      LogEvent(Event::kFrameRejected, {{"peer", connection->peer},
                                       {"error", parsed.error().ToString()}});
      Close(connection, "frame");
      return;
    }
    if (!*parsed)
      return;
    if (const auto result = ProcessFrame(connection, std::move(frame));
        !result) {
      LogEvent(Event::kPeerRejected, {{"error", result.error().ToString()}});
      // The peer needs the local proof to detect a key mismatch on its side.
      SendOutgoing(connection);
      Close(connection, "handshake");
      return;
    }
  }
}

Result<void> PeerNetwork::ProcessFrame(Connection* connection,
                                       wire::FrameT frame) {
  if (!connection->handshake.authenticated())
    return ProcessHandshakeFrame(connection, frame);
  listener_->FrameReceived(connection->peer, std::move(frame));
  return {};
}

Result<void> PeerNetwork::ProcessHandshakeFrame(Connection* connection,
                                                const wire::FrameT& frame) {
  PeerHandshake& handshake = connection->handshake;
  if (const auto* hello = frame.body.AsHello()) {
    auto proof = handshake.ProcessHello(*hello);
    if (!proof)
      return tl::make_unexpected(proof.error());
    const std::string& expected = connection->expected_name;
    const bool any_name = expected.empty() || expected.starts_with('@');
    if (!any_name && hello->node != expected)
      return Fail(Operation::kHandshake, hello->node, "expected " + expected);
    Queue(connection, EncodeFrame(MakeFrame(std::move(*proof))));
    return {};
  }
  const auto* proof = frame.body.AsHelloProof();
  if (proof == nullptr || !handshake.hello_received())
    return Fail(Operation::kHandshake, "?",
                "message received before the end of the handshake");
  auto verified = handshake.VerifyProof(*proof);
  if (verified)
    FinishHandshake(connection);
  return verified;
}

void PeerNetwork::FinishHandshake(Connection* connection) {
  const NodeIdentity& peer = connection->handshake.peer();
  for (const auto& other : connections_) {
    // A different epoch means that the peer process has restarted; connections
    // of its previous run will receive nothing more.
    if (other->ready() && other->peer == peer.name &&
        other->handshake.peer().epoch != peer.epoch)
      ClosePeerConnections(peer.name, connection);
  }
  connection->peer = peer.name;
  connection->reader.SetMaximumBytes(options_.maximum_frame_bytes);
  LogEvent(Event::kPeerConnected, {{"peer", peer.name}});
  if (ready_connection_counts_[peer.name]++ == 0)
    listener_->PeerConnected(peer);
  if (!heartbeat_.empty()) {
    Queue(connection, heartbeat_);
    control_bytes_sent_ += heartbeat_.size();
  }
  for (const std::string& frame : connection->deferred_frames)
    Queue(connection, frame);
  connection->deferred_frames.clear();
}

void PeerNetwork::Queue(Connection* connection, const std::string& bytes) {
  if (connection->outgoing.size() - connection->outgoing_position +
          bytes.size() >
      options_.maximum_send_queue_bytes) {
    Close(connection, "send-queue");
    return;
  }
  connection->outgoing += bytes;
}

void PeerNetwork::Write(Connection* connection) {
  if (!connection->connecting && !SendOutgoing(connection))
    Close(connection, "");
}

bool PeerNetwork::SendOutgoing(Connection* connection) {
  while (connection->outgoing_position < connection->outgoing.size()) {
    const ssize_t n =
        send(connection->fd,
             connection->outgoing.data() + connection->outgoing_position,
             connection->outgoing.size() - connection->outgoing_position,
             MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return true;
    if (n <= 0)
      return false;
    bytes_sent_ += n;
    connection->outgoing_position += n;
  }
  connection->outgoing.clear();
  connection->outgoing_position = 0;
  return true;
}

void PeerNetwork::CheckTimeouts(Instant now) {
  for (const auto& connection : connections_) {
    if (connection->closed)
      continue;
    if (!connection->handshake.authenticated()) {
      if (connection->handshake_deadline <= now)
        Close(connection.get(), "handshake-timeout");
      continue;
    }
    if (now - connection->last_received > options_.silence_timeout) {
      LogEvent(Event::kPeerSilent, {{"peer", connection->peer}});
      Close(connection.get(), "silent");
      continue;
    }
    if (now >= connection->next_heartbeat && !heartbeat_.empty()) {
      connection->next_heartbeat = now + options_.heartbeat_interval;
      control_bytes_sent_ += heartbeat_.size();
      Queue(connection.get(), heartbeat_);
    }
  }
}

void PeerNetwork::Close(Connection* connection, const std::string& cause) {
  if (connection->closed)
    return;
  const bool was_ready = connection->ready();
  connection->closed = true;
  // Reported first, so that the fault is on record when the peer sees the end.
  if (!cause.empty())
    listener_->PeerFault(cause);
  close(connection->fd);
  if (was_ready) {
    // Frames in flight on the peer's other connections cannot be told apart
    // from those lost here, so all of its connections are closed.
    ClosePeerConnections(connection->peer, connection);
    --ready_connection_counts_[connection->peer];
    if (ready_connection_counts_[connection->peer] == 0) {
      ready_connection_counts_.erase(connection->peer);
      ReportPeerLost(connection->peer);
    }
  } else if (!connection->deferred_frames.empty()) {
    ReportPeerLost(connection->expected_name);
  }
}

void PeerNetwork::ClosePeerConnections(const std::string& peer,
                                       const Connection* except) {
  for (const auto& other : connections_) {
    if (other->ready() && other->peer == peer && other.get() != except)
      Close(other.get(), "");
  }
}

void PeerNetwork::RemoveClosed() {
  std::erase_if(connections_,
                [](const auto& candidate) { return candidate->closed; });
}

PeerNetwork::Connection* PeerNetwork::FindOutbound(const std::string& name) {
  for (const auto& candidate : connections_) {
    if (!candidate->closed && candidate->outbound &&
        candidate->expected_name == name)
      return candidate.get();
  }
  return nullptr;
}

PeerNetwork::Connection* PeerNetwork::FindReady(const std::string& peer) {
  for (const auto& candidate : connections_) {
    if (candidate->ready() && candidate->peer == peer)
      return candidate.get();
  }
  return nullptr;
}

void PeerNetwork::ReportPeerLost(const std::string& peer) {
  LogEvent(Event::kPeerLost, {{"peer", peer}});
  listener_->PeerLost(peer);
}

}  // namespace bbv
