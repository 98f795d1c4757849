#include "bbv_fleet/engine_timing.h"

#include <CppUTest/TestHarness.h>

#include "fleet_fixtures.h"

using bbv::EngineModel;
using bbv::EngineShare;
using bbv::EngineTiming;

TEST_GROUP(EngineTiming) {
  EngineModel model = bbv_test::MakeModel();
  EngineShare share;

  void setup() override {
    model.tokens_per_event = 4;
    model.read_chunk_tokens = 512;
    model.call_step_ms = 0.003;
    model.context_step_ms = 0.004;
    share.step_factor = 16;
    share.read_factor = 8;
    share.layer_share = 0.1;
  }
};

TEST(EngineTiming, IdleTargetPrefillsAtFullRate) {
  const double rate = EngineTiming::PrefillTokensPerMs(model, share);
  DOUBLES_EQUAL(model.read_tokens_per_ms / 0.8, rate, 0.01);
}

// With a hundred streams through each target, prefill is bounded by the rate of
// decode passes. Guards against an estimate that ignores decoding and sends
// prompts to targets that cannot prefill them in time.
TEST(EngineTiming, DecodingTargetPrefillsOneChunkPerPass) {
  share.calls = 100;
  const double step_ms = EngineTiming::StepMs(model, share);
  const double rate = EngineTiming::PrefillTokensPerMs(model, share);
  CHECK_TRUE(rate < 512 / (4 * step_ms));
  CHECK_TRUE(rate < 0.35 * model.read_tokens_per_ms / 0.8);
}

TEST(EngineTiming, StepTimeScalesWithCallsLayersAndSlowdown) {
  const double idle_step_ms = EngineTiming::StepMs(model, share);
  DOUBLES_EQUAL(model.step_ms * 1.6, idle_step_ms, 0.001);
  share.calls = 300;
  CHECK_TRUE(EngineTiming::StepMs(model, share) > idle_step_ms);
  share.calls = 0;
  share.pace = 4;
  DOUBLES_EQUAL(4 * idle_step_ms, EngineTiming::StepMs(model, share), 0.001);
}

TEST(EngineTiming, ModelWithoutPrefillRateReturnsZero) {
  model.read_tokens_per_ms = 0;
  DOUBLES_EQUAL(0, EngineTiming::PrefillTokensPerMs(model, share), 0);
}
