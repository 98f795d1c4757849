#ifndef MODULES_BBV_FLEET_ENGINE_TIMING_H_
#define MODULES_BBV_FLEET_ENGINE_TIMING_H_

#include "bbv_fleet/fleet_configuration.h"

namespace bbv {

// The part of a model that a target runs, with the inputs of the timing model.
struct EngineShare {
  // Decode and prefill time factors of the accelerator kind, and the current
  // slowdown of the engine relative to its normal speed.
  double step_factor = 1;
  double read_factor = 1;
  double pace = 1;
  // Fraction of the model's layers that the target runs.
  double layer_share = 1;
  // Number of calls in flight through the target.
  double calls = 0;
};

// Estimates the forward pass times of an engine with chunked prefill.
//
// A pass decodes the tokens of one stream event for every call at the target
// and prefills at most one chunk of prompt tokens. While calls are decoding, a
// target therefore prefills one chunk per pass, regardless of its idle prefill
// rate. Pure functions; thread-safe.
class EngineTiming {
 public:
  // Returns the milliseconds of one decode step over the layers of `share`.
  static double StepMs(const EngineModel& model, const EngineShare& share);

  // Returns the fraction of passes, at most 1, in which a call decodes.
  static double DecodeUtilization(const EngineShare& share);

  // Returns the mean number of passes that a token waits for at a busy target
  // until the current one ends.
  static double MeanPassesWaited(const EngineShare& share);

  // Returns the prompt tokens per millisecond that the target can prefill in
  // addition to decoding the calls in flight; 0 if the model has no rate.
  static double PrefillTokensPerMs(const EngineModel& model,
                                   const EngineShare& share);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_ENGINE_TIMING_H_
