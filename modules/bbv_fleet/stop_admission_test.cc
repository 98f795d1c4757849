#include "bbv_fleet/stop_admission.h"

#include <CppUTest/TestHarness.h>

#include "tests/fleet_fixtures.h"

using bbv::CallDurations;
using bbv::CallKind;
using bbv::Instant;
using bbv::Milliseconds;
using bbv::ServiceRoute;
using bbv::StopAdmission;

TEST_GROUP(StopAdmission) {
  CallDurations durations;
  Instant start{std::chrono::hours(1)};
  int stop_ms = 7700;
  bool others_serve = true;
  ServiceRoute route;

  void setup() override {
    route.name = "route";
  }

  // Whether a call is taken that is read `at_ms` after the stop signal and may
  // last `limit_ms`.
  bool Accepts(int at_ms, int limit_ms) const {
    const StopAdmission admission(start, start + Milliseconds(stop_ms),
                                  &durations);
    const Instant now = start + Milliseconds(at_ms);
    return admission.Accepts(route, now + Milliseconds(limit_ms), others_serve,
                             now);
  }
  void UseResumableStreams() {
    route.kind = CallKind::kStream;
    route.resumable = true;
  }
  void RecordDuration(int milliseconds) {
    durations.Record(route.name, Milliseconds(milliseconds), start);
  }
};

TEST(StopAdmission, CallsWhoseLimitPassesInTimeAreTakenToTheEnd) {
  RecordDuration(60'000);
  for (const CallKind kind :
       {CallKind::kSafe, CallKind::kUnsafe, CallKind::kStream}) {
    route.kind = kind;
    CHECK_TRUE(Accepts(0, 7700));
    CHECK_TRUE(Accepts(5700, 2000));
    CHECK_FALSE(Accepts(5701, 2000));
    CHECK_TRUE(Accepts(7699, 1));
    CHECK_FALSE(Accepts(7700, 1));
  }
}

TEST(StopAdmission, NoCallIsTakenLateThatItsLimitDoesNotEndInTime) {
  stop_ms = 60'000;
  RecordDuration(1);
  for (const CallKind kind :
       {CallKind::kSafe, CallKind::kUnsafe, CallKind::kStream}) {
    for (const bool resumable : {false, true}) {
      route.kind = kind;
      route.resumable = resumable;
      CHECK_TRUE(Accepts(2899, 90'000));
      CHECK_FALSE(Accepts(2900, 90'000));
      CHECK_FALSE(Accepts(50'000, 90'000));
    }
  }
}

TEST(StopAdmission, CallsWithALongLimitAreTakenEarlyIfTheirRouteIsFast) {
  for (const CallKind kind :
       {CallKind::kSafe, CallKind::kUnsafe, CallKind::kStream}) {
    route.kind = kind;
    durations = {};
    CHECK_FALSE(Accepts(0, 20'000));
    RecordDuration(450);
    CHECK_TRUE(Accepts(0, 20'000));
    CHECK_TRUE(Accepts(2800, 20'000));
    RecordDuration(3000);
    CHECK_TRUE(Accepts(1700, 20'000));
    CHECK_FALSE(Accepts(1701, 20'000));
    RecordDuration(4000);
    CHECK_FALSE(Accepts(0, 20'000));
  }
}

TEST(StopAdmission, StreamsThatOutlastTheStopAreNotTaken) {
  UseResumableStreams();
  RecordDuration(9000);
  CHECK_FALSE(Accepts(0, 20'000));
  durations = {};
  RecordDuration(6400);
  CHECK_TRUE(Accepts(1200, 20'000));
  CHECK_FALSE(Accepts(1201, 20'000));
}

TEST(StopAdmission, AFewLongStreamsDoNotKeepTheOthersAway) {
  UseResumableStreams();
  for (int it = 0; it < 49; ++it)
    RecordDuration(4900);
  RecordDuration(30'000);
  CHECK_TRUE(Accepts(2700, 20'000));
  RecordDuration(30'000);
  CHECK_FALSE(Accepts(2700, 20'000));
}

TEST(StopAdmission, StreamsOfUnknownDurationAreTakenEarly) {
  UseResumableStreams();
  CHECK_TRUE(Accepts(0, 20'000));
  CHECK_TRUE(Accepts(2899, 20'000));
  stop_ms = 4799;
  CHECK_FALSE(Accepts(0, 20'000));
  CHECK_TRUE(Accepts(0, 4799));
}

TEST(StopAdmission, StreamsAreNotSentAwayWhileNoOtherEntryServes) {
  UseResumableStreams();
  others_serve = false;
  RecordDuration(9000);
  CHECK_TRUE(Accepts(0, 20'000));
  CHECK_TRUE(Accepts(2899, 20'000));
  stop_ms = 4799;
  CHECK_FALSE(Accepts(0, 20'000));
}
