#ifndef MODULES_BBV_ENTRY_PEER_LINKS_H_
#define MODULES_BBV_ENTRY_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bbv_front/event_loop.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Connections to the other entries.
//
// Each entry opens connections to those that it sends to, and listens to others
// on those that they open. The first message on a connection says who opened
// it.
// Thread safety: none, the loop's thread.
class PeerLinks {
 public:
  // Called for each message; `peer` is the sender's address.
  using OnMessage =
      std::function<void(const std::string& peer, const wire::FrameT&)>;

  PeerLinks(EventLoop* loop, DecisionLog* log, MemberRecord own);
  ~PeerLinks();

  // Returns an empty text, or why it cannot listen.
  std::string Start(OnMessage on_message);

  // Keeps connections to these entries and drops others that are not used.
  void RequestConnections(const std::set<std::string>& addresses, Instant now);

  // Opens and drops what is due.
  void OnTick(Instant now);

  // Sends bytes of an encoded frame; lost when there is no connection.
  void Send(const std::string& address, const std::string& bytes);

 private:
  class Outgoing;
  class Incoming;

  EventLoop* loop_;
  DecisionLog* log_;
  MemberRecord own_;
  OnMessage on_message_;
  TcpListener listener_;
  std::map<std::string, std::unique_ptr<Outgoing>> outgoing_;
  std::map<uint64_t, std::unique_ptr<Incoming>> incoming_;
  uint64_t next_id_ = 1;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_LINKS_H_
