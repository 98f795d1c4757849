#include "bbv_admission/max_min.h"

#include <CppUTest/TestHarness.h>

using bbv::MaxMinLevel;

TEST_GROUP(MaxMin){};

TEST(MaxMin, SmallDemandsAreMetAndTheRestIsDividedByWeight) {
  DOUBLES_EQUAL(40, MaxMinLevel({{10, 1}, {100, 1}, {100, 1}}, 90), 1e-9);
  DOUBLES_EQUAL(20, MaxMinLevel({{10, 1}, {100, 1}, {100, 3}}, 90), 1e-9);
}

TEST(MaxMin, AllDemandsFitBelowTheLevel) {
  const double level = MaxMinLevel({{10, 1}, {30, 1}}, 100);
  CHECK_TRUE(level >= 30);
  DOUBLES_EQUAL(0, MaxMinLevel({}, 100), 1e-9);
  DOUBLES_EQUAL(0, MaxMinLevel({{10, 1}}, 0), 1e-9);
}
