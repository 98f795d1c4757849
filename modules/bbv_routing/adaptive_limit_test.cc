#include "bbv_routing/adaptive_limit.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(AdaptiveLimit){};

TEST(AdaptiveLimit, IncreasesWhileReachedAndBatchesAreNotFull) {
  bbv::AdaptiveLimit limit(16, 100);
  for (int it = 0; it < 200; ++it)
    limit.Observe(8, 0, limit.limit());
  CHECK_EQUAL(100, limit.limit());
}

TEST(AdaptiveLimit, IsConstantAtLowLoad) {
  bbv::AdaptiveLimit limit(16, 100);
  for (int it = 0; it < 200; ++it)
    limit.Observe(2, 0, 4);
  CHECK_EQUAL(32, limit.limit());
}

TEST(AdaptiveLimit, DecreasesToTheMinimumWhileSequencesWait) {
  bbv::AdaptiveLimit limit(16, 100);
  for (int it = 0; it < 200; ++it)
    limit.Observe(16, 10, limit.limit());
  CHECK_EQUAL(8, limit.limit());
}

TEST(AdaptiveLimit, DecreasesOnlyAfterThePreviousDecreaseTookEffect) {
  bbv::AdaptiveLimit limit(16, 100);
  for (int it = 0; it < 200; ++it)
    limit.Observe(16, 10, 32);
  CHECK_EQUAL(31, limit.limit());
}
