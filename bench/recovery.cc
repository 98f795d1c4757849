// Recovery time of the decision code in virtual time: from a fault to the first
// good token of a request that the fault struck, and to 95 % of the earlier
// throughput, over seeded repeats, beside the naive baseline.
//
// usage: recovery [--repeats=N] [--seed=N]

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench_support.h"
#include "virtual_floor.h"

ABSL_FLAG(int, repeats, 20, "seeded repeats of each fault");
ABSL_FLAG(uint64_t, seed, 1, "first seed");

namespace {

using bbv::Instant;
using bbv::Milliseconds;
using Row = nlohmann::ordered_json;

constexpr int kCallers = 40;
constexpr uint32_t kTokens = 60;
constexpr Milliseconds kWarmUp{4000};
constexpr Milliseconds kObserved{12'000};
constexpr Milliseconds kWindow{250};
constexpr double kRecoveredShare = 0.95;

// Callers that ask again as soon as they are answered, and the tokens they got.
class ClosedLoop {
 public:
  ClosedLoop(bbv::ChoicePolicy policy, uint64_t seed)
      : floor_(MakeShape(policy), seed) {
    floor_.on_delivery = [this](const bbv::RequestId& id, std::size_t n,
                                bool finished) {
      Record(id, n);
      if (finished)
        Next(id);
    };
    floor_.on_refusal = [this](const bbv::RequestId& id, const bbv::Refusal&) {
      Next(id);
    };
    for (int it = 0; it < kCallers; ++it)
      Start(it);
  }

  bbv::VirtualFloor& floor() { return floor_; }

  // Callers of an entry that dies ask again through the other one.
  void MoveCallersFrom(const std::string& entry) {
    dead_entry_ = entry;
    for (auto& [id, open] : std::map(open_)) {
      if (open.entry != entry)
        continue;
      floor_.ResumeRequest(open.name, Other(entry));
      open_[id].entry = Other(entry);
    }
  }

  // Longest time that a request open at the fault went without a token.
  double LongestGapMs() const { return longest_gap_ms_; }

  void MarkFault() {
    fault_at_ = floor_.now();
    for (const auto& [id, open] : open_)
      struck_[id] = fault_at_;
  }

  // Milliseconds from the fault until windows carry 95 % again for good; the
  // observed time when they do not.
  double RecoveredMs() const {
    const double before = Rate(fault_at_ - Milliseconds(2000), fault_at_);
    Instant recovered = fault_at_;
    for (Instant at = fault_at_; at + kWindow <= fault_at_ + kObserved;
         at += kWindow) {
      if (Rate(at, at + kWindow) < kRecoveredShare * before * kNoise)
        recovered = at + kWindow;
    }
    return std::chrono::duration<double, std::milli>(recovered - fault_at_)
        .count();
  }

 private:
  // Windows of 250 ms vary by this much without any fault.
  static constexpr double kNoise = 0.9;

  struct Open {
    std::string name;
    std::string entry;
    int caller = 0;
  };
  using Key = std::string;

  static bbv::FloorShape MakeShape(bbv::ChoicePolicy policy) {
    bbv::FloorShape shape;
    shape.stages = 3;
    shape.replicas = 3;
    shape.speeds = {100, 100, 100};
    shape.policy = policy;
    return shape;
  }

  static std::string Other(const std::string& entry) {
    return entry == "e0" ? "e1" : "e0";
  }

  double Rate(Instant from, Instant until) const {
    const auto begin = tokens_.lower_bound(from);
    const auto end = tokens_.lower_bound(until);
    std::size_t n = 0;
    for (auto it = begin; it != end; ++it)
      n += it->second;
    const std::chrono::duration<double> span = until - from;
    return static_cast<double>(n) / span.count();
  }

  void Start(int caller) {
    Open open;
    open.name = "w" + std::to_string(next_++);
    open.entry = "e" + std::to_string(caller % 2);
    if (open.entry == dead_entry_)
      open.entry = Other(open.entry);
    open.caller = caller;
    open_[bbv::ToString(bbv::VirtualFloor::RequestIdOf(open.name))] = open;
    floor_.StartRequest(open.name, open.entry, kTokens);
  }

  void Next(const bbv::RequestId& id) {
    const auto it = open_.find(bbv::ToString(id));
    if (it == open_.end())
      return;
    const int caller = it->second.caller;
    open_.erase(it);
    // Asked again once the answer has been read.
    floor_.At(floor_.now() + Milliseconds(2),
              [this, caller] { Start(caller); });
  }

  void Record(const bbv::RequestId& id, std::size_t n) {
    const Instant now = floor_.now();
    tokens_[now] += n;
    const auto struck = struck_.find(bbv::ToString(id));
    if (struck == struck_.end())
      return;
    const std::chrono::duration<double, std::milli> gap = now - struck->second;
    longest_gap_ms_ = std::max(longest_gap_ms_, gap.count());
    struck->second = now;
  }

  bbv::VirtualFloor floor_;
  std::map<Key, Open> open_;
  std::map<Instant, std::size_t> tokens_;
  std::map<Key, Instant> struck_;
  Instant fault_at_{};
  std::string dead_entry_;
  double longest_gap_ms_ = 0;
  int next_ = 0;
};

struct Fault {
  const char* name;
  std::function<void(ClosedLoop*)> strike;
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {"target killed",
       [](ClosedLoop* loop) { loop->floor().KillTarget("t1-0"); }},
      {"side killed", [](ClosedLoop* loop) { loop->floor().Kill("t1-0"); }},
      {"entry killed",
       [](ClosedLoop* loop) {
         loop->floor().Kill("e0");
         loop->MoveCallersFrom("e0");
       }},
      {"zone cut off",
       [](ClosedLoop* loop) {
         for (const char* left : {"t0-0", "t1-0", "t2-0"}) {
           for (const std::string& right : loop->floor().NodeNames()) {
             if (right != left && !right.ends_with("-0"))
               loop->floor().Cut(left, right);
           }
         }
       }},
      {"silent connection",
       [](ClosedLoop* loop) { loop->floor().Silence("t0-0", "t1-0"); }},
      {"log outage",
       [](ClosedLoop* loop) { loop->floor().SetLogOutage(true); }},
      {"frozen process",
       [](ClosedLoop* loop) { loop->floor().Freeze("t1-0"); }},
  };
  return kFaults;
}

Row RunFault(const Fault& fault, const char* name, bbv::ChoicePolicy policy) {
  std::vector<double> gaps;
  std::vector<double> recovered;
  std::size_t violations = 0;
  for (int it = 0; it < absl::GetFlag(FLAGS_repeats); ++it) {
    ClosedLoop loop(policy, absl::GetFlag(FLAGS_seed) + it);
    loop.floor().RunUntil(loop.floor().now() + kWarmUp);
    loop.MarkFault();
    fault.strike(&loop);
    loop.floor().RunUntil(loop.floor().now() + kObserved);
    gaps.push_back(loop.LongestGapMs());
    recovered.push_back(loop.RecoveredMs());
    violations += loop.floor().judge().violations().size();
  }
  Row row;
  row["fault"] = fault.name;
  row["policy"] = name;
  row["longest gap p50 ms"] = bbv::Percentile(gaps, 0.5);
  row["longest gap max ms"] = bbv::Percentile(gaps, 1.0);
  row["95 % again p50 ms"] = bbv::Percentile(recovered, 0.5);
  row["95 % again max ms"] = bbv::Percentile(recovered, 1.0);
  row["violations"] = violations;
  return row;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  FLAGS_minloglevel = google::GLOG_ERROR;
  std::vector<Row> rows;
  for (const Fault& fault : Faults()) {
    rows.push_back(RunFault(fault, "naive", bbv::ChoicePolicy::kRoundRobin));
    rows.push_back(
        RunFault(fault, "expected", bbv::ChoicePolicy::kPowerOfTwoChoices));
  }
  bbv::PrintRows(rows);
  return 0;
}
