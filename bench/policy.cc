// Policy figures of the decision code in virtual time: throughput against the
// engines' bound, latency, fairness and attempts under load and faults, beside
// the naive baseline in the same run.
//
// usage: policy --scenario=load|faults|fairness [--seed=N] [--seconds=N]

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench_support.h"
#include "virtual_floor.h"

ABSL_FLAG(std::string, scenario, "load", "load, faults or fairness");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals, sizes and the floor");
ABSL_FLAG(int, seconds, 20, "virtual seconds of load");
ABSL_FLAG(int, stages, 4, "stages of the model");
ABSL_FLAG(int, replicas, 10, "targets a stage");
ABSL_FLAG(int, running, 512, "requests a target runs at once");
ABSL_FLAG(int, queued, 8, "requests a first stage holds back");

namespace {

using bbv::Instant;
using bbv::Microseconds;
using bbv::Milliseconds;
using Row = nlohmann::ordered_json;

constexpr uint32_t kMeanTokens = 64;
constexpr uint32_t kPromptTokens = 64;
// Sequences that an engine takes in one iteration.
constexpr double kBatch = 64;
// Engine model: an iteration costs a base and something for each sequence and
// each prompt value; a target's speed (100 = the slowest kind) divides all.
constexpr double kBaseUs = 4000;
constexpr double kSequenceUs = 60;
constexpr double kPromptValueUs = 6;

double IterationUs(uint32_t speed, double sequences, double prompt_values) {
  return (kBaseUs + kSequenceUs * sequences + kPromptValueUs * prompt_values) *
         100.0 / speed;
}

Microseconds EngineTime(const bbv::Target& target,
                        const bbv::wire::EngineBatchT& batch) {
  double prompt_values = 0;
  for (const auto& step : batch.steps) {
    if (step.values.size() > 1)
      prompt_values += static_cast<double>(step.values.size());
  }
  return Microseconds(static_cast<int64_t>(IterationUs(
      target.speed, static_cast<double>(batch.steps.size()), prompt_values)));
}

// Tokens a second that one target could carry with all its places taken: each
// request's prompt is a share of its steps.
double TargetBound(uint32_t speed, double running) {
  const double prompt_share = kPromptTokens / static_cast<double>(kMeanTokens);
  return running * 1e6 / IterationUs(speed, running, running * prompt_share);
}

bbv::FloorShape MakeShape(bbv::ChoicePolicy policy) {
  bbv::FloorShape shape;
  shape.entries = 4;
  shape.stages = absl::GetFlag(FLAGS_stages);
  shape.replicas = absl::GetFlag(FLAGS_replicas);
  shape.services = 0;
  shape.layers = shape.stages;
  shape.account_weights.assign(10, 1);
  // Five kinds of accelerators.
  shape.speeds = {100, 150, 200, 300, 400};
  shape.maximum_running = absl::GetFlag(FLAGS_running);
  shape.maximum_queued = absl::GetFlag(FLAGS_queued);
  shape.policy = policy;
  shape.engine_time = EngineTime;
  return shape;
}

double FloorBound(const bbv::FloorShape& shape) {
  double bound = 0;
  for (int it = 0; it < shape.replicas; ++it)
    bound += TargetBound(shape.speeds[it % shape.speeds.size()], kBatch);
  return bound;
}

// One caller's request as the bench sees it.
struct Seen {
  std::size_t account = 0;
  Instant started{};
  Instant last{};
};

// Offers Poisson arrivals to one floor and measures what callers see.
class LoadRun {
 public:
  LoadRun(const bbv::FloorShape& shape, uint64_t seed)
      : floor_(shape, seed), generator_(seed), entries_(shape.entries) {
    floor_.on_delivery = [this](const bbv::RequestId& id, std::size_t n, bool) {
      Delivered(id, n);
    };
    floor_.on_refusal = [this](const bbv::RequestId& id, const bbv::Refusal&) {
      if (seen_[id].started >= measure_from_)
        ++refused_;
    };
  }

  bbv::VirtualFloor& floor() { return floor_; }

  // Offers `rate` requests a second, by account shares, for `seconds`.
  void Offer(double rate, int seconds, const std::vector<double>& shares) {
    const Instant start = floor_.now();
    measure_from_ = start + std::chrono::seconds(seconds / 3);
    measure_until_ = start + std::chrono::seconds(seconds);
    std::exponential_distribution<double> gap(rate / 1e6);
    std::discrete_distribution<std::size_t> account(shares.begin(),
                                                    shares.end());
    Instant at = start;
    while (true) {
      at += Microseconds(static_cast<int64_t>(gap(generator_)));
      if (at >= measure_until_)
        break;
      const std::size_t chosen = account(generator_);
      floor_.At(at, [this, chosen] { Arrive(chosen); });
    }
    floor_.RunUntil(measure_until_);
  }

  double tokens_per_second() const {
    const std::chrono::duration<double> span = measure_until_ - measure_from_;
    return static_cast<double>(tokens_) / span.count();
  }

  Row Report(const std::string& policy, double offered, double bound) {
    std::vector<double> first;
    for (const auto& [account, values] : first_token_)
      first.insert(first.end(), values.begin(), values.end());
    Row row;
    row["policy"] = policy;
    row["offered/bound"] = offered;
    row["tokens/bound"] = tokens_per_second() / bound;
    row["first token p50 ms"] = bbv::Percentile(first, 0.5);
    row["first token p95 ms"] = bbv::Percentile(first, 0.95);
    row["between p95 ms"] = bbv::Percentile(between_, 0.95);
    row["refused share"] =
        arrivals_ == 0 ? 0.0 : static_cast<double>(refused_) / arrivals_;
    row["attempts/request"] =
        static_cast<double>(floor_.AttemptsStarted()) /
        static_cast<double>(std::max<uint64_t>(all_arrivals_, 1));
    row["violations"] = floor_.judge().violations().size();
    return row;
  }

  double FirstTokenPercentile(std::size_t account, double share) const {
    const auto it = first_token_.find(account);
    return it == first_token_.end() ? 0 : bbv::Percentile(it->second, share);
  }

 private:
  void Arrive(std::size_t account) {
    std::geometric_distribution<uint32_t> tokens(1.0 / kMeanTokens);
    bbv::WorkItem work;
    work.name = std::to_string(next_++);
    work.entry = "e" + std::to_string(next_ % entries_);
    work.account = account;
    work.prompt_tokens = kPromptTokens;
    work.tokens = 1 + std::min<uint32_t>(tokens(generator_), 8 * kMeanTokens);
    Seen& seen = seen_[bbv::VirtualFloor::RequestIdOf(work.name)];
    seen.account = account;
    seen.started = floor_.now();
    ++all_arrivals_;
    if (seen.started >= measure_from_)
      ++arrivals_;
    floor_.StartWork(work);
  }

  void Delivered(const bbv::RequestId& id, std::size_t n) {
    Seen& seen = seen_[id];
    const Instant now = floor_.now();
    const auto milliseconds = [now](Instant since) {
      return std::chrono::duration<double, std::milli>(now - since).count();
    };
    if (now >= measure_from_) {
      tokens_ += n;
      if (seen.last == Instant{})
        first_token_[seen.account].push_back(milliseconds(seen.started));
      else
        between_.push_back(milliseconds(seen.last));
    }
    seen.last = now;
  }

  bbv::VirtualFloor floor_;
  std::mt19937_64 generator_;
  int entries_;
  std::unordered_map<bbv::RequestId, Seen, bbv::RequestIdHash> seen_;
  Instant measure_from_{};
  Instant measure_until_{};
  std::map<std::size_t, std::vector<double>> first_token_;
  std::vector<double> between_;
  uint64_t next_ = 0;
  uint64_t all_arrivals_ = 0;
  uint64_t arrivals_ = 0;
  uint64_t refused_ = 0;
  uint64_t tokens_ = 0;
};

struct NamedPolicy {
  const char* name;
  bbv::ChoicePolicy policy;
};

constexpr NamedPolicy kPolicies[] = {
    {"naive", bbv::ChoicePolicy::kRoundRobin},
    {"expected", bbv::ChoicePolicy::kPowerOfTwoChoices}};

// Offered load from half of the bound to twice the bound.
std::vector<Row> RunLoad() {
  std::vector<Row> rows;
  const std::vector<double> shares(10, 1.0);
  for (const double offered : {0.5, 0.8, 1.0, 2.0}) {
    for (const NamedPolicy& named : kPolicies) {
      const bbv::FloorShape shape = MakeShape(named.policy);
      const double bound = FloorBound(shape);
      LoadRun run(shape, absl::GetFlag(FLAGS_seed));
      run.Offer(offered * bound / kMeanTokens, absl::GetFlag(FLAGS_seconds),
                shares);
      rows.push_back(run.Report(named.name, offered, bound));
    }
  }
  return rows;
}

// Three of ten targets of each stage lose the answer of every call.
std::vector<Row> RunFaults() {
  std::vector<Row> rows;
  const std::vector<double> shares(10, 1.0);
  constexpr int kLostAnswers = 1'000'000;
  for (const NamedPolicy& named : kPolicies) {
    const bbv::FloorShape shape = MakeShape(named.policy);
    const double bound = FloorBound(shape);
    double healthy = 0;
    for (int it = 3; it < shape.replicas; ++it)
      healthy += TargetBound(shape.speeds[it % shape.speeds.size()], kBatch);
    LoadRun run(shape, absl::GetFlag(FLAGS_seed));
    for (int stage = 0; stage < shape.stages; ++stage) {
      for (int replica = 0; replica < 3; ++replica)
        run.floor().LoseTargetAnswers(
            "t" + std::to_string(stage) + "-" + std::to_string(replica),
            kLostAnswers);
    }
    run.Offer(0.5 * bound / kMeanTokens, absl::GetFlag(FLAGS_seconds), shares);
    Row row = run.Report(named.name, 0.5, bound);
    row["tokens/healthy bound"] = run.tokens_per_second() / healthy;
    rows.push_back(row);
  }
  return rows;
}

// A large account at ten times its share beside nine small ones.
std::vector<Row> RunFairness() {
  std::vector<Row> rows;
  for (const double factor : {1.0, 10.0}) {
    const bbv::FloorShape shape =
        MakeShape(bbv::ChoicePolicy::kPowerOfTwoChoices);
    const double bound = FloorBound(shape);
    std::vector<double> shares(10, 1.0);
    shares[0] = factor;
    // Small accounts offer half of their share each.
    const double rate = 0.05 * bound / kMeanTokens * (9.0 + factor * 1.0);
    LoadRun run(shape, absl::GetFlag(FLAGS_seed));
    run.Offer(rate, absl::GetFlag(FLAGS_seconds), shares);
    Row row = run.Report("expected", rate * kMeanTokens / bound, bound);
    row["large account x"] = factor;
    row["small p95 ms"] = run.FirstTokenPercentile(1, 0.95);
    row["large p95 ms"] = run.FirstTokenPercentile(0, 0.95);
    rows.push_back(row);
  }
  return rows;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  FLAGS_minloglevel = google::GLOG_ERROR;
  const std::string scenario = absl::GetFlag(FLAGS_scenario);
  if (scenario == "load")
    bbv::PrintRows(RunLoad());
  else if (scenario == "faults")
    bbv::PrintRows(RunFaults());
  else if (scenario == "fairness")
    bbv::PrintRows(RunFairness());
  else
    return 2;
  return 0;
}
