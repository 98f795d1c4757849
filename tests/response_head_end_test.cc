#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "bbv_platform/http_connection.h"
#include "bbv_platform/log_client.h"
#include "bbv_platform/service_client.h"
#include "entry_readers.h"
#include "fleet_floor.h"
#include "raw_caller.h"
#include "raw_server.h"

namespace bbv {
namespace {

constexpr Milliseconds kTimeout{2000};
constexpr char kId[] = "9c41d07be2a35f68";
constexpr char kInterim[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kEarlyHints[] =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Response-Signature: s\r\n\r\n";

std::string MakeHead() {
  return std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: ") + kId +
         "\r\nX-Response-Signature: 3e1b.07\r\nContent-Type: text/plain\r\n"
         "Content-Length: 15\r\n\r\n";
}

std::string MakeWholeResponse(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
         "\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok";
}

// Lengths at which a head ends early: after the status line, after a field,
// inside the value of Content-Length and before the empty line.
std::vector<std::size_t> TypicalCuts() {
  const std::string head = MakeHead();
  return {0,
          head.find("\r\n") + 2,
          head.find("Content-Type"),
          head.find("15\r\n") + 1,
          head.size() - 2,
          head.size() - 1};
}

std::vector<std::size_t> AllCuts() {
  std::vector<std::size_t> cuts;
  for (std::size_t it = 0; it < MakeHead().size(); ++it)
    cuts.push_back(it);
  return cuts;
}

// How the response of a target of a fleet ends inside its head.
struct Ending {
  const char* name;
  // The text after which it ends.
  std::string response_text;
  bool reset = false;
};

std::vector<Ending> MakeEndings() {
  return {{"before-head", ""},
          {"after-status", "HTTP/1.1 200 OK\r\n"},
          {"inside-type", "Content-Type: te"},
          {"before-signature", "X-Attempt-Id: "},
          {"before-blank", "\r\n\r"},
          {"reset-after-status", "HTTP/1.1 200 OK\r\n", true},
          {"reset-before-blank", "\r\n\r", true}};
}

// What comes before the head that ends early.
struct Prefix {
  const char* name;
  // Complete response to an earlier request on the connection; empty if the
  // connection is new.
  std::string earlier;
  std::string before_head;
};

std::vector<Prefix> MakePrefixes() {
  const std::string earlier = MakeWholeResponse("earlier");
  return {{"new", "", ""},
          {"kept", earlier, ""},
          {"new, interim", "", kInterim},
          {"kept, interim", earlier, kInterim},
          {"new, hints", "", kEarlyHints},
          {"new, two interim", "", std::string(kInterim) + kEarlyHints},
          {"kept, stale", earlier, earlier},
          {"kept, stale and interim", earlier, earlier + kInterim}};
}

std::vector<std::string> MakeResponses(const Prefix& prefix, std::size_t cut) {
  std::vector<std::string> responses;
  if (!prefix.earlier.empty())
    responses.push_back(prefix.earlier);
  responses.push_back(prefix.before_head + MakeHead().substr(0, cut));
  return responses;
}

// Returns the cases in which an entry sees anything but a broken exchange.
std::string FindEntryFailures(const std::vector<std::size_t>& cuts,
                              bool reset) {
  std::string failures;
  for (const Prefix& prefix : MakePrefixes()) {
    for (const std::size_t cut : cuts) {
      const RawServer server(MakeResponses(prefix, cut), reset);
      ClientLoop entry;
      if (!prefix.earlier.empty())
        ReadAsCall(&entry, server.address(), "earlier");
      const std::string output = ReadAsCall(&entry, server.address(), kId);
      if (output != "broken")
        failures += std::string(prefix.name) + " " + std::to_string(cut) +
                    ": " + output + "\n";
    }
  }
  return failures;
}

// Whether a failed request may have been run.
template <typename T>
bool IsUnknown(const Result<T>& result) {
  return !result.has_value() && !result.error().not_performed;
}

// Returns the cases in which a side gets a response, or proof that the request
// was not run.
std::string FindSideFailures(const std::vector<std::size_t>& cuts, bool reset) {
  std::string failures;
  for (const Prefix& prefix : MakePrefixes()) {
    // A side does not skip responses to earlier requests.
    if (prefix.before_head.starts_with("HTTP/1.1 200"))
      continue;
    for (const std::size_t cut : cuts) {
      const RawServer server(MakeResponses(prefix, cut), reset);
      HttpConnection connection(server.address(), Operation::kServiceCall,
                                kTimeout);
      if (!prefix.earlier.empty() && !connection.Get("/").has_value())
        failures += "earlier request failed\n";
      const auto response = connection.Get("/");
      if (!IsUnknown(response))
        failures += std::string(prefix.name) + " " + std::to_string(cut) +
                    (response ? ": answered\n" : ": not performed\n");
    }
  }
  return failures;
}

}  // namespace

TEST_GROUP(ResponseHeadEnd){};

TEST(ResponseHeadEnd, AnEntryGetsNothingOfAResponseThatEndsInsideItsHead) {
  STRCMP_EQUAL("", FindEntryFailures(AllCuts(), false).c_str());
}

TEST(ResponseHeadEnd, AnEntryGetsNothingOfAResponseThatIsResetInsideItsHead) {
  STRCMP_EQUAL("", FindEntryFailures(TypicalCuts(), true).c_str());
}

TEST(ResponseHeadEnd, ASideGetsNothingOfAResponseThatEndsInsideItsHead) {
  STRCMP_EQUAL("", FindSideFailures(AllCuts(), false).c_str());
}

TEST(ResponseHeadEnd, ASideGetsNothingOfAResponseThatIsResetInsideItsHead) {
  STRCMP_EQUAL("", FindSideFailures(TypicalCuts(), true).c_str());
}

TEST(ResponseHeadEnd, AServiceCallOfASideMayHaveRun) {
  for (const std::size_t cut : TypicalCuts()) {
    const RawServer server(MakeHead().substr(0, cut), false);
    wire::ServiceCallT call;
    call.method = "POST";
    call.path = "/x";
    CHECK(IsUnknown(CallService(server.address(), kTimeout, call)));
  }
}

TEST(ResponseHeadEnd, AnInterimResponseIsNoAnswerToAServiceCallOfASide) {
  const std::string response = kEarlyHints + MakeWholeResponse(kId);
  // The connection ends after the second request, which is never sent.
  const std::vector<std::vector<std::string>> endings = {
      {response}, {response, ""}, {kEarlyHints, ""}};
  for (const auto& responses : endings) {
    for (const char* method : {"GET", "HEAD", "POST"}) {
      const RawServer server(responses, false);
      wire::ServiceCallT call;
      call.method = method;
      call.path = "/x";
      const Instant started = EventLoop::Now();
      CHECK(IsUnknown(CallService(server.address(), kTimeout, call)));
      CHECK(EventLoop::Now() < started + kTimeout / 2);
    }
  }
}

TEST(ResponseHeadEnd, AnAppendOfASideMayHaveTakenEffect) {
  for (const std::size_t cut : TypicalCuts()) {
    const RawServer server(MakeHead().substr(0, cut), false);
    CHECK(IsUnknown(LogClient(server.address(), kTimeout).Append("s", "{}")));
  }
}

TEST(ResponseHeadEnd, AnOrderIsNotAnswered) {
  for (const std::size_t cut : TypicalCuts()) {
    const RawServer server(MakeHead().substr(0, cut), false);
    CHECK(!ReadAsOrder(server.address()).status);
  }
}

TEST(ResponseHeadEnd, AReportIsNotAnswered) {
  for (const std::size_t cut : TypicalCuts()) {
    const RawServer server(MakeHead().substr(0, cut), false);
    const ReportAnswer report = ReadAsReport(server.address());
    CHECK(!report.answered && !report.report);
  }
}

TEST(ResponseHeadEnd, AStoreCallIsNotAnswered) {
  for (const std::size_t cut : TypicalCuts()) {
    const RawServer server(MakeHead().substr(0, cut), false);
    CHECK(!IsStoreCallAnswered(server.address()));
  }
}

TEST_GROUP(ResponseHeadEndFleet) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void StartFleet() {
    options.proxied = true;
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  void teardown() override {
    floor.reset();
  }
  int target_count() const {
    return options.engines + options.services;
  }
  // Ends the responses to all requests whose head has `request_text`, at the
  // targets from `first` to `last`, excluding `last`.
  void CutResponses(const std::string& request_text, const Ending& ending,
                    int first, int last) {
    for (int it = first; it < last; ++it)
      floor->targets().proxy(it).SetResponseCut(
          {request_text, ending.response_text, ending.reset});
  }
  int Runs(const std::string& id) {
    return floor->targets().ExecutionCounts()[id];
  }
  // Calls `route` once for each ending. Returns the calls that targets did not
  // run `runs` times or that did not end as unknown.
  std::string CallWithEndings(const std::string& route, int runs) {
    std::string failures;
    for (const Ending& it : MakeEndings()) {
      const std::string path = "/" + route + "/" + it.name;
      CutResponses(path, it, 0, target_count());
      const auto answer = floor->Call(0, path, it.name);
      const int status = answer ? answer->status : 0;
      if ((status != 502 && status != 504) || Runs(it.name) != runs)
        failures += path + ": status " + std::to_string(status) + ", runs " +
                    std::to_string(Runs(it.name)) + "\n";
    }
    return failures;
  }
};

TEST(ResponseHeadEndFleet, ASafeCallIsSentElsewhereAndNotAnsweredWithACutHead) {
  StartFleet();
  STRCMP_EQUAL("", CallWithEndings("safe", options.max_attempts).c_str());
}

TEST(ResponseHeadEndFleet, AnUnsafeCallRunsOnceAndItsOutcomeIsUnknown) {
  StartFleet();
  STRCMP_EQUAL("", CallWithEndings("unsafe", 1).c_str());
}

TEST(ResponseHeadEndFleet, AStreamThatMayNotBeResumedRunsOnce) {
  StartFleet();
  STRCMP_EQUAL("", CallWithEndings("feed", 1).c_str());
}

TEST(ResponseHeadEndFleet, AStreamIsSentElsewhereAndNotAnsweredWithACutHead) {
  StartFleet();
  STRCMP_EQUAL("", CallWithEndings("stream", options.max_attempts).c_str());
}

TEST(ResponseHeadEndFleet, AnotherTargetAnswersASafeCall) {
  StartFleet();
  int runs = 0;
  int calls = 0;
  for (const Ending& it : MakeEndings()) {
    // One of the targets is asked first.
    for (int target = options.engines; target < target_count(); ++target) {
      const std::string id = it.name + std::to_string(target);
      CutResponses("/safe/" + id, it, target, target + 1);
      const auto answer = floor->Call(0, "/safe/" + id, id);
      CHECK_TEXT(answer && answer->status == 200, id.c_str());
      STRCMP_EQUAL_TEXT("done for account", answer->body.c_str(), id.c_str());
      runs += Runs(id);
      ++calls;
    }
  }
  CHECK(runs > calls);
}

TEST(ResponseHeadEndFleet, AResumedStreamBreaksOffVisibly) {
  options.cut_event = "id: 21\nda";
  StartFleet();
  for (const Ending& it : MakeEndings()) {
    CutResponses("Last-Event-Id: 20\r\n", it, 0, target_count());
    const std::string path = std::string("/stream/") + it.name;
    const StreamAnswer answer = floor->Stream(0, it.name, {}, path);
    CHECK_TEXT(!answer.whole, it.name);
    CHECK_EQUAL_TEXT(20, answer.events.size(), it.name);
    CHECK_EQUAL_TEXT(options.max_attempts, Runs(it.name), it.name);
  }
}

TEST(ResponseHeadEndFleet, AResumedStreamOfAnHttp10CallerBreaksOffVisibly) {
  options.cut_event = "id: 21\nda";
  StartFleet();
  CutResponses("Last-Event-Id: 20\r\n", MakeEndings().front(), 0,
               target_count());
  std::string request = RequestText("/stream/x", "old");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  RawCaller caller(floor->callers_port(0));
  CHECK(caller.Send(request));
  const std::string& received = caller.Receive(5000);
  CHECK_EQUAL(0, CountOf(received, "Transfer-Encoding"));
  CHECK_EQUAL(20, CountOf(received, "id: "));
  CHECK(caller.ended() && caller.was_reset());
}

}  // namespace bbv
