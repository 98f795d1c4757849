#ifndef TESTS_VIRTUAL_FLEET_H_
#define TESTS_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/bbv_membership.h"

namespace bbv {

// Simulates many entries that gossip and read a target list, in virtual time.
//
// Runs the decision logic of bbv_membership. Connections are modelled as a
// message queue with a latency of 1 ms, the store as a call counter. Each entry
// reads the list as scheduled by ReadSchedule and shares it with its zone.
// Thread safety: none.
class VirtualFleet {
 public:
  struct Options {
    int entries = 0;
    int zones = 1;
    // Number of targets; every entry has calls in flight on each of them.
    int targets = 10;
    uint64_t seed = 1;
    // Maximum age that an entry's target list may reach.
    Milliseconds max_list_age{2000};
  };

  // Traffic of one entry since the last ResetTraffic().
  struct Traffic {
    uint64_t messages_sent = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
    uint64_t store_calls = 0;
  };

  explicit VirtualFleet(const Options& options);
  ~VirtualFleet();

  // Advances virtual time; `on_tick` is called after every step of 20 ms.
  void Run(Milliseconds time, const std::function<void()>& on_tick = {});

  // Kills an entry, or restarts it without any state.
  void Kill(int entry);
  void Restart(int entry);
  // Suspends an entry, which keeps its state, or resumes it.
  void Freeze(int entry, bool frozen);
  // Tells an entry to stop, which it announces while it goes on running.
  void Leave(int entry);
  // Makes an entry plan, so that it shares a report of every target.
  void Plan(int entry);
  // Starts or ends a network partition between an entry and the store, or
  // between an entry and all others.
  void SetStorePartition(int entry, bool partitioned);
  void SetPeerPartition(int entry, bool partitioned);

  Instant now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  bool IsRunning(int entry) const;
  std::string ZoneOf(int entry) const;
  // How many running entries consider themselves the relay of `zone`, and how
  // many its first reader.
  int RelayCount(const std::string& zone) const;
  int FirstReaderCount(const std::string& zone) const;
  // The entry that considers itself the relay of `zone`; -1 if there is none.
  int RelayOf(const std::string& zone) const;

  // Sets the number of calls that `entry` has in flight on each target.
  void SetCalls(int entry, uint32_t calls);
  // Calls of other entries on `target` that `entry` knows of.
  uint32_t PeerCalls(int entry, int target) const;

  void AnnounceFault(int entry, const std::string& target);
  bool KnowsFault(int entry, const std::string& target) const;

  // Reports a crash of `target` under a call with `part` that had no output.
  void ReportCrash(int entry, uint32_t target, uint64_t part);
  int CrashCount(int entry, uint64_t part) const;

  // Starts a quarantine of `part` at one entry, which tells the others.
  void Quarantine(int entry, uint64_t part);
  bool IsQuarantined(int entry, uint64_t part) const;

  // Makes the target, which is in zone-0, name a rate limit in its responses;
  // empty ends this.
  void NameRateLimit(std::optional<double> per_second);
  // A caller's call arrives at `entry`, which sends it to the target if it may.
  // Returns whether it was sent.
  bool CallLimitedTarget(int entry);
  // Whether `entry` knows that the target has a limit.
  bool KnowsRateLimit(int entry) const;

  // Age of the entry's target list.
  Milliseconds ListAge(int entry) const;

  // The entry's share of the retry budget.
  SharedRetryBudget* Budget(int entry);

  const Traffic& TrafficOf(int entry) const;
  void ResetTraffic();

 private:
  struct Node;
  struct Message {
    Instant arrival;
    uint64_t order = 0;
    int from = 0;
    int to = 0;
    // The frame; null for a target list that was read at `snapshot_time`.
    std::shared_ptr<const wire::FrameT> frame;
    std::size_t bytes = 0;
    Instant snapshot_time{};
  };
  struct ArrivesLater {
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
            Instant snapshot_time);
  void Deliver(const Message& message);
  void TickNode(int entry);
  void ReadList(int entry);

  Options options_;
  Instant now_;
  std::mt19937_64 random_;
  // Limit that the target names.
  std::optional<double> rate_limit_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<MemberRecord> records_;
  std::map<std::string, int> by_address_;
  std::priority_queue<Message, std::vector<Message>, ArrivesLater> messages_;
  uint64_t next_order_ = 0;
};

}  // namespace bbv

#endif  // TESTS_VIRTUAL_FLEET_H_
