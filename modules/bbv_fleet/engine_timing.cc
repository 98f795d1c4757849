#include "bbv_fleet/engine_timing.h"

#include <algorithm>

namespace bbv {
namespace {

constexpr double kTokensInThousand = 1000;

// Calls whose turn it is at a target in one pass: each is at one of the path's
// hops at a time, in proportion to the layers there.
double CallsInPass(const EngineShare& share) {
  return share.calls * share.layer_share;
}

// Thousands of tokens that a call has behind it in the middle of its answer.
double UsualContextThousands(const EngineModel& model) {
  return (model.usual_prompt_tokens + model.usual_answer_tokens / 2) /
         kTokensInThousand;
}

}  // namespace

double EngineTiming::StepMs(const EngineModel& model,
                            const EngineShare& share) {
  const double for_each_call =
      model.call_step_ms + model.context_step_ms * UsualContextThousands(model);
  return (model.step_ms + CallsInPass(share) * for_each_call) *
         share.step_factor * share.pace * share.layer_share;
}

double EngineTiming::DecodeUtilization(const EngineShare& share) {
  return std::min(1.0, CallsInPass(share));
}

double EngineTiming::PrefillTokensPerMs(const EngineModel& model,
                                        const EngineShare& share) {
  const double slowness = share.read_factor * share.pace * share.layer_share;
  if (model.read_tokens_per_ms <= 0 || slowness <= 0)
    return 0;
  const double alone = model.read_tokens_per_ms / slowness;
  const double writing = DecodeUtilization(share);
  if (model.read_chunk_tokens <= 0 || writing <= 0)
    return alone;
  const double pass_ms =
      writing * model.tokens_per_event * StepMs(model, share) +
      model.read_chunk_tokens / alone;
  return model.read_chunk_tokens / pass_ms;
}

}  // namespace bbv
