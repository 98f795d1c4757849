#include "standins/fake_engine.h"

#include <algorithm>
#include <utility>

namespace bbv::standins {
namespace {

constexpr std::size_t kMaximumVersions = 2;

}  // namespace

FakeEngine::FakeEngine(Options options) : options_(std::move(options)) {}

wire::EngineResultsT FakeEngine::RunStep(const wire::EngineBatchT& batch) {
  for (const wire::ReleaseT& release : batch.releases) {
    const auto it = sequences_.find(release.request);
    if (it != sequences_.end() &&
        it->second.attempt_number <= release.attempt_number)
      sequences_.erase(it);
  }
  const bool loaded =
      std::find(loaded_.begin(), loaded_.end(), batch.version) != loaded_.end();
  const uint64_t weights = WeightsOf(options_.model, batch.version);
  wire::EngineResultsT results;
  for (const wire::StepT& step : batch.steps) {
    if (loaded) {
      results.results.push_back(RunOne(step, weights));
      continue;
    }
    wire::EngineResultT result;
    result.request = step.request;
    result.attempt_number = step.attempt_number;
    result.status = wire::EngineStatus::kWrongVersion;
    results.results.push_back(std::move(result));
  }
  return results;
}

wire::EngineResultT FakeEngine::RunOne(const wire::StepT& step,
                                       uint64_t weights) {
  wire::EngineResultT result;
  result.request = step.request;
  result.attempt_number = step.attempt_number;
  result.position = step.position;
  Sequence& sequence = sequences_[step.request];
  if (step.position == 0 && step.attempt_number > sequence.attempt_number) {
    sequence.attempt_number = step.attempt_number;
    sequence.next_position = 0;
    sequence.states.assign(options_.end_layer - options_.first_layer, 0);
  }
  if (step.attempt_number != sequence.attempt_number ||
      step.position != sequence.next_position) {
    result.status = wire::EngineStatus::kWrongPosition;
    return result;
  }
  for (const uint64_t input : step.values) {
    uint64_t value = options_.first_layer == 0 ? Embed(input) : input;
    for (uint32_t layer = options_.first_layer; layer < options_.end_layer;
         ++layer)
      value = RunLayer(weights, layer, value,
                       &sequence.states[layer - options_.first_layer]);
    if (options_.end_layer == options_.layers)
      value = options_.sampled ? SampleToken(value, step.attempt_number)
                               : ToToken(value);
    result.values.push_back(value);
  }
  if (on_trace) {
    on_trace({step.request, step.attempt_number, step.position,
              static_cast<uint32_t>(step.values.size()), options_.first_layer,
              options_.end_layer});
  }
  sequence.next_position += step.values.size();
  result.status = wire::EngineStatus::kDone;
  return result;
}

bool FakeEngine::Load(const std::string& version, uint64_t fence) {
  if (options_.honours_fence && fence < fence_)
    return false;
  fence_ = fence;
  if (std::find(loaded_.begin(), loaded_.end(), version) != loaded_.end())
    return true;
  loaded_.push_back(version);
  if (loaded_.size() > kMaximumVersions)
    loaded_.erase(loaded_.begin());
  return true;
}

}  // namespace bbv::standins
