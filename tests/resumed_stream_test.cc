#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fleet_floor.h"

namespace bbv {
namespace {

using Answer = standins::FleetTargets::ResumedAnswer;

constexpr int kEvents = 40;
constexpr char kType[] = "text/event-stream";

struct Fault {
  const char* name;
  Answer answer;
};

std::vector<Fault> MakeErrors() {
  return {
      {"error", {500, "text/plain", "upstream failed"}},
      {"chunked-error", {500, "text/plain", "upstream failed", false}},
      {"refusal", {404, "text/plain", "no such stream"}},
      {"error-like-events", {500, kType, "id: 21\ndata: failed\n\n"}},
      {"refusal-like-events", {400, kType, "id: 21\ndata: failed\n\n", false}},
      {"unsigned",
       {200, kType, "id: 21\ndata: failed\n\n", true, false, false}},
      {"redirect", {302, "text/html", "<html>\n\n</html>\n\n"}},
  };
}

std::vector<Fault> MakeRepeats() {
  return {
      {"from-the-start", {200, kType, "id: 1\ndata: t1\n\n", false}},
      {"from-zero", {200, kType, "id: 0\ndata: t0\n\n", false}},
      {"repeat", {200, kType, "id: 20\ndata: t20\n\n", false}},
      {"repeat-in-a-chunk",
       {200, kType, "id: 21\ndata: t21\n\nid: 21\ndata: failed\n\n", false}},
  };
}

std::vector<Fault> MakeEmptyStreams() {
  return {
      {"nothing", {200, kType, ""}},
      {"nothing-chunked", {200, kType, "", false}},
      {"part-of-an-event", {200, kType, "id: 21\ndata: failed\n", false}},
      {"comment", {200, kType, ": failed\n\n", false}},
      {"retry-time", {200, kType, "retry: 1000\n\n"}},
  };
}

std::vector<Fault> MakeEventsWithoutIds() {
  return {
      {"no-id", {200, kType, "event: error\ndata: failed\n\n", false}},
      {"word-id", {200, kType, "id: x\ndata: failed\n\n", false}},
      {"half-id", {200, kType, "id: 21x\ndata: failed\n\n", false}},
      {"huge-id",
       {200, kType, "id: 99999999999999999999\ndata: failed\n\n", false}},
      {"negative-id", {200, kType, "id: -1\ndata: failed\n\n", false}},
      {"no-id-first",
       {200, kType, "data: failed\n\nid: 21\ndata: t21\n\n", false}},
  };
}

std::vector<Fault> MakePages() {
  return {
      {"page", {200, "text/html", "<html>\n\nfailed</html>\n\n"}},
      {"page-with-ids", {200, "text/html", "id: 21\ndata: failed\n\n"}},
      {"json", {200, "application/json", "{\"error\":1}\n\n", false}},
      {"untyped", {200, "", "id: 21\ndata: failed\n\n", false}},
  };
}

// The events of a stream after `last`, up to `end`.
std::string MakeStreamText(int end, int last = 0) {
  std::string text;
  for (int it = last + 1; it <= end; ++it) {
    const std::string number = std::to_string(it);
    text.append("id: ").append(number).append("\ndata: t");
    text.append(number).append("\n\n");
  }
  return text;
}

std::string PathOf(const Fault& fault) {
  return std::string("/stream/") + fault.name;
}

}  // namespace

TEST_GROUP(ResumedStream) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void setup() override {
    options.events = kEvents;
    options.cut_event = "id: 21\nda";
  }
  void teardown() override {
    floor.reset();
  }
  void StartFleet(const std::vector<Fault>& faults) {
    for (const Fault& it : faults)
      options.resumed_answers[PathOf(it)] = it.answer;
    floor.reset();
    floor = std::make_unique<FleetFloor>(1, options);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
  }
  // Streams once for each fault. Returns the names of those after which the
  // caller does not have exactly the first `events` events, or the stream has
  // another end than `whole` says, with what came from the last event on.
  std::string Stream(const std::vector<Fault>& faults, int events, bool whole) {
    StartFleet(faults);
    std::string failures;
    for (const Fault& it : faults) {
      const StreamAnswer answer = floor->Stream(0, it.name, {}, PathOf(it));
      if (answer.text == MakeStreamText(events) && answer.whole == whole)
        continue;
      const std::size_t end = answer.text.rfind("id: 20\n");
      failures += std::string(it.name) + (answer.whole ? " (whole): " : ": ") +
                  answer.text.substr(std::min(end, answer.text.size())) + "\n";
    }
    return failures;
  }
  // Checks that nothing of a fault in place of the continuation reaches the
  // caller: the stream breaks off visibly, or goes on at another target.
  void CheckHidden(const std::vector<Fault>& faults) {
    STRCMP_EQUAL("", Stream(faults, kEvents / 2, false).c_str());
    options.max_attempts = 3;
    STRCMP_EQUAL("", Stream(faults, kEvents, true).c_str());
  }
};

TEST(ResumedStream, ErrorsDoNotReachTheCaller) {
  CheckHidden(MakeErrors());
}

TEST(ResumedStream, RepeatedEventsDoNotReachTheCaller) {
  CheckHidden(MakeRepeats());
}

TEST(ResumedStream, RepeatedEventsDoNotReachACallerThatResumes) {
  const std::vector<Fault> faults = MakeRepeats();
  StartFleet(faults);
  for (const Fault& it : faults) {
    httplib::Headers headers = MakeCallHeaders(it.name, 5000);
    headers.emplace("Last-Event-Id", "20");
    httplib::Client client("127.0.0.1", floor->callers_port(0));
    const auto answer = client.Get(PathOf(it), headers);
    CHECK_TEXT(answer, it.name);
    STRCMP_EQUAL_TEXT(MakeStreamText(kEvents, 20).c_str(), answer->body.c_str(),
                      it.name);
    CHECK_EQUAL(2, floor->targets().ExecutionCounts()[it.name]);
  }
}

TEST(ResumedStream, AnEmptyContinuationDoesNotEndTheStream) {
  CheckHidden(MakeEmptyStreams());
}

TEST(ResumedStream, EventsWithoutIdsDoNotContinueTheStream) {
  CheckHidden(MakeEventsWithoutIds());
}

TEST(ResumedStream, AStreamThatBreaksOffAfterDataWithoutAnIdIsNotResumed) {
  options.max_attempts = 3;
  const std::string without_id = "data: t22\n\n";
  const std::string text = "id: 21\ndata: t21\n\n" + without_id;
  StartFleet({{"cut", {200, kType, text + "id: 2", false}}});
  const StreamAnswer answer = floor->Stream(0, "cut", {}, "/stream/cut");
  STRCMP_EQUAL((MakeStreamText(21) + without_id).c_str(), answer.text.c_str());
  CHECK(!answer.whole);
  CHECK_EQUAL(2, floor->targets().ExecutionCounts()["cut"]);
}

TEST(ResumedStream, AnErrorThatDoesNotEndDoesNotHoldTheStreamUp) {
  const std::vector<Fault> faults = {
      {"open", {500, "text/plain", "upstream failed", false, true}},
      {"open-page", {200, "text/html", "<html>", false, true}},
  };
  options.max_attempts = 3;
  STRCMP_EQUAL("", Stream(faults, kEvents, true).c_str());
}

TEST(ResumedStream, AResponseOfAnotherTypeDoesNotContinueTheStream) {
  CheckHidden(MakePages());
}

}  // namespace bbv
