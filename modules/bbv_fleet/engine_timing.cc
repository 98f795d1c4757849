#include "bbv_fleet/engine_timing.h"

#include <algorithm>

namespace bbv {
namespace {

constexpr double kTokensPerThousand = 1000;
// A token comes at any moment of the pass under way.
constexpr double kMeanPassesWaitedWhileBusy = 0.5;

// Mean number of calls that a target decodes in one pass. A call is at one hop
// of its path at a time, in proportion to the number of layers there.
double CallsPerPass(const EngineShare& share) {
  return share.calls * share.layer_share;
}

// Context length of a typical call halfway through its response, in thousands
// of tokens.
double TypicalContextThousands(const EngineModel& model) {
  return (model.typical_prompt_tokens + model.typical_output_tokens / 2) /
         kTokensPerThousand;
}

}  // namespace

double EngineTiming::StepMs(const EngineModel& model,
                            const EngineShare& share) {
  const double per_call_ms =
      model.call_step_ms +
      model.context_step_ms * TypicalContextThousands(model);
  return (model.step_ms + CallsPerPass(share) * per_call_ms) *
         share.step_factor * share.pace * share.layer_share;
}

double EngineTiming::DecodeUtilization(const EngineShare& share) {
  return std::min(1.0, CallsPerPass(share));
}

double EngineTiming::MeanPassesWaited(const EngineShare& share) {
  return kMeanPassesWaitedWhileBusy * DecodeUtilization(share);
}

double EngineTiming::PrefillTokensPerMs(const EngineModel& model,
                                        const EngineShare& share) {
  const double slowdown = share.read_factor * share.pace * share.layer_share;
  if (model.read_tokens_per_ms <= 0 || slowdown <= 0)
    return 0;
  const double idle_rate = model.read_tokens_per_ms / slowdown;
  const double decode_utilization = DecodeUtilization(share);
  if (model.read_chunk_tokens <= 0 || decode_utilization <= 0)
    return idle_rate;
  const double pass_ms =
      decode_utilization * model.tokens_per_event * StepMs(model, share) +
      model.read_chunk_tokens / idle_rate;
  return model.read_chunk_tokens / pass_ms;
}

}  // namespace bbv
