#include "bbv_fleet/response_length_estimator.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::ResponseLengthEstimator;

namespace {

constexpr double kLimit = 580;
constexpr double kUsual = 200;

// Samples a response length of a chat workload, where most responses are far
// shorter than the callers' limit.
double SampleLength(std::mt19937* random) {
  std::lognormal_distribution<double> lengths(5.0, 0.8);
  return std::clamp(lengths(*random), 3.0, kLimit);
}

}  // namespace

TEST_GROUP(ResponseLengthEstimator) {
  ResponseLengthEstimator lengths;
};

TEST(ResponseLengthEstimator, ReturnsTheConfiguredLengthBeforeAnyResponse) {
  DOUBLES_EQUAL(kUsual, lengths.EstimateTokens("engine", kUsual, kLimit), 0);
  DOUBLES_EQUAL(50, lengths.EstimateTokens("engine", kUsual, 50), 0);
  DOUBLES_EQUAL(kUsual, lengths.EstimateTokens("engine", kUsual, 0), 0);
  DOUBLES_EQUAL(kLimit, lengths.EstimateTokens("engine", 0, kLimit), 0);
  DOUBLES_EQUAL(0, lengths.EstimateTokens("engine", 0, 0), 0);
}

TEST(ResponseLengthEstimator, TracksEachServiceSeparately) {
  for (int it = 0; it < 500; ++it)
    lengths.Record("engine", 40, kUsual, kLimit);
  CHECK_TRUE(lengths.EstimateTokens("engine", kUsual, kLimit) < 45);
  DOUBLES_EQUAL(kUsual, lengths.EstimateTokens("other", kUsual, kLimit), 0);
}

TEST(ResponseLengthEstimator, SingleOutlierHasLittleEffect) {
  for (int it = 0; it < 100; ++it)
    lengths.Record("engine", kUsual, kUsual, kLimit);
  lengths.Record("engine", 1e9, kUsual, kLimit);
  CHECK_TRUE(lengths.EstimateTokens("engine", kUsual, kLimit) < 1.05 * kUsual);
}

TEST(ResponseLengthEstimator, AdaptsToASuddenChange) {
  for (int it = 0; it < 1000; ++it)
    lengths.Record("engine", 100, kUsual, kLimit);
  for (int it = 0; it < 300; ++it)
    lengths.Record("engine", 400, kUsual, kLimit);
  CHECK_TRUE(lengths.EstimateTokens("engine", kUsual, kLimit) > 380);
}

// Simulates calls that arrive faster than the memory of one zone can serve
// them. Calls are admitted while their reservations fit; each occupies memory
// for its prompt and the tokens generated so far. Guards against estimates that
// are too high, which leave memory unused, and too low, which overcommit memory
// by more than one call, so that a target has to preempt several.
TEST(ResponseLengthEstimator, UsesScarceMemoryWithoutOvercommitting) {
  constexpr double kMemoryTokens = 100'000;
  constexpr double kPrompt = 760;
  constexpr int kRounds = 4000;
  struct Call {
    double reserved;
    double length;
    double written;
  };
  std::mt19937 random(7);
  std::vector<Call> calls;
  double reserved = 0;
  double used_sum = 0;
  double most_used = 0;
  for (int round = 0; round < kRounds; ++round) {
    while (true) {
      const double wanted =
          kPrompt + lengths.EstimateTokens("engine", kUsual, kLimit);
      if (reserved + wanted > kMemoryTokens)
        break;
      calls.push_back({wanted, SampleLength(&random), 0});
      reserved += wanted;
    }
    double used = 0;
    for (Call& it : calls) {
      it.written += 3;
      used += kPrompt + it.written;
      if (it.written < it.length)
        continue;
      reserved -= it.reserved;
      lengths.Record("engine", it.length, kUsual, kLimit);
    }
    std::erase_if(calls,
                  [](const Call& it) { return it.written >= it.length; });
    used_sum += used;
    most_used = std::max(most_used, used);
  }
  CHECK_TRUE(used_sum / kRounds > 0.88 * kMemoryTokens);
  CHECK_TRUE(most_used <= kMemoryTokens + kPrompt);
}
