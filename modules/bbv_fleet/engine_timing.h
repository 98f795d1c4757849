#ifndef MODULES_BBV_FLEET_ENGINE_TIMING_H_
#define MODULES_BBV_FLEET_ENGINE_TIMING_H_

#include "bbv_fleet/fleet_configuration.h"

namespace bbv {

// A target's share of a model, as far as its times depend on it.
struct EngineShare {
  // Factors of its accelerator's kind, and how many times slower it runs now.
  double step_factor = 1;
  double read_factor = 1;
  double pace = 1;
  // Part of the model's layers that run there.
  double layer_share = 1;
  // Calls under way through the target.
  double calls = 0;
};

// How long a target takes for the passes in which it works.
//
// A pass makes the tokens of one event for every call whose turn it is there,
// and reads at most a chunk of prompts beside. While calls are writing, a
// target therefore reads one chunk a pass, however quickly it could read alone.
// Pure functions; thread safe.
class EngineTiming {
 public:
  // Milliseconds of one token step over the layers of `share`.
  static double StepMs(const EngineModel& model, const EngineShare& share);

  // Share of its passes, at most 1, in which a call writes.
  static double DecodeUtilization(const EngineShare& share);

  // Prompt tokens that are read in a millisecond beside the calls under way.
  static double PrefillTokensPerMs(const EngineModel& model,
                                   const EngineShare& share);
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_ENGINE_TIMING_H_
