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

TEST(TargetRateLimit, BucketIsEmptyWhenTheLimitBegins) {
  limit.RecordResponse(2.0, At(0), At(0));
  limit.SetShare(1, Milliseconds(0), At(0));
  CHECK_FALSE(limit.HasAllowance(At(600)));
  CHECK_TRUE(limit.HasAllowance(At(700)));
  const auto next = limit.NextAllowance(At(100));
  CHECK_TRUE(next && *next > At(600) && *next < At(700));
  limit.RecordRequest(At(700));
  CHECK_FALSE(limit.HasAllowance(At(1300)));
  CHECK_EQUAL(1, limit.requests());
}

TEST(TargetRateLimit, HigherShareAppliesAfterItsPreviousHolderHasGivenItUp) {
  limit.RecordResponse(4.0, At(0), At(0));
  limit.SetShare(1, Milliseconds(2000), At(0));
  limit.SetShare(1, Milliseconds(2000), At(1900));
  CHECK_FALSE(limit.HasAllowance(At(2200)));
  CHECK_TRUE(limit.HasAllowance(At(2400)));
  limit.SetShare(0, Milliseconds(2000), At(2400));
  limit.RecordRequest(At(2400));
  CHECK_FALSE(limit.HasAllowance(At(60'000)));
  CHECK_FALSE(limit.NextAllowance(At(60'000)).has_value());
}

TEST(TargetRateLimit, IdleTimeIsNotSavedUp) {
  limit.RecordResponse(2.0, At(0), At(0));
  limit.SetShare(1, Milliseconds(0), At(0));
  int sent = 0;
  for (int it = 0; it < 4000; it += 10) {
    if (limit.HasAllowance(At(60'000 + it))) {
      limit.RecordRequest(At(60'000 + it));
      ++sent;
    }
  }
  CHECK(sent >= 6);
  CHECK(sent <= 8);
}

// No request at all would hide that the limit has ended.
TEST(TargetRateLimit, LimitOfZeroAllowsAFewRequests) {
  limit.RecordResponse(0.0, At(0), At(0));
  limit.SetShare(1, Milliseconds(0), At(0));
  CHECK_FALSE(limit.HasAllowance(At(10'000)));
  CHECK_TRUE(limit.HasAllowance(At(14'000)));
}

TEST(TargetRateLimit, OfTwoStatementsTheNewerOrLowerOneHolds) {
  CHECK_TRUE(limit.Merge({2.0, 3, At(0)}, At(10)));
  CHECK_FALSE(limit.Merge({1.0, 2, At(0)}, At(10)));
  CHECK_FALSE(limit.Merge({std::nullopt, 3, At(0)}, At(10)));
  CHECK_TRUE(limit.Merge({1.5, 3, At(0)}, At(10)));
  CHECK_TRUE(limit.Merge({std::nullopt, 4, At(5)}, At(10)));
  CHECK_FALSE(limit.per_second().has_value());
  CHECK_TRUE(limit.HasAllowance(At(10)));
}

// A response that was overtaken by the first one with a limit.
TEST(TargetRateLimit, DelayedResponseWithoutALimitDoesNotEndIt) {
  limit.RecordResponse(2.4, At(10), At(20));
  CHECK_FALSE(limit.RecordResponse(std::nullopt, At(5), At(30)));
  CHECK_FALSE(limit.RecordResponse(std::nullopt, std::nullopt, At(30)));
  CHECK_TRUE(limit.per_second() == 2.4);
}

}  // namespace bbv
