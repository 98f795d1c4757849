#ifndef TESTS_JUDGE_H_
#define TESTS_JUDGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_routing/refusal.h"
#include "standins/fake_engine.h"

namespace bbv {

// Judges what engines ran, services ran and callers got against the points
// that must always hold. Every violation is a line in `violations`.
//
// Thread safety: none.
class Judge {
 public:
  Judge(uint64_t weights, uint32_t layers)
      : weights_(weights), layers_(layers) {}

  // Callers.
  void ExpectAnswer(const RequestId& id,
                    const std::vector<uint64_t>& prompt,
                    uint32_t tokens);

  // A caller asked (again): one more final delivery or refusal may follow. Only
  // the first one reaches the caller; what follows it is not listened to.
  void Asked(const RequestId& id) { ++answers_[KeyOf(id)].asked; }
  void Delivered(const RequestId& id,
                 uint32_t first_index,
                 std::span<const uint64_t> tokens,
                 bool finished);
  void Refused(const RequestId& id, const Refusal& refusal);
  void CallerGone(const RequestId& id);

  void CallStarted(const std::string& caller, const RequestId& id);
  void CallAnswered(const std::string& caller);
  void CallRefused(const std::string& caller, const Refusal& refusal);
  void CallerOfCallGone(const std::string& caller);

  // Targets.
  void EngineRan(const std::string& target,
                 const standins::EngineTraceRow& row,
                 Instant now);
  void ServiceRan(const RequestId& id, bool may_repeat);

  // The target must see no new work from `from` on.
  void ForbidNewWork(const std::string& target, Instant from);
  void AllowNewWork(const std::string& target);

  // Nodes.
  void ConfigurationSeen(const std::string& node,
                         uint64_t version,
                         uint64_t digest);
  void NodeRestarted(const std::string& node) { node_versions_.erase(node); }

  // To be called when everything had time to end.
  void Finish();

  bool IsComplete(const RequestId& id) const;
  uint32_t ReceivedCount(const RequestId& id) const;
  int RunCount(const RequestId& id) const;
  std::string CallState(const std::string& caller) const;
  std::string RequestState(const RequestId& id) const;

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Answer {
    std::unique_ptr<standins::ReferenceSequence> reference;
    uint32_t expected = 0;
    std::set<uint64_t> attempts;
    uint32_t received = 0;
    int asked = 0;
    int ended = 0;
    bool finished = false;
    bool refused = false;
    bool excused = false;
    Refusal refusal;
  };
  struct Call {
    RequestId id;
    std::string state = "open";
    bool excused = false;
  };
  using AttemptKey = std::pair<std::pair<uint64_t, uint64_t>, uint64_t>;

  bool IsHeard(const RequestId& id, bool ends, const std::string& what);
  bool IsNextToken(const Answer& answer, uint64_t token) const;
  void Violation(const std::string& text) { violations_.push_back(text); }
  static std::pair<uint64_t, uint64_t> KeyOf(const RequestId& id) {
    return {id.high(), id.low()};
  }

  uint64_t weights_;
  uint32_t layers_;
  std::map<std::pair<uint64_t, uint64_t>, Answer> answers_;
  std::map<std::string, Call> calls_;
  // Layers run so far, for each position of each attempt.
  std::map<AttemptKey, std::vector<uint32_t>> coverage_;
  std::map<std::pair<uint64_t, uint64_t>, int> engine_rows_;
  std::map<std::pair<uint64_t, uint64_t>, int> runs_;
  std::map<std::string, Instant> forbidden_;
  std::map<std::string, uint64_t> node_versions_;
  std::map<uint64_t, uint64_t> digests_;
  std::vector<std::string> violations_;
};

}  // namespace bbv

#endif  // TESTS_JUDGE_H_
