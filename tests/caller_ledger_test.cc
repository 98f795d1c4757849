#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::CountOf;
using bbv::FleetFloor;
using bbv::RawCaller;
using bbv::RequestText;

namespace {

void SleepFor(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}  // namespace

// Every whole request that an entry has read ends in an answer or a refusal,
// unless its caller leaves.
TEST_GROUP(CallerLedger) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet(int stop_timeout_s = 8) {
    floor = std::make_unique<FleetFloor>(1, options, stop_timeout_s);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }

  RawCaller Connect() {
    return RawCaller(floor->callers_port(0));
  }

  // Returns the line of caller-connection-ended of `id`, waiting for it.
  std::string FindEndLine(const std::string& id) {
    for (int it = 0; it < 100; ++it) {
      const std::string output = floor->Output(0);
      const std::size_t id_at =
          output.find("\"id\":\"" + id + "\",\"connection\"");
      if (id_at != std::string::npos) {
        const std::size_t start = output.rfind('\n', id_at) + 1;
        return output.substr(start, output.find('\n', id_at) - start);
      }
      SleepFor(20);
    }
    return {};
  }
};

TEST(CallerLedger, ConnectionsThatEndWithAnOpenCallAreLogged) {
  options.work_ms = 400;
  StartFleet();
  const std::string request = RequestText("/safe/x", "left");
  {
    const RawCaller caller = Connect();
    CHECK(caller.Send(request));
    SleepFor(100);
  }
  const std::string line = FindEndLine("left");
  CHECK(line.find("caller-connection-ended") != std::string::npos);
  CHECK(line.find("\"by\":\"caller-closed\"") != std::string::npos);
  CHECK(line.find("\"request\":\"open\"") != std::string::npos);
  CHECK(line.find("\"read\":" + std::to_string(request.size())) !=
        std::string::npos);
  CHECK(line.find("\"stopping_ms\":-1") != std::string::npos);
  {
    const RawCaller caller = Connect();
    floor->Signal(0, SIGTERM);
    SleepFor(100);
    CHECK(caller.Send(RequestText("/safe/x", "left-in-stop")));
    SleepFor(100);
  }
  const std::string in_stop = FindEndLine("left-in-stop");
  CHECK(in_stop.find("caller-connection-ended") != std::string::npos);
  CHECK(in_stop.find("\"stopping_ms\":-1") == std::string::npos);
}

TEST(CallerLedger, CallsOpenAtTheForcedStopAreAnswered) {
  options.work_ms = 4500;
  StartFleet(3);
  RawCaller safe = Connect();
  RawCaller unsafe = Connect();
  CHECK(safe.Send(RequestText("/safe/x", "forced-safe")));
  CHECK(unsafe.Send(RequestText("/unsafe/x", "forced-unsafe")));
  SleepFor(150);
  floor->Signal(0, SIGTERM);
  // The outcome is unknown, which a refusal would deny.
  STRNCMP_EQUAL("HTTP/1.1 502", safe.Receive(4000).c_str(), 12);
  STRNCMP_EQUAL("HTTP/1.1 502", unsafe.Receive(1000).c_str(), 12);
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, StreamsUnderWayAtTheForcedStopAreBrokenOffVisibly) {
  options.event_ms = 100;
  options.events = 45;
  StartFleet(3);
  RawCaller caller = Connect();
  CHECK(caller.Send(
      RequestText("/stream/x", "forced-stream", "X-Token-Counts: 100,50\r\n")));
  caller.Receive(2000, "id: 3\n");
  floor->Signal(0, SIGTERM);
  const std::string answer = caller.Receive(4000);
  CHECK(caller.ended());
  CHECK(answer.find("id: 10\n") != std::string::npos);
  // Without the last chunk the response is not complete.
  CHECK(answer.find("\r\n0\r\n\r\n") == std::string::npos);
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, AnswersThatAreStillQueuedAreSentBeforeTheStop) {
  options.plain_padding = 12'000'000;
  StartFleet();
  RawCaller caller(floor->callers_port(0), 8192);
  CHECK(caller.Send(RequestText("/safe/x", "queued")));
  CHECK(caller.Receive(2000, "done").find("done") != std::string::npos);
  floor->Signal(0, SIGTERM);
  // Longer than callers are accepted.
  SleepFor(2700);
  const std::string answer = caller.Receive(5000);
  CHECK(answer.size() > options.plain_padding);
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, AnswersThatAreCutByTheEndOfAStopAreLogged) {
  options.plain_padding = 12'000'000;
  StartFleet(3);
  RawCaller caller(floor->callers_port(0), 8192);
  CHECK(caller.Send(RequestText("/safe/x", "unsent")));
  caller.Receive(2000, "done");
  floor->Signal(0, SIGTERM);
  CHECK_EQUAL(0, floor->WaitForExit(0));
  const std::string line = FindEndLine("unsent");
  CHECK(line.find("\"by\":\"entry-aborted\"") != std::string::npos);
  CHECK(line.find("\"unsent\":") != std::string::npos);
  CHECK(line.find("\"unsent\":0") == std::string::npos);
  CHECK(line.find("\"stopping_ms\":-1") == std::string::npos);
}

// The process is suspended while requests arrive, so that it decides to exit
// before it has read them.
TEST(CallerLedger, RequestsThatArriveAtTheLastMomentAreAnswered) {
  StartFleet();
  RawCaller kept = Connect();
  CHECK(kept.Send(RequestText("/safe/x", "kept-1")));
  kept.Receive(1000, "done for account");
  RawCaller idle = Connect();
  floor->Signal(0, SIGTERM);
  SleepFor(2200);
  floor->Signal(0, SIGSTOP);
  SleepFor(100);
  CHECK(kept.Send(RequestText("/safe/x", "kept-2")));
  RawCaller queued = Connect();
  CHECK(queued.Send(RequestText("/safe/x", "queued")));
  SleepFor(300);
  floor->Signal(0, SIGCONT);
  CHECK_EQUAL(2, CountOf(kept.Receive(1000), "HTTP/1.1 200"));
  CHECK_EQUAL(1, CountOf(queued.Receive(1000), "HTTP/1.1 200"));
  idle.Receive(1000);
  CHECK(idle.ended() && !idle.was_reset());
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, RequestsReadTogetherAreAllAnsweredByAStoppingEntry) {
  options.work_ms = 200;
  StartFleet();
  RawCaller caller = Connect();
  CHECK(caller.Send(RequestText("/safe/x", "first")));
  SleepFor(100);
  floor->Signal(0, SIGTERM);
  SleepFor(30);
  CHECK(caller.Send(RequestText("/safe/x", "second") +
                    RequestText("/safe/x", "third")));
  const std::string answers = caller.Receive(3000);
  CHECK_EQUAL(3, CountOf(answers, "HTTP/1.1 200"));
  CHECK_EQUAL(1, CountOf(answers, "Connection: close"));
  CHECK(caller.ended() && !caller.was_reset());
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, CallersHeldByAStartingEntryAreAnsweredWhenItStops) {
  StartFleet(1);
  floor->Signal(0, SIGKILL);
  floor->WaitForExit(0);
  floor->store().SetOutage(true);
  floor->StartEntry(0);
  SleepFor(300);
  RawCaller caller = Connect();
  CHECK(caller.Send(RequestText("/safe/x", "held")));
  floor->Signal(0, SIGTERM);
  STRNCMP_EQUAL("HTTP/1.1 503", caller.Receive(2000).c_str(), 12);
  CHECK_EQUAL(0, floor->WaitForExit(0));
}

TEST(CallerLedger, ConnectionsThatNeverSendDoNotDelayTheStop) {
  StartFleet();
  RawCaller idle = Connect();
  SleepFor(100);
  floor->Signal(0, SIGTERM);
  const auto began = std::chrono::steady_clock::now();
  CHECK_EQUAL(0, floor->WaitForExit(0));
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(4));
}

TEST(CallerLedger, RequestsReadBehindASlowCallAreAllAnswered) {
  constexpr int kRequests = 15'000;
  options.work_ms = 500;
  StartFleet();
  RawCaller caller = Connect();
  std::string all = RequestText("/safe/x", "slow");
  for (int it = 0; it < kRequests; ++it)
    all += "GET / HTTP/1.1\r\n\r\n";
  // The last answer.
  all += RequestText("/safe/x", "last", "Connection: close\r\n");
  std::thread sender([&caller, &all] { caller.Send(all); });
  caller.Receive(20'000);
  sender.join();
  SleepFor(500);
  int code = 0;
  CHECK_FALSE(floor->HasExited(0, &code));
  CHECK_EQUAL(kRequests, CountOf(caller.Receive(0), "HTTP/1.1 404"));
}
