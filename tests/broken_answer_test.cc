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
  int served_ = 0;

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
  // Answers calls of `path` at the targets from `first` on with `bytes`.
  void Answer(const std::string& path, const std::string& bytes, int first) {
    for (int it = first; it < target_count(); ++it)
      floor->targets().proxy(it).SetResponseCut(
          {"POST " + path + " ", {}, false, bytes});
  }
  // The first line of the answer to a call, and the whole of it if `whole` is
  // set.
  std::string Call(const std::string& path, const std::string& id,
                   std::string* whole = nullptr) {
    RawCaller caller(floor->callers_port(0));
    CHECK(caller.Send(RequestText(path, id, "Connection: close\r\n")));
    const std::string& received = caller.Receive(5000);
    if (whole != nullptr)
      *whole = received;
    return received.substr(0, received.find("\r\n"));
  }
  // Calls `route` once for each shape, which all targets answer with. Returns
  // the calls that targets did not run `runs` times or that did not end as
  // unknown.
  std::string CallWithShapes(const std::string& route, int runs,
                             MakeShapes make_shapes) {
    std::string failures;
    for (const AnswerShape& shape : make_shapes("x")) {
      const std::string id = route + "-" + shape.name;
      const std::string path = "/" + route + "/" + shape.name;
      for (const AnswerShape& it : make_shapes(id)) {
        if (it.name == shape.name)
          Answer(path, it.bytes, 0);
      }
      const std::string line = Call(path, id);
      const int seen = floor->targets().ExecutionCounts()[id];
      if (line != "HTTP/1.1 502 Bad Gateway" || seen != runs)
        failures.append(path)
            .append(": ")
            .append(line)
            .append(", runs ")
            .append(std::to_string(seen) + "\n");
    }
    return failures;
  }
  // Makes `n` sequential calls, which must all be answered by a sound target.
  void CallServed(int n) {
    for (int it = 0; it < n; ++it)
      STRCMP_EQUAL(
          "HTTP/1.1 200 OK",
          Call("/safe/x", "served" + std::to_string(++served_)).c_str());
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
  for (const AnswerShape& shape : SoundAnswers("x")) {
    for (const AnswerShape& it : SoundAnswers(shape.name)) {
      if (it.name == shape.name)
        Answer("/unsafe/" + shape.name, it.bytes, 0);
    }
    std::string whole;
    Call("/unsafe/" + shape.name, shape.name, &whole);
    CHECK_TEXT(whole.ends_with("\r\n\r\nok"), (shape.name + whole).c_str());
    CHECK_TEXT(whole.starts_with("HTTP/1.1 2"), shape.name.c_str());
  }
}

}  // namespace bbv
