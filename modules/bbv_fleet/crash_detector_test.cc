#include "bbv_fleet/crash_detector.h"

#include <CppUTest/TestHarness.h>

namespace bbv {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};

TargetRecord MakeRecord(int64_t started_unix_ms) {
  TargetRecord record;
  record.id = "engine";
  record.service = "model";
  record.address = "10.0.0.1:80";
  record.started_unix_ms = started_unix_ms;
  return record;
}

BrokenCall MakeCall(uint32_t call, bool began_output) {
  return {call, {0xa, 0xb}, kStart - Milliseconds(50), began_output};
}

}  // namespace

TEST_GROUP(CrashDetector) {
  TargetRegistry registry;
  CrashDetector detector;

  void setup() override {
    registry.Apply(MakeRecord(1), kStart);
  }
  bool RecordBroken(uint32_t call, bool began_output) {
    return detector.RecordBrokenCall(*registry.Find("engine"),
                                     MakeCall(call, began_output), kStart);
  }
};

TEST(CrashDetector, ARefusedConnectionAfterABrokenOneIsACrash) {
  CHECK(RecordBroken(1, true));
  CHECK(!RecordBroken(2, false));
  CHECK(detector.TakeCrashes(registry, kStart).empty());
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  const auto crashes = detector.TakeCrashes(registry, kStart);
  CHECK_EQUAL(1, crashes.size());
  CHECK_EQUAL(2, crashes[0].broken_calls);
  CHECK_EQUAL(1, crashes[0].silent_calls);
  CHECK_EQUAL(2, crashes[0].suspects.size());
  CHECK_EQUAL(2, crashes[0].suspects[0].call);
  CHECK(detector.TakeCrashes(registry, kStart).empty());
}

TEST(CrashDetector, CallsThatBreakAfterTheCrashWasFoundAreReportedToo) {
  RecordBroken(1, true);
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  detector.TakeCrashes(registry, kStart);
  CHECK(!RecordBroken(2, false));
  const auto crashes = detector.TakeCrashes(registry, kStart);
  CHECK_EQUAL(1, crashes.size());
  CHECK_EQUAL(2, crashes[0].suspects.size());
}

TEST(CrashDetector, AResetConnectionToALiveTargetIsNoCrash) {
  RecordBroken(1, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kListening);
  CHECK(detector.TakeCrashes(registry, kStart).empty());
  registry.Apply(MakeRecord(2), kStart);
  CHECK(detector.TakeCrashes(registry, kStart).empty());
}

TEST(CrashDetector, AListeningSocketThatOutlivesItsConnectionsHidesACrash) {
  RecordBroken(1, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kListening);
  CHECK(detector.TakeDueChecks(kStart + Milliseconds(50)).empty());
  CHECK_EQUAL(1, detector.TakeDueChecks(kStart + Milliseconds(150)).size());
  CHECK(detector.TakeDueChecks(kStart + Milliseconds(300)).empty());
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  CHECK_EQUAL(1, detector.TakeCrashes(registry, kStart).size());
}

TEST(CrashDetector, ATargetThatGoesOnListeningIsAccusedByALaterCrash) {
  RecordBroken(1, false);
  Instant now = kStart;
  int checks = 1;
  detector.RecordCheck("engine", 1, ListenCheckResult::kListening);
  for (int it = 0; it < 100; ++it) {
    now += Milliseconds(50);
    for (const auto& [id, started] : detector.TakeDueChecks(now)) {
      ++checks;
      detector.RecordCheck(id, started, ListenCheckResult::kListening);
    }
  }
  CHECK(checks <= 4);
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  CHECK(detector.TakeCrashes(registry, now).empty());
}

TEST(CrashDetector, ATargetThatIsCutOffHasNotCrashed) {
  RecordBroken(1, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kNoAnswer);
  CHECK(detector.TakeCrashes(registry, kStart + Milliseconds(9000)).empty());
}

// A process that is ending may reset the check, or the entry may be delayed.
TEST(CrashDetector, ACheckWithoutAnAnswerHidesACrash) {
  RecordBroken(1, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kNoAnswer);
  CHECK(detector.TakeDueChecks(kStart + Milliseconds(50)).empty());
  CHECK_EQUAL(1, detector.TakeDueChecks(kStart + Milliseconds(150)).size());
  detector.RecordCheck("engine", 1, ListenCheckResult::kNoAnswer);
  CHECK_EQUAL(1, detector.TakeDueChecks(kStart + Milliseconds(300)).size());
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  CHECK_EQUAL(1, detector.TakeCrashes(registry, kStart).size());
}

TEST(CrashDetector, ATargetThatIsCutOffIsCheckedWithoutEnd) {
  RecordBroken(1, false);
  int checks = 1;
  detector.RecordCheck("engine", 1, ListenCheckResult::kNoAnswer);
  for (int it = 0; it < 300; ++it) {
    for (const auto& [id, started] :
         detector.TakeDueChecks(kStart + Milliseconds(50 * it))) {
      ++checks;
      detector.RecordCheck(id, started, ListenCheckResult::kNoAnswer);
    }
  }
  CHECK(checks <= 10);
  CHECK(detector.TakeCrashes(registry, kStart + Milliseconds(14'000)).empty());
}

TEST(CrashDetector, ALaterStartConfirmsACrashThatNoCheckShowed) {
  RecordBroken(1, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kNoAnswer);
  registry.Apply(MakeRecord(2), kStart + Milliseconds(3000));
  const auto crashes =
      detector.TakeCrashes(registry, kStart + Milliseconds(3000));
  CHECK_EQUAL(1, crashes.size());
  CHECK_EQUAL(1, crashes[0].started_unix_ms);
}

TEST(CrashDetector, ATargetThatLeavesHasNotCrashed) {
  registry.MarkLeaving("engine", 1);
  CHECK(!RecordBroken(1, false));
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  CHECK(detector.TakeCrashes(registry, kStart).empty());
}

TEST(CrashDetector, ManyPartsOfOneCrashAreBounded) {
  for (uint32_t call = 0; call < 1000; ++call)
    RecordBroken(call, false);
  detector.RecordCheck("engine", 1, ListenCheckResult::kRefused);
  const auto crashes = detector.TakeCrashes(registry, kStart);
  CHECK_EQUAL(1000, crashes[0].silent_calls);
  CHECK(crashes[0].suspects.size() <= 256);
}

TEST(CrashDetector, TheLastPartOfAPromptIsNotShared) {
  CHECK(PartTraits({}).empty());
  CHECK(PartTraits({7}).empty());
  CHECK(PartTraits({7, 8, 7, 9}) == std::vector<uint64_t>({7, 8}));
  STRCMP_EQUAL("5c1e07a2,7", FormatTraits({0x5c1e07a2, 7}).c_str());
}

}  // namespace bbv
