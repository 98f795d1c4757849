#include "bbv_fleet/chain_partition.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_fleet/engine_timing.h"
#include "bbv_fleet/layer_division.h"

namespace bbv {
namespace {

// Calls above which the memory of requests does not matter.
constexpr double kMaxCalls = 1e6;
constexpr std::size_t kMinChains = 2;
// Chains of large zones end only after each n-th target, so that this many ends
// are compared.
constexpr std::size_t kMaxChainEnds = 32;
// Targets of a chain, which are the hops of its calls. Targets refuse longer
// paths.
constexpr std::size_t kMaxHops = 32;
// Precision of the number of calls that fit into memory.
constexpr double kCallPrecision = 1;
// Share of that number that a chain uses before a loss, because the calls of a
// lost chain move to the others.
constexpr double kUsableMemoryShare = 0.5;

}  // namespace

ChainPartition::ChainPartition(const EngineModel& model,
                               const std::vector<PlannerTarget>& targets)
    : model_(model),
      request_mb_per_layer_(LayerPlanner::RequestMb(model)),
      target_count_(targets.size()) {
  using SortKey = std::tuple<double, double, uint64_t, std::size_t>;
  std::vector<SortKey> keys;
  for (std::size_t it = 0; it < targets.size(); ++it) {
    const AcceleratorKind* kind = model.FindKind(targets[it].accelerator);
    if (kind == nullptr || LayerPlanner::MaxLayers(model, kind->name) == 0)
      continue;
    // Ties are broken by a hash, so that every process computes the same order.
    keys.emplace_back(kind->step_factor, -kind->memory_mb,
                      HashBytes(targets[it].id), it);
  }
  std::sort(keys.begin(), keys.end());
  for (const SortKey& it : keys) {
    order_.push_back(std::get<3>(it));
    kinds_.push_back(model.FindKind(targets[order_.back()].accelerator));
  }
}

std::optional<std::vector<LayerRange>> ChainPartition::Compute() {
  if (model_.layers <= 0 || model_.layer_mb <= 0)
    return std::nullopt;
  step_ = order_.size() / kMaxChainEnds + 1;
  if (step_ > kMaxHops)
    return std::nullopt;
  EvaluateAllChains();
  std::vector<Chain> best;
  const std::size_t fewest =
      std::max(kMinChains, (order_.size() + kMaxHops - 1) / kMaxHops);
  for (std::size_t n = fewest; n <= order_.size(); ++n) {
    std::vector<Chain> chains = BestChains(n, order_.size());
    if (chains.empty() || !KeepMemoryForRequests(chains))
      break;
    best = std::move(chains);
  }
  if (best.empty())
    return std::nullopt;
  // If memory admits more calls than the first hops of the chains have slots
  // for, the slowest targets hold the first layers in addition.
  std::size_t extra = CountExtraFirstHops(best);
  if (extra > 0) {
    const auto chains = BestChains(best.size(), order_.size() - extra);
    if (KeepMemoryForRequests(chains))
      best = chains;
    else
      extra = 0;
  }
  std::vector<LayerRange> ranges(target_count_);
  for (const Chain& it : best)
    Assign(it, &ranges);
  for (std::size_t it = order_.size() - extra; it < order_.size(); ++it) {
    ranges[order_[it]] = {
        0, LayersBeside(*kinds_[it],
                        Limits(best.front().first, best.front().last).calls)};
  }
  return ranges;
}

std::size_t ChainPartition::CountExtraFirstHops(
    const std::vector<Chain>& chains) const {
  if (model_.first_hop_slots <= 0)
    return 0;
  const auto needed = static_cast<std::size_t>(
      std::ceil(CallsOf(chains) / model_.first_hop_slots));
  if (needed <= chains.size())
    return 0;
  std::size_t extra = std::min(needed - chains.size(), order_.size());
  while (!IsChainEnd(order_.size() - extra))
    ++extra;
  return extra;
}

std::map<std::string, int> ChainPartition::LayersByKind(
    const EngineModel& model,
    const std::vector<PlannerTarget>& targets) {
  std::map<std::string, int> layers;
  const auto ranges = ChainPartition(model, targets).Compute();
  for (std::size_t it = 0; ranges && it < targets.size(); ++it) {
    int& n = layers[targets[it].accelerator];
    n = std::max(n, (*ranges)[it].size());
  }
  return layers;
}

void ChainPartition::EvaluateAllChains() {
  const std::size_t n = order_.size();
  limits_.assign((n + 1) * (n + 1), {});
  for (std::size_t first = 0; first < n; first += step_) {
    std::vector<KindCount> kinds;
    for (std::size_t it = first; it < std::min(n, first + kMaxHops); ++it) {
      if (kinds.empty() || kinds.back().kind != kinds_[it])
        kinds.push_back({kinds_[it], 0});
      ++kinds.back().targets;
      if (!IsChainEnd(it + 1))
        continue;
      limits_[first * (n + 1) + it + 1] = Evaluate(kinds);
    }
  }
}

int ChainPartition::LayersBeside(const AcceleratorKind& kind,
                                 double calls) const {
  const double per_layer = model_.layer_mb + calls * request_mb_per_layer_;
  return std::min(LayerPlanner::MaxLayers(model_, kind.name),
                  static_cast<int>(kind.memory_mb / per_layer));
}

double ChainPartition::CallsThatFit(const std::vector<KindCount>& kinds) const {
  const auto fits = [&](double calls) {
    int layers = 0;
    for (const KindCount& it : kinds)
      layers += it.targets * LayersBeside(*it.kind, calls);
    return layers >= model_.layers;
  };
  if (!fits(kCallPrecision))
    return 0;
  double memory = 0;
  for (const KindCount& it : kinds)
    memory += it.targets * it.kind->memory_mb;
  double low = kCallPrecision;
  const double call_mb = request_mb_per_layer_ * model_.layers;
  double high = call_mb * kMaxCalls > memory ? memory / call_mb : kMaxCalls;
  while (high - low > kCallPrecision) {
    const double middle = (low + high) / 2;
    (fits(middle) ? low : high) = middle;
  }
  return low;
}

ChainPartition::ChainLimits ChainPartition::Evaluate(
    const std::vector<KindCount>& kinds) const {
  ChainLimits limits;
  limits.calls = CallsThatFit(kinds);
  if (limits.calls <= 0)
    return limits;
  double calls = kUsableMemoryShare * limits.calls;
  if (model_.first_hop_slots > 0)
    calls = std::min(calls, static_cast<double>(model_.first_hop_slots));
  double capacity = 0;
  for (const KindCount& it : kinds)
    capacity += it.targets * LayersBeside(*it.kind, limits.calls);
  double token_ms = 0;
  double min_prefill_rate = std::numeric_limits<double>::infinity();
  for (const KindCount& it : kinds) {
    EngineShare share;
    share.step_factor = it.kind->step_factor;
    share.read_factor = it.kind->read_factor;
    share.layer_share = LayersBeside(*it.kind, limits.calls) / capacity;
    share.calls = calls;
    token_ms += it.targets * EngineTiming::StepMs(model_, share) *
                (1 + EngineTiming::MeanPassesWaited(share));
    const double rate = EngineTiming::PrefillTokensPerMs(model_, share);
    if (rate > 0)
      min_prefill_rate = std::min(min_prefill_rate, rate);
  }
  const double call_ms = std::max(1.0, model_.typical_output_tokens) * token_ms;
  limits.call_rate =
      std::min(call_ms > 0 ? calls / call_ms : calls,
               min_prefill_rate / std::max(1.0, model_.typical_prompt_tokens));
  return limits;
}

void ChainPartition::AddChain() {
  const std::size_t targets = order_.size();
  std::vector<BestSplit> row(targets + 1);
  if (splits_.empty()) {
    row[0].call_rate = 0;
    splits_.push_back(std::move(row));
    return;
  }
  for (std::size_t last = 1; last <= targets; ++last) {
    if (!IsChainEnd(last))
      continue;
    for (std::size_t first = 0; first < last; first += step_) {
      const BestSplit& before = splits_.back()[first];
      const double rate = Limits(first, last).call_rate;
      if (before.call_rate < 0 || rate <= 0)
        continue;
      const BestSplit next{before.call_rate + rate,
                           std::max(before.fastest_rate, rate), first};
      if (next.score() > row[last].score())
        row[last] = next;
    }
  }
  splits_.push_back(std::move(row));
}

std::vector<ChainPartition::Chain> ChainPartition::BestChains(
    std::size_t n,
    std::size_t targets) {
  while (splits_.size() <= n)
    AddChain();
  std::vector<Chain> chains;
  if (splits_[n][targets].call_rate < 0)
    return chains;
  std::size_t last = targets;
  for (std::size_t chain = n; chain > 0; --chain) {
    const std::size_t first = splits_[chain][last].first;
    chains.push_back({first, last});
    last = first;
  }
  return chains;
}

bool ChainPartition::KeepMemoryForRequests(
    const std::vector<Chain>& chains) const {
  return CallsOf(chains) >= LayerPlanner::kRequestsPerZone;
}

double ChainPartition::CallsOf(const std::vector<Chain>& chains) const {
  double calls = 0;
  for (const Chain& it : chains)
    calls += Limits(it.first, it.last).calls;
  return calls;
}

void ChainPartition::Assign(const Chain& chain,
                            std::vector<LayerRange>* ranges) const {
  const double calls = Limits(chain.first, chain.last).calls;
  std::vector<int> capacities;
  for (std::size_t it = chain.first; it < chain.last; ++it)
    capacities.push_back(LayersBeside(*kinds_[it], calls));
  const std::vector<LayerRange> parts =
      DivideLayers({0, model_.layers}, capacities);
  for (std::size_t n = 0; n < parts.size(); ++n)
    (*ranges)[order_[chain.first + n]] = parts[n];
}

}  // namespace bbv
