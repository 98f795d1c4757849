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

// One connection, from opening or accepting it to its end.
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
  // The wanted name this was opened for; empty for accepted ones.
  std::string expected_name;
  bool initiated = false;
  FrameReader reader;
  PeerHandshake handshake;
  std::string peer;
  std::string outgoing;
  std::size_t outgoing_position = 0;
  // Frames that wait for the end of the handshake.
  std::vector<std::string> held_frames;
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
    wanted_[key] = Wanted{address, {}, 0};
  });
}

void PeerNetwork::Disconnect(const std::string& name) {
  Post([this, name] {
    wanted_.erase(name);
    CloseAllOf(name, nullptr);
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
    connection = FindInitiated(name);
    if (connection == nullptr)
      connection = Open(name, address);
    if (connection == nullptr)
      ReportLost(name);
    else
      connection->held_frames.push_back(frame);
  });
}

void PeerNetwork::SetHeartbeat(std::string frame) {
  Post([this, frame = std::move(frame)] { heartbeat_ = frame; });
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
    // The counter is full: the thread is awake already.
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
    KeepWanted(std::chrono::steady_clock::now());
    Poll();
    CheckTimes(std::chrono::steady_clock::now());
    RemoveClosed();
  }
  for (const auto& connection : connections_) {
    if (!connection->closed)
      close(connection->fd);
  }
  connections_.clear();
}

void PeerNetwork::RunTasks() {
  uint64_t count = 0;
  if (read(wake_fd_, &count, sizeof(count)) < 0) {
    // Not woken by a task.
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
  for (std::size_t it = 0; it < polled_connections.size(); ++it) {
    Connection* connection = polled_connections[it];
    const short events = polled[it + 2].revents;
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

void PeerNetwork::KeepWanted(Instant now) {
  for (auto& [name, wanted] : wanted_) {
    if (wanted.next_attempt_at > now)
      continue;
    if (FindInitiated(name) != nullptr) {
      wanted.failures = 0;
      continue;
    }
    const uint32_t doublings =
        std::min(wanted.failures, kMaximumReconnectDoublings);
    wanted.next_attempt_at = now + kFirstReconnectDelay * (1 << doublings);
    ++wanted.failures;
    Open(name, wanted.address);
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
  connection->initiated = true;
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
    TakeFrames(connection);
    if (static_cast<std::size_t>(n) < buf.size())
      return;
  }
}

void PeerNetwork::TakeFrames(Connection* connection) {
  while (!connection->closed) {
    wire::FrameT frame;
    const auto taken = connection->reader.Next(&frame);
    if (!taken) {
      LogEvent(Event::kFrameRejected, {{"peer", connection->peer},
                                       {"error", taken.error().ToString()}});
      Close(connection, "frame");
      return;
    }
    if (!*taken)
      return;
    if (const auto result = TakeFrame(connection, std::move(frame)); !result) {
      LogEvent(Event::kPeerRejected, {{"error", result.error().ToString()}});
      // The peer needs this end's proof to see why the handshake ends.
      SendOutgoing(connection);
      Close(connection, "handshake");
      return;
    }
  }
}

Result<void> PeerNetwork::TakeFrame(Connection* connection,
                                    wire::FrameT frame) {
  if (!connection->handshake.authenticated())
    return TakeHandshakeFrame(connection, frame);
  listener_->FrameReceived(connection->peer, std::move(frame));
  return {};
}

Result<void> PeerNetwork::TakeHandshakeFrame(Connection* connection,
                                             const wire::FrameT& frame) {
  PeerHandshake& handshake = connection->handshake;
  if (const auto* hello = frame.body.AsHello()) {
    auto proof = handshake.TakeHello(*hello);
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
  if (proof == nullptr || !handshake.greeted())
    return Fail(Operation::kHandshake, "?",
                "message before the handshake's end");
  auto taken = handshake.TakeProof(*proof);
  if (taken)
    Authenticated(connection);
  return taken;
}

void PeerNetwork::Authenticated(Connection* connection) {
  const NodeIdentity& peer = connection->handshake.peer();
  for (const auto& it : connections_) {
    // A new run of the peer: nothing more will come from the old one.
    if (it->ready() && it->peer == peer.name &&
        it->handshake.peer().epoch != peer.epoch)
      CloseAllOf(peer.name, connection);
  }
  connection->peer = peer.name;
  connection->reader.SetMaximumBytes(options_.maximum_frame_bytes);
  LogEvent(Event::kPeerConnected, {{"peer", peer.name}});
  if (reported_connections_[peer.name]++ == 0)
    listener_->PeerConnected(peer);
  if (!heartbeat_.empty()) {
    Queue(connection, heartbeat_);
    control_bytes_sent_ += heartbeat_.size();
  }
  for (const std::string& frame : connection->held_frames)
    Queue(connection, frame);
  connection->held_frames.clear();
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

void PeerNetwork::CheckTimes(Instant now) {
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
  close(connection->fd);
  if (!cause.empty())
    listener_->PeerFault(cause);
  if (was_ready) {
    // What was under way on the other connections cannot be told apart.
    CloseAllOf(connection->peer, connection);
    --reported_connections_[connection->peer];
    if (reported_connections_[connection->peer] == 0) {
      reported_connections_.erase(connection->peer);
      ReportLost(connection->peer);
    }
  } else if (!connection->held_frames.empty()) {
    ReportLost(connection->expected_name);
  }
}

void PeerNetwork::CloseAllOf(const std::string& peer,
                             const Connection* except) {
  for (const auto& it : connections_) {
    if (it->ready() && it->peer == peer && it.get() != except)
      Close(it.get(), "");
  }
}

void PeerNetwork::RemoveClosed() {
  std::erase_if(connections_, [](const auto& it) { return it->closed; });
}

PeerNetwork::Connection* PeerNetwork::FindInitiated(const std::string& name) {
  for (const auto& it : connections_) {
    if (!it->closed && it->initiated && it->expected_name == name)
      return it.get();
  }
  return nullptr;
}

PeerNetwork::Connection* PeerNetwork::FindReady(const std::string& peer) {
  for (const auto& it : connections_) {
    if (it->ready() && it->peer == peer)
      return it.get();
  }
  return nullptr;
}

void PeerNetwork::ReportLost(const std::string& peer) {
  LogEvent(Event::kPeerLost, {{"peer", peer}});
  listener_->PeerLost(peer);
}

}  // namespace bbv
