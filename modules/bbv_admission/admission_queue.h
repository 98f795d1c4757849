#ifndef MODULES_BBV_ADMISSION_ADMISSION_QUEUE_H_
#define MODULES_BBV_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/intrusive_list.h"
#include "bbv_routing/fair_queue.h"

namespace bbv {

// Bounded queue of calls that wait briefly because their service has no free
// capacity.
//
// During bursts and in the seconds after a crash, capacity becomes available
// every few milliseconds, while a call that is refused immediately is retried
// only after several hundred. Calls are ordered by priority, then fairly
// between client accounts by tokens. No call waits beyond its own deadline. The
// number of waiting calls per service is limited, because further calls could
// not be served in time. If the limit is reached, a more urgent call displaces
// one of the least urgent. Deterministic. Not thread-safe; must be used from
// one thread.
class AdmissionQueue {
 public:
  struct CallParameters {
    std::string service;
    std::string account;
    // The lowest is the most urgent.
    int priority = 0;
    // Number of tokens, or 1 for calls of plain services.
    double cost = 1;
    // Time at which the call is removed and refused if it is still waiting.
    Instant deadline;
    // Number of calls of the service, this one included, that may wait.
    std::size_t max_waiting = kMaxWaitingCalls;
  };

  // A call that gave up its place to a more urgent one.
  struct Displacement {
    uint64_t id = 0;
    std::string service;
    int priority = 0;
    int urgent_priority = 0;
  };

  // Maximum number of waiting calls per service.
  static constexpr std::size_t kMaxWaitingCalls = 48;

  // Tries to send call `id`. Returns false if there is still no capacity.
  using TrySend = std::function<bool(uint64_t id)>;
  // Called for a call `id` that has reached its deadline.
  using OnExpired = std::function<void(uint64_t id)>;

  // Adds call `id`. Returns false if the queue of its service is full and no
  // waiting call is less urgent. Precondition: the call is not in the queue.
  bool Add(uint64_t id, const CallParameters& parameters);

  // Removes call `id` if it is in the queue.
  void Remove(uint64_t id);

  // Removes calls that have reached their deadlines, then sends the calls of
  // each service in order until there is no capacity for one.
  void OnTick(Instant now,
              const TrySend& try_send,
              const OnExpired& on_expired);

  // Returns the calls displaced since the last time. They are no longer in the
  // queue and must be refused.
  std::vector<Displacement> TakeDisplaced();

  std::size_t size() const { return calls_.size(); }

 private:
  struct Call : IntrusiveNode {
    uint64_t id = 0;
    // Distinguishes successive calls with the same id.
    uint64_t number = 0;
    std::string service;
    std::string account;
    uint32_t weight = 1;
    // Negated: FairQueue serves higher numbers first.
    int priority = 0;
    uint64_t cost = 1;
    Instant deadline;
  };

  // Removes one of the least urgent calls of `service` if it is less urgent
  // than `priority`: of the account with the most waiting calls, the latest.
  // Returns whether there was one.
  bool Displace(const std::string& service, int priority);
  const Call* FindLeastUrgent(const std::string& service) const;

  uint64_t next_number_ = 0;
  std::vector<Displacement> displaced_;
  std::map<uint64_t, std::unique_ptr<Call>> calls_;
  std::map<std::string, FairQueue<Call>> queues_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_ADMISSION_QUEUE_H_
