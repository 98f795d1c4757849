#ifndef MODULES_BBV_FLEET_WAITING_ROOM_H_
#define MODULES_BBV_FLEET_WAITING_ROOM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_routing/fair_queue.h"

namespace bbv {

// Calls that wait a short time because their service has no room.
//
// Answers the load of bursts and of seconds after a crash: room comes free
// every few milliseconds then, and a call that is refused at once returns only
// after several hundred. Order is by priority, then fair between client
// accounts in tokens. Nobody waits for longer than its own limit, and beyond a
// number of waiting calls none is added: those could not be served in time.
// Deterministic. Thread safety: none, owned by one thread.
class AdmissionQueue {
 public:
  // What a call needs to wait.
  struct CallParameters {
    std::string service;
    std::string account;
    // 0 is first.
    int priority = 0;
    // Tokens, or 1 for plain calls.
    double cost = 1;
    // When it gives up.
    Instant deadline;
  };

  // Tries to send call `id`; returns false when there is still no room.
  using TrySend = std::function<bool(uint64_t id)>;
  // Call `id` has waited in vain.
  using GiveUp = std::function<void(uint64_t id)>;

  // Adds call `id`; false when too many wait. Precondition: it does not wait.
  bool Add(uint64_t id, const CallParameters& ticket);

  // Takes call `id` out, if it waits.
  void Remove(uint64_t id);

  // Ends calls past their deadlines and sends others in order, service by
  // service, until one finds no room.
  void OnTick(Instant now, const TrySend& try_send, const GiveUp& give_up);

  std::size_t size() const { return calls_.size(); }

 private:
  struct Call : IntrusiveNode {
    uint64_t id = 0;
    std::string service;
    std::string account;
    uint32_t weight = 1;
    uint8_t priority = 0;
    uint64_t cost = 1;
    Instant deadline;
  };

  std::map<uint64_t, std::unique_ptr<Call>> calls_;
  std::map<std::string, FairQueue<Call>> queues_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_WAITING_ROOM_H_
