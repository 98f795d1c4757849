#ifndef TESTS_VIRTUAL_FLEET_H_
#define TESTS_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"

namespace bbv {

// Many entries that gossip and read a target list, under virtual time.
//
// Runs the decisions of bbv_membership themselves; connections are a queue of
// messages that takes a millisecond, and the store a counter. Each entry reads
// the list as ReadSchedule says and hands on what it read.
// Thread safety: none.
class VirtualFleet {
 public:
  struct Shape {
    int entries = 0;
    int zones = 1;
    // Targets, on each of which every entry has calls.
    int targets = 10;
    uint64_t seed = 1;
    // Age that a picture of the list may reach.
    Milliseconds oldest_picture{2000};
  };

  // What one entry did since the last count.
  struct Traffic {
    uint64_t messages_sent = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
    uint64_t store_calls = 0;
  };

  explicit VirtualFleet(const Shape& shape);
  ~VirtualFleet();

  // Lets time pass; `each_tick` is called after every step of 20 ms.
  void Run(Milliseconds time, const std::function<void()>& each_tick = {});

  // Ends an entry, or starts it again with nothing in memory.
  void Kill(int entry);
  void Restart(int entry);
  // Stands an entry still with what it has in memory, or lets it go on.
  void Freeze(int entry, bool frozen);
  // Cuts an entry off from the store, or from all other entries.
  void CutFromStore(int entry, bool cut);
  void CutFromEntries(int entry, bool cut);

  Instant now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  bool IsRunning(int entry) const;
  std::string ZoneOf(int entry) const;
  // The entry that relays for `zone` in its own view; -1 when there is none.
  int RelayOf(const std::string& zone) const;

  // Calls that `entry` has itself at each target, and that it knows of others.
  void SetCalls(int entry, uint32_t calls);
  uint32_t CallsOfOthers(int entry, int target) const;

  void TellFault(int entry, const std::string& target);
  bool KnowsFault(int entry, const std::string& target) const;

  // Age of the entry's picture of the list.
  Milliseconds PictureAge(int entry) const;

  // The entry's part of the shared retry budget.
  SharedRetryBudget* Budget(int entry);

  // Traffic of an entry since the last ResetTraffic().
  const Traffic& TrafficOf(int entry) const;
  void ResetTraffic();

 private:
  struct Node;
  struct Message {
    Instant arrival;
    uint64_t order = 0;
    int from = 0;
    int to = 0;
    // An encoded frame, or a list read at an instant.
    std::shared_ptr<const wire::FrameT> frame;
    std::size_t bytes = 0;
    Instant picture_at{};
  };
  struct LaterFirst {
    bool operator()(const Message& left, const Message& right) const {
      return left.arrival != right.arrival ? left.arrival > right.arrival
                                           : left.order > right.order;
    }
  };

  void StartNode(int entry);
  void Post(int from,
            const MemberTable::Ranking& to,
            const std::shared_ptr<const wire::FrameT>& frame,
            std::size_t bytes,
            Instant picture_at);
  void Deliver(const Message& message);
  void TickNode(int entry);
  void ReadList(int entry);

  Shape shape_;
  Instant now_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<MemberRecord> records_;
  std::map<std::string, int> by_address_;
  std::priority_queue<Message, std::vector<Message>, LaterFirst> messages_;
  uint64_t next_order_ = 0;
};

}  // namespace bbv

#endif  // TESTS_VIRTUAL_FLEET_H_
