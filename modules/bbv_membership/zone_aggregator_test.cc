#include "bbv_membership/zone_aggregator.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kWindow{10'000};
const Instant kStart = Instant{} + std::chrono::hours(1);

wire::EntryStateT MakeState(uint32_t sequence,
                            uint32_t calls,
                            uint32_t repeats) {
  wire::EntryStateT state;
  state.sequence = sequence;
  state.own.emplace_back(7, calls, 100 * calls, 10 * calls);
  wire::RetrySpendingT retries;
  retries.service = "service";
  retries.calls = calls;
  retries.repeats = repeats;
  state.retries.push_back(std::move(retries));
  return state;
}

}  // namespace

TEST_GROUP(ZoneAggregator) {
  ZoneAggregator aggregator{kWindow};
};

TEST(ZoneAggregator, SumsTheLatestStateOfEachEntry) {
  aggregator.RecordState(1, MakeState(1, 3, 0), kStart);
  aggregator.RecordState(2, MakeState(1, 4, 1), kStart);
  aggregator.RecordState(2, MakeState(2, 5, 2), kStart + Milliseconds(200));
  const wire::ZoneDigestT sums =
      aggregator.Summarize(kStart + Milliseconds(300));
  CHECK_EQUAL(1, static_cast<int>(sums.loads.size()));
  CHECK_EQUAL(8, static_cast<int>(sums.loads[0].calls()));
  CHECK_EQUAL(800, static_cast<int>(sums.loads[0].token_layers()));
  CHECK_EQUAL(2, static_cast<int>(sums.retries[0].repeats));
  CHECK_EQUAL(2, static_cast<int>(sums.members.size()));
}

TEST(ZoneAggregator, LoadOfSilentEntryExpiresBeforeItsRetrySpending) {
  aggregator.RecordState(1, MakeState(1, 3, 6), kStart);
  const wire::ZoneDigestT sums =
      aggregator.Summarize(kStart + Milliseconds(4000));
  CHECK_TRUE(sums.loads.empty());
  CHECK_TRUE(sums.members.empty());
  CHECK_EQUAL(6, static_cast<int>(sums.retries.at(0).repeats));
  CHECK_TRUE(
      aggregator.Summarize(kStart + kWindow + Milliseconds(1)).retries.empty());
}

TEST(ZoneAggregator, SubtractsOwnState) {
  const wire::EntryStateT own = MakeState(1, 3, 1);
  aggregator.RecordState(1, own, kStart);
  aggregator.RecordState(2, MakeState(1, 4, 1), kStart);
  wire::ZoneDigestT sums = aggregator.Summarize(kStart);
  SubtractState(own, &sums);
  CHECK_EQUAL(4, static_cast<int>(sums.loads[0].calls()));
  CHECK_EQUAL(40, static_cast<int>(sums.loads[0].unread_tokens()));
  CHECK_EQUAL(1, static_cast<int>(sums.retries[0].repeats));
  // Subtracting more than the sum yields zero instead of wrapping around.
  SubtractState(MakeState(1, 9, 9), &sums);
  CHECK_EQUAL(0, static_cast<int>(sums.loads[0].calls()));
  CHECK_EQUAL(0, static_cast<int>(sums.retries[0].repeats));
}

TEST(ZoneAggregator, EngineReportsAreReturnedOnce) {
  wire::EntryStateT state = MakeState(1, 1, 0);
  state.engines.emplace_back(7, 1, 2, 3, 4, 100, 0, 0, 0);
  aggregator.RecordState(1, std::move(state), kStart);
  CHECK_EQUAL(1, static_cast<int>(aggregator.Summarize(kStart).engines.size()));
  CHECK_TRUE(aggregator.Summarize(kStart).engines.empty());
}

}  // namespace bbv
