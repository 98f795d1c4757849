#ifndef TESTS_VIRTUAL_FLOOR_HOSTS_H_
#define TESTS_VIRTUAL_FLOOR_HOSTS_H_

// The parts of VirtualFloor that only its own files see: hosts, connections and
// the times of the floor.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/hashing.h"
#include "virtual_floor.h"

namespace bbv {

inline constexpr char kModel[] = "assistant";
inline constexpr char kVersion[] = "v1";
inline constexpr char kService[] = "booking";
inline constexpr Milliseconds kSilenceTimeout{1000};
inline constexpr Milliseconds kHeartbeatInterval{250};
inline constexpr Milliseconds kTickInterval{50};
inline constexpr Milliseconds kRequestTimeout{20'000};
inline constexpr Milliseconds kCallTimeout{4000};
inline constexpr Milliseconds kLogTimeout{300};
inline constexpr std::size_t kReadLimit = 512;

inline std::string AccountName(std::size_t number) {
  return number == 0 ? "workshop" : "a" + std::to_string(number);
}

inline std::vector<uint64_t> PromptOf(const std::string& name) {
  return {name.begin(), name.end()};
}

// A process on the floor: one run of an entry or a side, and for sides the
// target beside it, which outlives the side's process.
struct VirtualFloor::Host {
  explicit Host(std::string node) : name(std::move(node)) {}

  std::string name;
  bool alive = false;
  bool frozen = false;
  uint64_t run = 0;
  std::deque<std::function<void()>> held;
  std::unique_ptr<EntryHost> entry;
  std::unique_ptr<SideHost> side;
  std::unique_ptr<standins::FakeEngine> engine;
  bool target_alive = true;
  int lost_answers = 0;
  int refused_calls = 0;
  std::map<std::string, uint64_t> read_offsets;
  std::set<std::string> listed_leaving;
  bool stopping = false;
};

struct VirtualFloor::Connection {
  std::string left;
  std::string right;
  bool open = true;
  bool silent = false;
  bool repeating = false;
  Instant silent_since{};
  // The next frame each way arrives no earlier than this.
  std::map<std::string, Instant> arrival;

  bool Joins(const std::string& one, const std::string& other) const {
    return (left == one && right == other) || (left == other && right == one);
  }
};

class VirtualFloor::EntryHost : public EntryActions {
 public:
  EntryHost(VirtualFloor* floor, Host* host)
      : floor_(floor),
        host_(host),
        logic(host->name,
              "zone-0",
              floor->generator_(),
              this,
              floor->shape_.policy) {}

  void Send(const std::string& peer, wire::FrameT frame) override {
    floor_->Transmit(host_->name, peer, std::move(frame));
  }
  void DeliverTokens(const RequestId& id,
                     uint32_t first_index,
                     std::span<const uint64_t> tokens,
                     bool finished) override {
    // Deliveries to a caller that has moved to another entry go nowhere.
    if (!Serves(id))
      return;
    floor_->judge_.Delivered(id, first_index, tokens, finished);
    if (floor_->on_delivery)
      floor_->on_delivery(id, tokens.size(), finished);
  }
  void RefuseRequest(const RequestId& id, const Refusal& refusal) override {
    if (!Serves(id))
      return;
    floor_->judge_.Refused(id, refusal);
    if (floor_->on_refusal)
      floor_->on_refusal(id, refusal);
  }
  void AnswerCall(uint64_t caller, const wire::ServiceAnswerT&) override {
    floor_->judge_.CallAnswered(floor_->callers_.at(caller));
  }
  void RefuseCall(uint64_t caller, const Refusal& refusal) override {
    floor_->judge_.CallRefused(floor_->callers_.at(caller), refusal);
  }
  void Connect(const std::string& target, const std::string&) override {
    floor_->WantConnection(host_->name, target);
  }
  void Disconnect(const std::string& target) override {
    floor_->wanted_.erase({host_->name, target});
    floor_->CloseConnections(host_->name, target, true);
  }
  void AppendConfiguration(std::string record) override {
    floor_->AppendToLog(kConfigurationStream, record,
                        [](const Result<void>&) {});
  }

 private:
  bool Serves(const RequestId& id) const {
    const auto it = floor_->request_entries_.find(ToString(id));
    return it != floor_->request_entries_.end() && it->second == host_->name;
  }

  VirtualFloor* floor_;
  Host* host_;

 public:
  EntryLogic logic;
};

class VirtualFloor::SideHost : public SideActions {
 public:
  SideHost(VirtualFloor* floor, Host* host, const SideOptions& options)
      : floor_(floor), host_(host), logic(options, this) {}

  void Send(const std::string& peer, wire::FrameT frame) override {
    floor_->Transmit(host_->name, peer, std::move(frame));
  }
  void SendToStage(const std::string& target,
                   const std::string&,
                   wire::FrameT frame) override {
    floor_->TransmitToStage(host_->name, target, std::move(frame));
  }
  void RunEngine(wire::EngineBatchT batch) override {
    // The engine runs when the call reaches it, also when the side dies or
    // freezes meanwhile.
    auto shared = std::make_shared<wire::EngineBatchT>(std::move(batch));
    Host* host = host_;
    VirtualFloor* floor = floor_;
    auto results = std::make_shared<Result<wire::EngineResultsT>>(
        Fail(Operation::kEngineStep, host->name, "no engine"));
    const Microseconds time =
        floor->shape_.engine_time
            ? floor->shape_.engine_time(floor->targets_.at(host->name), *shared)
            : floor->Latency(300, 1500);
    floor->At(floor->now_ + time, [=] {
      if (!host->target_alive)
        return;
      auto ran = host->engine->RunStep(*shared);
      if (host->lost_answers > 0)
        --host->lost_answers;
      else
        *results = std::move(ran);
    });
    floor->Post(host, time + floor->Latency(100, 1500), [=] {
      host->side->logic.HandleEngineResults(*results, floor->now_);
    });
  }
  void CallService(const wire::ServiceCallT& call) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    const RequestId id = call.request;
    const bool may_repeat = call.idempotent;
    auto result = std::make_shared<Result<wire::ServiceAnswerT>>(
        Fail(Operation::kServiceCall, host->name, "answer lost"));
    if (!host->target_alive || host->refused_calls > 0) {
      host->refused_calls = std::max(0, host->refused_calls - 1);
      *result = Fail(Operation::kServiceCall, host->name, "refused", true);
    } else {
      floor->At(floor->now_ + floor->Latency(300, 4000), [=] {
        if (!host->target_alive)
          return;
        floor->judge_.ServiceRan(id, may_repeat);
        if (host->lost_answers > 0) {
          --host->lost_answers;
          return;
        }
        wire::ServiceAnswerT answer;
        answer.status = 200;
        *result = answer;
      });
    }
    floor->Post(host, floor->Latency(4100, 9000), [=] {
      host->side->logic.HandleCallResult(id, std::move(*result), floor->now_);
    });
  }
  void AppendClaims(std::string record) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    const uint64_t run = host->run;
    floor->AppendToLog(
        ClaimStreamName(kService), record, [=](const Result<void>& result) {
          if (host->run != run)
            return;
          floor->Post(host, Microseconds(0), [=] {
            host->side->logic.HandleAppendResult(result, floor->now_);
          });
        });
  }
  void SendLoadOrder(const LoadOrder& order) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    floor->Post(host, floor->Latency(1000, 5000), [=] {
      if (!host->target_alive ||
          !host->engine->Load(order.version, order.fence))
        host->side->logic.HandleOrderResult(
            Fail(Operation::kEngineOrder, host->name, "refused"), floor->now_);
      else
        host->side->logic.HandleOrderResult(EngineState{host->engine->loaded()},
                                            floor->now_);
    });
  }

 private:
  VirtualFloor* floor_;
  Host* host_;

 public:
  SideLogic logic;
};

}  // namespace bbv

#endif  // TESTS_VIRTUAL_FLOOR_HOSTS_H_
