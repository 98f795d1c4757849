#include "bbv_fleet/call_quarantine.h"

#include <CppUTest/TestHarness.h>

namespace bbv {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr Milliseconds kFirstProbe{60'000};
constexpr uint64_t kDeadly = 0xdead;
constexpr uint64_t kFirst = 0xf1;

}  // namespace

TEST_GROUP(CallQuarantine) {
  CallQuarantine quarantine;

  QuarantineDecision Decide(const std::vector<uint64_t>& traits, bool prober,
                            Instant now) {
    return quarantine.Decide("model", traits, prober, now);
  }
};

TEST(CallQuarantine, RefusesOnlyCallsThatHoldAllPartsOfARow) {
  CHECK(quarantine.Add("model", {kFirst, kDeadly}, 3, kStart));
  CHECK(Decide({kDeadly, 5, kFirst}, false, kStart) ==
        QuarantineDecision::kRefused);
  CHECK(Decide({kFirst}, false, kStart) == QuarantineDecision::kAllowed);
  CHECK(Decide({kDeadly}, false, kStart) == QuarantineDecision::kAllowed);
  CHECK(Decide({}, false, kStart) == QuarantineDecision::kAllowed);
  CHECK(quarantine.Decide("other", {kFirst, kDeadly}, false, kStart) ==
        QuarantineDecision::kAllowed);
}

TEST(CallQuarantine, ANarrowerRowReplacesAWiderOne) {
  quarantine.Add("model", {kFirst, kDeadly}, 3, kStart);
  CHECK(quarantine.Add("model", {kDeadly}, 4, kStart));
  CHECK_EQUAL(1, quarantine.active());
  CHECK(!quarantine.Add("model", {kFirst, kDeadly}, 3, kStart));
  CHECK(Decide({kDeadly}, false, kStart) == QuarantineDecision::kRefused);
}

TEST(CallQuarantine, OnlyOneCallIsLetThroughForAProbe) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  const Instant due = kStart + kFirstProbe;
  CHECK(Decide({kDeadly}, true, due - Milliseconds(1)) ==
        QuarantineDecision::kRefused);
  CHECK(Decide({kDeadly}, false, due) == QuarantineDecision::kRefused);
  CHECK(Decide({kDeadly}, true, due) == QuarantineDecision::kProbe);
  for (int it = 0; it < 100; ++it) {
    CHECK(Decide({kDeadly}, true, due + Milliseconds(it)) ==
          QuarantineDecision::kRefused);
  }
}

TEST(CallQuarantine, AProbeThatCrashesDelaysTheNextTenTimesAsLong) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  Instant now = kStart;
  int probes = 0;
  for (int second = 0; second < 12 * 3600; ++second) {
    now += Milliseconds(1000);
    if (Decide({kDeadly}, true, now) != QuarantineDecision::kProbe)
      continue;
    ++probes;
    CHECK(quarantine.RecordCrash("model", {kDeadly}, now, now));
    // The other entries' reports of the same crash do not count.
    CHECK(!quarantine.RecordCrash("model", {kDeadly}, now, now));
  }
  CHECK_EQUAL(3, probes);
}

TEST(CallQuarantine, CallsSentBeforeTheQuarantineAreNoProbes) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  CHECK(!quarantine.RecordCrash("model", {kDeadly}, kStart - Milliseconds(50),
                                kStart + Milliseconds(50)));
}

TEST(CallQuarantine, OutputEndsAQuarantineAtAllEntries) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  CallQuarantine other;
  CHECK(other.Merge(quarantine.Rows()[0], kStart));
  CHECK(quarantine.RecordOutput("model", {kDeadly, 4}, kStart));
  CHECK(!quarantine.RecordOutput("model", {kDeadly, 4}, kStart));
  CHECK(other.Merge(quarantine.Rows()[0], kStart));
  CHECK_EQUAL(0, other.active());
  // The row of an entry that was cut off does not bring it back.
  CallQuarantine late;
  late.Add("model", {kDeadly}, 3, kStart);
  CHECK(!other.Merge(late.Rows()[0], kStart));
  CHECK_EQUAL(0, other.active());
}

TEST(CallQuarantine, ALiftedPartThatCrashesAgainIsQuarantinedAgain) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  quarantine.RecordOutput("model", {kDeadly}, kStart);
  CHECK(quarantine.Add("model", {kDeadly}, 3, kStart));
  CHECK_EQUAL(1, quarantine.active());
}

TEST(CallQuarantine, RowsThatNoEntryNeedsEnd) {
  quarantine.Add("model", {kDeadly}, 3, kStart);
  quarantine.OnTick(kStart + Milliseconds(23LL * 3600 * 1000));
  CHECK_EQUAL(1, quarantine.active());
  quarantine.OnTick(kStart + Milliseconds(25LL * 3600 * 1000));
  CHECK_EQUAL(0, quarantine.active());
}

TEST(CallQuarantine, TheNumberOfRowsIsBounded) {
  for (uint64_t it = 0; it < 1000; ++it) {
    quarantine.Add("model", {it}, 3,
                   kStart + Milliseconds(static_cast<int64_t>(it)));
  }
  CHECK(quarantine.Rows().size() <= 32);
  CHECK(quarantine.Find("model", {999}) != nullptr);
}

}  // namespace bbv
