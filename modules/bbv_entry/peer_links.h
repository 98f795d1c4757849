#ifndef MODULES_BBV_ENTRY_PEER_LINKS_H_
#define MODULES_BBV_ENTRY_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bbv_fleet/memory_ledger.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_membership/bbv_membership.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Connections to the other entries.
//
// A connection carries messages in one direction only: each entry opens
// connections to the entries that it sends to and receives on those that others
// open. The first message on a connection identifies its opener. Thread safety:
// none, the loop's thread.
class PeerLinks {
 public:
  // Called for each message received; `peer` is the sender's address.
  using OnMessage =
      std::function<void(const std::string& peer, const wire::FrameT&)>;

  // Bounds of what others can make this entry hold.
  struct Limits {
    // Counts the frames that are received in part; may be null.
    MemoryLedger* ledger = nullptr;
    std::size_t incoming_connections = 1024;
    // Bytes of these frames beyond which the connection that holds most of them
    // is closed. Also bounds the size of a frame.
    std::size_t buffered_bytes = 16U << 20U;
  };

  PeerLinks(EventLoop* loop, DecisionLog* log, MemberRecord own, Limits limits);
  ~PeerLinks();

  // Returns an empty string, or the reason why it cannot listen.
  std::string Start(OnMessage on_message);

  // Opens or keeps connections to these entries. A connection is closed when it
  // has not been requested for some time.
  void RequestConnections(const std::set<std::string>& addresses, Instant now);

  // Opens connections that are due and closes those that are unused, idle or
  // congested.
  void OnTick(Instant now);

  // Sends an encoded frame; it is dropped when there is no connection.
  void Send(const std::string& address, const std::string& bytes);

 private:
  class Outgoing;
  class Incoming;

  void Accept(std::unique_ptr<TcpStream> stream);
  // Closes the incoming connection that ConnectionEviction chooses.
  bool EvictIncoming(Instant now);
  void EnforceBufferBound(Instant now);

  EventLoop* loop_;
  DecisionLog* log_;
  MemberRecord own_;
  Limits limits_;
  OnMessage on_message_;
  TcpListener listener_;
  std::map<std::string, std::unique_ptr<Outgoing>> outgoing_;
  std::map<uint64_t, std::unique_ptr<Incoming>> incoming_;
  uint64_t next_id_ = 1;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_LINKS_H_
