#include "bbv_entry/crash_guard.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr int kTargets = 3;

std::string TargetId(int target) {
  return "engine-" + std::to_string(target);
}

// A target's socket, which accepts connections until it is closed.
class ListeningSocket {
 public:
  ListeningSocket() {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, bind(fd_, reinterpret_cast<sockaddr*>(&own), sizeof(own)));
    CHECK_EQUAL(0, listen(fd_, 4));
    socklen_t length = sizeof(own);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&own), &length);
    port_ = ntohs(own.sin_port);
  }
  ~ListeningSocket() { Close(); }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;

  void Close() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int fd_ = socket(AF_INET, SOCK_STREAM, 0);
  int port_ = 0;
};

}  // namespace

TEST_GROUP(CrashGuard) {
  EventLoop loop;
  DecisionLog log{"entry"};
  TargetRegistry registry;
  std::size_t announced_crashes = 0;
  CrashGuard guard{&loop, &log, &registry,
                   [this](const wire::CrashNoticeT& notice, Instant) {
                     announced_crashes += notice.crashes.size();
                   }};
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
  // A call breaks at a target that is listed with the address of `socket`.
  void BreakCallAt(const ListeningSocket& socket) {
    TargetRecord record;
    record.id = "own";
    record.service = service;
    record.address = socket.address();
    record.started_unix_ms = 1;
    registry.Apply(record, now);
    guard.OnCallBroken({service, id, traits}, "own", now - Milliseconds(10),
                       false, now);
  }
  // Lets half a second pass for the checks.
  void RunChecks() {
    for (int it = 0; it < 25; ++it) {
      now += Milliseconds(20);
      uv_run(loop.raw(), UV_RUN_NOWAIT);
      guard.OnTick(now);
    }
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

TEST(CrashGuard, ADelayedEntryMissesACrash) {
  ListeningSocket socket;
  socket.Close();
  BreakCallAt(socket);
  // The result of the check has come, but was not read yet.
  now += Milliseconds(400);
  guard.OnTick(now);
  CHECK_EQUAL(0, announced_crashes);
  RunChecks();
  CHECK_EQUAL(1, announced_crashes);
}

TEST(CrashGuard, APlannedEndAfterABrokenCallIsTakenForACrash) {
  ListeningSocket socket;
  BreakCallAt(socket);
  uv_run(loop.raw(), UV_RUN_NOWAIT);
  guard.OnTick(now);
  CHECK(registry.MarkLeaving("own", 1));
  socket.Close();
  RunChecks();
  CHECK_EQUAL(0, announced_crashes);
}

}  // namespace bbv
