#include "bbv_fleet/target_rate_limit.h"

#include <CppUTest/TestHarness.h>

#include <optional>

namespace bbv {
namespace {

Instant At(int milliseconds) {
  return Instant{} + Milliseconds(1'000'000 + milliseconds);
}

}  // namespace

TEST_GROUP(TargetRateLimit) {
  TargetRateLimit limit;
};

TEST(TargetRateLimit, LaterResponsesChangeAndEndTheLimit) {
  CHECK_FALSE(limit.RecordResponse(std::nullopt, At(0), At(5)));
  CHECK_TRUE(limit.RecordResponse(2.4, At(0), At(10)));
  CHECK_FALSE(limit.RecordResponse(2.4, At(10), At(20)));
  CHECK_TRUE(limit.RecordResponse(1.2, At(20), At(30)));
  CHECK_TRUE(limit.per_second() == 1.2);
  CHECK_TRUE(limit.RecordResponse(std::nullopt, At(40), At(50)));
  CHECK_FALSE(limit.per_second().has_value());
}

// A response that was overtaken by the first one with a limit.
TEST(TargetRateLimit, DelayedResponseWithoutALimitDoesNotEndIt) {
  limit.RecordResponse(2.4, At(10), At(20));
  CHECK_FALSE(limit.RecordResponse(std::nullopt, At(5), At(30)));
  CHECK_FALSE(limit.RecordResponse(std::nullopt, std::nullopt, At(30)));
  CHECK_TRUE(limit.per_second() == 2.4);
}

}  // namespace bbv
