#include "bbv_membership/store_position.h"

#include <CppUTest/TestHarness.h>

using bbv::StorePosition;

TEST_GROUP(StorePosition){};

// A store restored from a backup assigns offsets again, so offsets alone would
// order the positions incorrectly.
TEST(StorePosition, LaterEraIsMoreRecentRegardlessOfOffset) {
  CHECK((StorePosition{1, 900} < StorePosition{2, 10}));
  CHECK((StorePosition{2, 10} > StorePosition{1, 900}));
  CHECK_FALSE((StorePosition{2, 10} < StorePosition{1, 900}));
  CHECK((StorePosition{2, 10} < StorePosition{2, 11}));
  CHECK((StorePosition{0, 5} == StorePosition{0, 5}));
}
