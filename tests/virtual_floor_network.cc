// Connections of the virtual floor: how frames travel between hosts.

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "virtual_floor_hosts.h"

namespace bbv {

Microseconds VirtualFloor::Latency(int minimum_us, int maximum_us) {
  return Microseconds(
      std::uniform_int_distribution<int>(minimum_us, maximum_us)(generator_));
}

bool VirtualFloor::IsCut(const std::string& left,
                         const std::string& right) const {
  return cuts_.contains(std::minmax(left, right));
}

void VirtualFloor::WantConnection(const std::string& from,
                                  const std::string& to) {
  wanted_.insert({from, to});
  At(now_ + Latency(500, 2000), [this, from, to] { TryConnect(from, to); });
}

std::shared_ptr<VirtualFloor::Connection> VirtualFloor::TryConnect(
    const std::string& from,
    const std::string& to) {
  if (auto open = FindConnection(from, to))
    return open;
  if (!hosts_.contains(to))
    return nullptr;
  Host* left = Find(from);
  Host* right = Find(to);
  const bool possible = left->alive && right->alive && !left->frozen &&
                        !right->frozen && !IsCut(from, to);
  if (!possible)
    return nullptr;
  auto connection = std::make_shared<Connection>();
  connection->left = from;
  connection->right = to;
  connections_.push_back(connection);
  for (Host* host : {left, right}) {
    const std::string peer = host == left ? to : from;
    Post(host, Microseconds(0), [host, peer] {
      if (host->entry)
        host->entry->logic.PeerConnected(peer);
    });
  }
  // The first heartbeat follows at once.
  for (Host* host : {left, right}) {
    const std::string peer = host == left ? to : from;
    Post(host, Microseconds(1), [this, host, peer] {
      Transmit(host->name, peer,
               MakeFrame(host->entry ? host->entry->logic.MakeHeartbeat()
                                     : host->side->logic.MakeHeartbeat()));
    });
  }
  return connection;
}

std::shared_ptr<VirtualFloor::Connection> VirtualFloor::FindConnection(
    const std::string& from,
    const std::string& to) const {
  for (const auto& connection : connections_) {
    if (connection->open && connection->Joins(from, to))
      return connection;
  }
  return nullptr;
}

void VirtualFloor::Transmit(const std::string& from,
                            const std::string& to,
                            wire::FrameT frame) {
  const auto connection = FindConnection(from, to);
  if (!connection || connection->silent)
    return;
  Instant& arrival = connection->arrival[to];
  arrival = std::max(arrival, now_ + Latency(100, 2000));
  auto shared = std::make_shared<wire::FrameT>(std::move(frame));
  Host* host = Find(to);
  const auto deliver = [this, connection, host, from, shared] {
    if (!connection->open)
      return;
    if (host->entry)
      host->entry->logic.HandleFrame(from, *shared, now_);
    else
      host->side->logic.HandleFrame(from, *shared, now_);
  };
  Post(host, std::chrono::duration_cast<Microseconds>(arrival - now_), deliver);
  // Calls without a key are sent once and TCP carries them once; everything
  // else must bear being repeated late.
  if (connection->repeating && shared->body.type != wire::Body::ServiceCall)
    Post(host, Latency(5000, 3'000'000), deliver);
}

void VirtualFloor::TransmitToStage(const std::string& from,
                                   const std::string& to,
                                   wire::FrameT frame) {
  if (TryConnect(from, to))
    Transmit(from, to, std::move(frame));
  else
    LosePeer(from, to, Latency(500, 2000));
}

void VirtualFloor::LosePeer(const std::string& node,
                            const std::string& peer,
                            Microseconds delay) {
  Host* host = Find(node);
  Post(host, delay, [this, host, peer] {
    if (host->entry)
      host->entry->logic.PeerLost(peer, now_);
    else
      host->side->logic.PeerLost(peer, now_);
  });
}

void VirtualFloor::CloseConnections(const std::string& left,
                                    const std::string& right,
                                    bool notice_both) {
  for (const auto& connection : connections_) {
    if (!connection->open || !connection->Joins(left, right))
      continue;
    connection->open = false;
    LosePeer(left, right, Microseconds(0));
    if (notice_both)
      LosePeer(right, left, Latency(100, 2000));
  }
  std::erase_if(connections_, [](const auto& it) { return !it->open; });
}

void VirtualFloor::Heartbeats() {
  At(now_ + kHeartbeatInterval, [this] { Heartbeats(); });
  for (const auto& [from, to] : std::set(wanted_)) {
    if (!FindConnection(from, to))
      TryConnect(from, to);
  }
  const auto connections = connections_;
  for (const auto& connection : connections) {
    Host* left = Find(connection->left);
    Host* right = Find(connection->right);
    const bool quiet = connection->silent || left->frozen || right->frozen ||
                       !left->alive || !right->alive ||
                       IsCut(left->name, right->name);
    if (!quiet) {
      connection->silent_since = now_;
      for (Host* host : {left, right}) {
        Transmit(host->name, host == left ? right->name : left->name,
                 MakeFrame(host->entry ? host->entry->logic.MakeHeartbeat()
                                       : host->side->logic.MakeHeartbeat()));
      }
      continue;
    }
    if (connection->silent_since == Instant{})
      connection->silent_since = now_;
    if (now_ - connection->silent_since > kSilenceTimeout)
      CloseConnections(left->name, right->name, true);
  }
}

void VirtualFloor::Ticks() {
  At(now_ + kTickInterval, [this] { Ticks(); });
  for (const auto& [name, owned] : hosts_) {
    Host* host = owned.get();
    Post(host, Microseconds(0), [this, host] {
      const ConfigurationSharing& sharing = host->entry
                                                ? host->entry->logic.sharing()
                                                : host->side->logic.sharing();
      if (host->entry)
        host->entry->logic.Tick(now_);
      else
        host->side->logic.Tick(now_);
      judge_.ConfigurationSeen(host->name, sharing.fold().version(),
                               sharing.fold().digest());
      if (host->side && host->stopping && host->side->logic.idle())
        Kill(host->name);
    });
  }
}

}  // namespace bbv
