#ifndef MODULES_BBV_ENTRY_PEER_LINKS_H_
#define MODULES_BBV_ENTRY_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bbv_entry/store_client.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_observe/decision_log.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Connections to the other entries.
//
// Each entry opens a connection to every other one and tells its state on it;
// it listens to theirs on those that they open. Entries find each other by a
// record each at the store, by the seeds of the settings, and by who connects.
// Thread safety: none, the loop's thread.
class PeerLinks {
 public:
  // Called for each message; `peer` is the sender's address.
  using OnMessage =
      std::function<void(const std::string& peer, const wire::FrameT&)>;
  // Called when nothing has been heard of a peer for some time.
  using OnSilent = std::function<void(const std::string& peer)>;

  PeerLinks(EventLoop* loop,
            StoreClient* store,
            DecisionLog* log,
            std::string name,
            SocketAddress own);
  ~PeerLinks();

  // Returns an empty text, or why it cannot listen.
  std::string Start(const std::vector<SocketAddress>& seeds,
                    OnMessage on_message,
                    OnSilent on_silent);

  // Opens, registers and drops what is due.
  void OnTick(Instant now);

  // Sends to one peer, or to all that are connected.
  void Send(const std::string& peer, const wire::FrameT& frame);
  void SendAll(const wire::FrameT& frame);

  // Entries heard lately, this one included.
  int live_entries() const;

  // Whether this entry's address comes first among those heard lately but for
  // `excluded`.
  bool IsFirstAlive(const std::set<std::string>& excluded) const;

  // Entries known of, alive or not, this one included; nothing before the
  // store's list of them was read.
  std::optional<int> known_entries() const;

  // Pause between two states, so that telling many peers stays cheap.
  Milliseconds state_pause() const;

 private:
  class Outgoing;
  class Incoming;

  void Register(Instant now);
  void ReadList();
  void Learn(const std::string& address);
  void OnFrame(const std::string& peer, const wire::FrameT& frame);

  EventLoop* loop_;
  StoreClient* store_;
  DecisionLog* log_;
  std::string name_;
  SocketAddress own_;
  OnMessage on_message_;
  OnSilent on_silent_;
  TcpListener listener_;
  std::map<std::string, std::unique_ptr<Outgoing>> outgoing_;
  std::map<uint64_t, std::unique_ptr<Incoming>> incoming_;
  std::map<std::string, Instant> heard_;
  uint64_t next_id_ = 1;
  bool registered_ = false;
  bool list_read_ = false;
  bool calling_ = false;
  Instant next_register_{};
  Instant next_list_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PEER_LINKS_H_
