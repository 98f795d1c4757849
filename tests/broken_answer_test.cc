#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>

#include "broken_answers.h"
#include "entry_readers.h"
#include "fleet_floor.h"
#include "raw_caller.h"
#include "raw_server.h"

namespace bbv {
namespace {

// The budget of retries is none of these tests' subjects.
constexpr char kManyRetries[] = "share = 1.0\nextra = 1000\n";
constexpr char kId[] = "9c41d07be2a35f68";

// What reaches a call from a target that answers with `bytes`.
std::string ReadFrom(const std::string& bytes) {
  const RawServer server(bytes, false);
  ClientLoop entry;
  return ReadAsCall(&entry, server.address(), kId);
}

std::string FirstLine(const std::string& text) {
  return text.substr(0, text.find("\r\n"));
}

// `bytes` of an answer to a call, without the id that only those carry.
std::string WithoutId(std::string bytes) {
  const std::string line = std::string("X-Attempt-Id: ") + kId + "\r\n";
  return bytes.erase(bytes.find(line), line.size());
}

// Returns the shapes that a reader of an entry takes for an answer.
std::string FindTaken(MakeShapes make_shapes) {
  std::string taken;
  for (const AnswerShape& it : make_shapes(kId)) {
    const std::string output = ReadFrom(it.bytes);
    // The body of an answer may begin before the fault in it.
    if (output.ends_with("whole"))
      taken += "call " + it.name + ": " + output + "\n";
    const std::string bytes = WithoutId(it.bytes);
    if (ReadAsOrder(RawServer(bytes, false).address()).status)
      taken += "order " + it.name + "\n";
    if (ReadAsReport(RawServer(bytes, false).address()).answered)
      taken += "report " + it.name + "\n";
    if (IsStoreCallAnswered(RawServer(bytes, false).address()))
      taken += "store " + it.name + "\n";
  }
  return taken;
}

}  // namespace

// Answers that break the protocol, at every reader of an entry.
TEST_GROUP(BrokenAnswer){};

TEST(BrokenAnswer, AStatusThatIsNoFinalOneIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadStatuses).c_str());
}

TEST(BrokenAnswer, ABodyInAnUnknownCodingIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadCodings).c_str());
}

TEST(BrokenAnswer, AFieldNameWithABlankOrAControlByteIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadNames).c_str());
}

TEST(BrokenAnswer, ABodyWhoseEndIsUnclearIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadLengths).c_str());
}

TEST(BrokenAnswer, ABrokenHeadIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadLines).c_str());
}

TEST(BrokenAnswer, UnusualSoundAnswersAreTaken) {
  for (const AnswerShape& it : SoundAnswers(kId))
    STRCMP_EQUAL_TEXT("head ok whole", ReadFrom(it.bytes).c_str(),
                      it.name.c_str());
}

// The same answers from targets of a fleet, as callers see them.
TEST_GROUP(BrokenAnswerFleet) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;
  // Calls made by CallServed() so far.
  int served = 0;

  void setup() override {
    options.proxied = true;
    options.services = 3;
    floor = std::make_unique<FleetFloor>(1, options, 8, kManyRetries);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }
  int target_count() const {
    return options.engines + options.services;
  }
  // Lets all targets answer calls of `path` with `bytes`.
  void SetAnswer(const std::string& path, const std::string& bytes) {
    for (int it = 0; it < target_count(); ++it)
      floor->targets().proxy(it).SetResponseCut(
          {"POST " + path + " ", {}, false, bytes});
  }
  // What a caller receives.
  std::string Call(const std::string& path, const std::string& id) {
    RawCaller caller(floor->callers_port(0));
    CHECK(caller.Send(RequestText(path, id, "Connection: close\r\n")));
    return caller.Receive(5000);
  }
  // Calls `route` once for each shape, which all targets answer with. Returns
  // the calls that targets did not run `runs` times or that did not end as
  // unknown.
  std::string CallWithShapes(const std::string& route, int runs,
                             MakeShapes make_shapes) {
    std::string failures;
    const std::size_t count = make_shapes({}).size();
    for (std::size_t it = 0; it < count; ++it) {
      // Each call has an id of its own, which its answer echoes.
      const std::string id = route + std::to_string(it);
      const AnswerShape shape = make_shapes(id)[it];
      const std::string path = "/" + route + "/" + shape.name;
      SetAnswer(path, shape.bytes);
      const std::string line = FirstLine(Call(path, id));
      const int seen = floor->targets().ExecutionCounts()[id];
      if (line == "HTTP/1.1 502 Bad Gateway" && seen == runs)
        continue;
      failures.append(path).append(": ").append(line).append(", runs ");
      failures.append(std::to_string(seen)).append("\n");
    }
    return failures;
  }
  // Makes `n` sequential calls, which must all be answered by a sound target.
  void CallServed(int n) {
    for (int it = 0; it < n; ++it)
      STRCMP_EQUAL(
          "HTTP/1.1 200 OK",
          FirstLine(Call("/safe/x", "served" + std::to_string(++served)))
              .c_str());
  }
  // Whether the entry logs `text`, which it writes a moment later.
  bool IsLogged(const std::string& text) {
    const auto end = EventLoop::Now() + kReaderTimeout;
    while (CountOf(floor->Output(0), text) == 0) {
      if (EventLoop::Now() > end)
        return false;
      std::this_thread::sleep_for(Milliseconds(10));
    }
    return true;
  }
  // The plain target that has received the most calls.
  int BusiestService() {
    int busiest = options.engines;
    for (int it = busiest; it < target_count(); ++it) {
      if (floor->targets().CallCount(it) > floor->targets().CallCount(busiest))
        busiest = it;
    }
    return busiest;
  }
  // Lets the plain target that is preferred answer all calls with `bytes`.
  // Returns it once it has done so.
  int BreakPreferredService(const std::string& bytes) {
    constexpr int kRounds = 20;
    constexpr int kCallsPerRound = 10;
    for (int round = 0; round < kRounds; ++round) {
      CallServed(kCallsPerRound);
      const int broken = BusiestService();
      const int calls_before = floor->targets().CallCount(broken);
      floor->targets().proxy(broken).SetResponseCut(
          {"POST /safe/", {}, false, bytes});
      CallServed(kCallsPerRound);
      if (floor->targets().CallCount(broken) > calls_before)
        return broken;
      floor->targets().proxy(broken).SetResponseCut({});
    }
    FAIL("the preferred target got no call");
    return 0;
  }
  // Lets a plain target answer all calls with `bytes`, and checks that others
  // answer in its place, that it then gets fewer calls than they do, and that
  // the log says what was `fault`.
  void CheckIsLeftOut(const std::string& bytes, const std::string& fault) {
    constexpr int kCalls = 60;
    const int broken = BreakPreferredService(bytes);
    const int calls_before = floor->targets().CallCount(broken);
    CallServed(kCalls);
    const int calls = floor->targets().CallCount(broken) - calls_before;
    CHECK_TEXT(calls < kCalls / options.services,
               std::to_string(calls).c_str());
    CHECK(IsLogged("bad answer: " + fault));
  }
  std::string CallRoutes(MakeShapes make_shapes) {
    return CallWithShapes("safe", options.max_attempts, make_shapes) +
           CallWithShapes("unsafe", 1, make_shapes) +
           CallWithShapes("stream", options.max_attempts, make_shapes) +
           CallWithShapes("feed", 1, make_shapes);
  }
};

TEST(BrokenAnswerFleet, StatusesThatAreNoFinalOnesReachCallers) {
  STRCMP_EQUAL("", CallRoutes(BadStatuses).c_str());
}

TEST(BrokenAnswerFleet, ATargetWithABadStatusIsLeftOut) {
  CheckIsLeftOut(WithoutId(BadStatuses(kId).front().bytes), "status");
}

TEST(BrokenAnswerFleet, ABrokenAnswerToAnOwnQuestionIsLogged) {
  const std::string bytes = WithoutId(BadStatuses(kId).front().bytes);
  for (int it = 0; it < options.engines; ++it)
    floor->targets().proxy(it).SetResponseCut({"GET /", {}, false, bytes});
  CHECK(IsLogged("answer-malformed"));
}

TEST(BrokenAnswerFleet, BodiesInUnknownCodingsReachCallers) {
  STRCMP_EQUAL("", CallRoutes(BadCodings).c_str());
}

TEST(BrokenAnswerFleet, ATargetWithAnUnknownCodingIsLeftOut) {
  CheckIsLeftOut(WithoutId(BadCodings(kId).front().bytes), "coding");
}

TEST(BrokenAnswerFleet, BrokenFieldNamesReachNoCaller) {
  STRCMP_EQUAL("", CallRoutes(BadNames).c_str());
}

TEST(BrokenAnswerFleet, BodiesWhoseEndIsUnclearReachNoCaller) {
  STRCMP_EQUAL("", CallRoutes(BadLengths).c_str());
}

TEST(BrokenAnswerFleet, BrokenHeadsReachNoCaller) {
  STRCMP_EQUAL("", CallRoutes(BadLines).c_str());
}

TEST(BrokenAnswerFleet, UnusualSoundAnswersReachCallers) {
  const std::size_t count = SoundAnswers({}).size();
  for (std::size_t it = 0; it < count; ++it) {
    const std::string id = "sound" + std::to_string(it);
    const AnswerShape shape = SoundAnswers(id)[it];
    const std::string path = "/unsafe/" + shape.name;
    SetAnswer(path, shape.bytes);
    const std::string received = Call(path, id);
    CHECK_TEXT(received.starts_with("HTTP/1.1 2"), shape.name.c_str());
    CHECK_TEXT(received.ends_with("\r\n\r\nok"), shape.name.c_str());
  }
}

TEST(BrokenAnswerFleet, AnErrorWithAnUnusualStatusReachesItsCaller) {
  SetAnswer("/unsafe/x",
            "HTTP/1.1 599 Odd\r\nX-Attempt-Id: odd\r\n"
            "Content-Length: 2\r\n\r\nok");
  const std::string received = Call("/unsafe/x", "odd");
  STRCMP_EQUAL("HTTP/1.1 599 Odd", FirstLine(received).c_str());
  CHECK(received.ends_with("\r\n\r\nok"));
}

}  // namespace bbv
