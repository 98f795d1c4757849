#ifndef TESTS_VIRTUAL_FLOOR_H_
#define TESTS_VIRTUAL_FLOOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bbv_config/intent.h"
#include "bbv_platform/log_client.h"
#include "bbv_roles/bbv_roles.h"
#include "judge.h"
#include "standins/fake_engine.h"
#include "standins/fake_log.h"

namespace bbv {

// Sizes of a virtual floor.
struct FloorShape {
  int entries = 2;
  int stages = 3;
  int replicas = 2;
  int services = 2;
  uint32_t layers = 6;
  // One account for each weight; the first is "workshop", then "a1", "a2".
  std::vector<uint32_t> account_weights = {1};
  // Speeds by replica, repeated as needed.
  std::vector<uint32_t> speeds = {100};
  uint32_t maximum_running = 512;
  uint32_t maximum_queued = 8;
  ChoicePolicy policy = ChoicePolicy::kPowerOfTwoChoices;
  // How long an engine takes for an iteration; without it 0.3 to 1.5 ms.
  std::function<Microseconds(const Target&, const wire::EngineBatchT&)>
      engine_time;
};

// One caller's request for StartWork().
struct WorkItem {
  std::string name;
  std::string entry;
  std::size_t account = 0;
  uint32_t prompt_tokens = 1;
  uint32_t tokens = 1;
  // From its start until it is given up.
  Milliseconds timeout{20'000};
};

// Entries and sides (the real decision code) joined by fake links, engines,
// services and a log, in virtual time: the same seed gives the same run.
//
// Entries are "e0", "e1", targets "t<stage>-<replica>", services "s0", "s1".
// Thread safety: none; several floors may run on several threads.
class VirtualFloor {
 public:
  VirtualFloor(const FloorShape& shape, uint64_t seed);
  ~VirtualFloor();

  // Runs `event` at `at`; runs everything due up to `until`.
  void At(Instant at, std::function<void()> event);
  void RunUntil(Instant until);
  Instant now() const { return now_; }

  // Callers. `name` identifies request or caller in scenarios.
  void StartRequest(const std::string& name,
                    const std::string& entry,
                    uint32_t tokens);
  void StartWork(const WorkItem& work);
  void ResumeRequest(const std::string& name, const std::string& entry);
  void StartCall(const std::string& caller,
                 const std::string& entry,
                 const std::string& key,
                 bool idempotent);

  // Faults. Killing a target ends its engine or service too.
  void Kill(const std::string& node);
  void KillTarget(const std::string& node);
  void Restart(const std::string& node);
  void Freeze(const std::string& node);
  void Thaw(const std::string& node);
  void Cut(const std::string& left, const std::string& right);
  void Heal(const std::string& left, const std::string& right);
  void Silence(const std::string& left, const std::string& right);
  // From now on every frame on the connection arrives a second time, late.
  void Repeat(const std::string& left, const std::string& right);
  void SetLogOutage(bool outage);
  void LoseLogAnswers(int n) { log_lost_answers_ += n; }
  void DelayLogAppends(int n) { log_delayed_appends_ += n; }
  void TrimLog(const std::string& stream, uint64_t offset);
  void LoseTargetAnswers(const std::string& node, int count);
  void RefuseTargetCall(const std::string& node);
  void StopNode(const std::string& node);
  void ListLeaving(const std::string& node, Milliseconds lag);

  // Operators.
  void PlanIntent(const std::string& name,
                  const std::string& entry,
                  const std::vector<std::string>& words);
  void ConfirmPlan(const std::string& name, const std::string& entry);
  std::string PlanStateOn(const std::string& name, const std::string& node);

  static RequestId RequestIdOf(const std::string& name);
  RequestId CallIdOf(const std::string& caller) const;
  Judge& judge() { return judge_; }

  // What callers see, for benches.
  std::function<void(const RequestId&, std::size_t tokens, bool finished)>
      on_delivery;
  std::function<void(const RequestId&, const Refusal&)> on_refusal;

  // Attempts that all entries started.
  uint64_t AttemptsStarted() const;

  // Returns whether every live node holds one configuration.
  bool ConfigurationsAgree() const;
  std::vector<std::string> NodeNames() const;

 private:
  class EntryHost;
  class SideHost;
  struct Host;
  struct Connection;
  struct Event {
    Instant at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  Host* Find(const std::string& node) const;
  void StartHost(const std::string& node);
  Configuration MakeConfiguration() const;

  // Runs `event` on `host` after `delay`, unless the host has died by then; a
  // frozen host runs it on thawing.
  void Post(Host* host, Microseconds delay, std::function<void()> event);
  Microseconds Latency(int minimum_us, int maximum_us);

  void WantConnection(const std::string& from, const std::string& to);
  std::shared_ptr<Connection> TryConnect(const std::string& from,
                                         const std::string& to);
  std::shared_ptr<Connection> FindConnection(const std::string& from,
                                             const std::string& to) const;
  void Transmit(const std::string& from,
                const std::string& to,
                wire::FrameT frame);
  void TransmitToStage(const std::string& from,
                       const std::string& to,
                       wire::FrameT frame);
  void CloseConnections(const std::string& left,
                        const std::string& right,
                        bool notice_both);
  void LosePeer(const std::string& node,
                const std::string& peer,
                Microseconds delay);
  void Heartbeats();
  void Ticks();
  bool IsCut(const std::string& left, const std::string& right) const;

  using AppendDone = std::function<void(const Result<void>&)>;
  void AppendToLog(const std::string& stream,
                   const std::string& record,
                   const AppendDone& done);
  void Publish(const std::string& stream);
  void PollLog(Host* host, const std::string& stream);

  const FloorShape shape_;
  std::mt19937_64 generator_;
  Instant now_{};
  uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::set<std::pair<std::string, std::string>> wanted_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, Target> targets_;
  standins::FakeLog log_;
  bool log_outage_ = false;
  int log_lost_answers_ = 0;
  int log_delayed_appends_ = 0;
  Judge judge_;
  uint64_t next_epoch_ = 1;
  uint64_t next_caller_ = 1;
  std::map<uint64_t, std::string> callers_;
  std::map<std::string, RequestId> call_ids_;
  std::map<std::string, uint32_t> request_tokens_;
  std::map<std::string, std::string> request_entries_;
  std::map<std::string, std::string> call_entries_;
};

}  // namespace bbv

#endif  // TESTS_VIRTUAL_FLOOR_H_
