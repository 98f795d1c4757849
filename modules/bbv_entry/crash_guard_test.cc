#include "bbv_entry/crash_guard.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr int kTargets = 3;

std::string TargetId(int target) {
  return "engine-" + std::to_string(target);
}

}  // namespace

TEST_GROUP(CrashGuard) {
  EventLoop loop;
  DecisionLog log{"entry"};
  TargetRegistry registry;
  CrashGuard guard{&loop, &log, &registry,
                   [](const wire::CrashNoticeT&, Instant) {}};
  Instant now = kStart;
  std::string service = "model";
  std::string id = "again";
  CallTraits traits{{"bank", "POST", "/a", "body"}, {}};

  void setup() override {
    for (int it = 0; it < kTargets; ++it) {
      TargetRecord record;
      record.id = TargetId(it);
      record.service = service;
      record.address = "127.0.0.1:" + std::to_string(7001 + it);
      record.started_unix_ms = 1;
      record.heartbeat = 1;
      registry.Apply(record, now);
    }
  }
  // The other entries report that the request has crashed each target.
  void CrashAll() {
    for (int it = 0; it < kTargets; ++it) {
      now += Milliseconds(300);
      wire::CrashNoticeT notice;
      wire::TargetCrashT& crash = notice.crashes.emplace_back();
      crash.service = service;
      crash.target = HashBytes32(TargetId(it));
      crash.started_unix_ms = 1;
      crash.suspects.emplace_back(traits.Get().front(), it, 10);
      CHECK(guard.OnNotice(notice, now));
    }
  }
  // Heartbeat `heartbeat` of all targets becomes known `delay` later.
  void BeatAll(int64_t heartbeat, Milliseconds delay) {
    now += delay;
    for (int it = 0; it < kTargets; ++it)
      registry.ApplyHeartbeat(HashBytes32(TargetId(it)), heartbeat, now);
    guard.OnTick(now);
  }
  bool IsSuspect() {
    return guard.FindObstacle({service, id, traits}, true, now).has_value();
  }
};

// The target list was read a second before the crashes.
TEST(CrashGuard, HeartbeatsFromBeforeACrashDisproveIt) {
  CrashAll();
  CHECK(IsSuspect());
  BeatAll(4, Milliseconds(1400));
  CHECK(IsSuspect());
  BeatAll(4, Milliseconds(8000));
  CHECK(IsSuspect());
}

TEST(CrashGuard, ATargetThatGoesOnBeatingStaysAccused) {
  CrashAll();
  for (int it = 2; it < 12; ++it)
    BeatAll(it, Milliseconds(1000));
  CHECK(!IsSuspect());
}

}  // namespace bbv
