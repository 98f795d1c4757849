#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "bbv_platform/http_connection.h"
#include "bbv_platform/log_client.h"
#include "bbv_platform/service_client.h"
#include "broken_answers.h"
#include "raw_server.h"
#include "real_floor.h"

namespace bbv {
namespace {

constexpr Milliseconds kTimeout{2000};
constexpr char kId[] = "9c41d07be2a35f68";

wire::ServiceCallT MakeCall(const std::string& method = "POST") {
  wire::ServiceCallT call;
  call.method = method;
  call.path = "/x";
  return call;
}

// Whether a failed request may have been run.
template <typename T>
bool IsUnknown(const Result<T>& result) {
  return !result.has_value() && !result.error().not_performed;
}

// Returns the shapes that a reader of a side takes for an answer, or for proof
// that its request was not run.
std::string FindTaken(MakeShapes make_shapes) {
  std::string taken;
  for (const AnswerShape& it : make_shapes(kId)) {
    const RawServer service(it.bytes, false);
    if (!IsUnknown(CallService(service.address(), kTimeout, MakeCall())))
      taken += "call " + it.name + "\n";
    const RawServer log(it.bytes, false);
    if (!IsUnknown(LogClient(log.address(), kTimeout).Append("s", "{}")))
      taken += "append " + it.name + "\n";
    const RawServer kept(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", it.bytes}, false);
    HttpConnection connection(kept.address(), Operation::kEngineStep, kTimeout);
    if (!connection.Get("/").has_value() || !IsUnknown(connection.Get("/")))
      taken += "kept connection " + it.name + "\n";
  }
  return taken;
}

// The values of the fields named `name`.
std::vector<std::string> Values(const wire::ServiceAnswerT& answer,
                                const std::string& name) {
  std::vector<std::string> values;
  for (const wire::HeaderT& it : answer.headers) {
    if (it.name == name)
      values.push_back(it.value);
  }
  return values;
}

}  // namespace

// Answers that break the protocol, at the readers of the own mode's nodes.
TEST_GROUP(SideBrokenAnswer){};

TEST(SideBrokenAnswer, AStatusThatIsNoFinalOneIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadStatuses).c_str());
}

TEST(SideBrokenAnswer, ABodyInAnUnknownCodingIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadCodings).c_str());
}

TEST(SideBrokenAnswer, AFieldNameWithABlankOrAControlByteIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadNames).c_str());
}

TEST(SideBrokenAnswer, ABodyWhoseEndIsUnclearIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadLengths).c_str());
}

TEST(SideBrokenAnswer, ABrokenHeadIsNoAnswer) {
  STRCMP_EQUAL("", FindTaken(BadLines).c_str());
}

TEST(SideBrokenAnswer, UnusualSoundAnswersAreTaken) {
  for (const AnswerShape& it : SoundAnswers(kId)) {
    // A side takes no final answer after an interim one other than 100.
    if (it.name == "interim-before")
      continue;
    const RawServer server(it.bytes, false);
    const auto answer = CallService(server.address(), kTimeout, MakeCall());
    CHECK_TEXT(answer.has_value(), it.name.c_str());
    const std::string body(answer->body.begin(), answer->body.end());
    STRCMP_EQUAL_TEXT("ok", body.c_str(), it.name.c_str());
  }
}

TEST(SideBrokenAnswer, AFieldIsHandedOnAsItCame) {
  const RawServer server(
      "HTTP/1.1 200 OK\r\nX-A: 1%2541%0d%0aX-B: 2\r\nX-C: b\xe9\r\nX-D:\r\n"
      "X-E: 1\r\nX-E: 2\r\nX-F: 1\r\nConnection: X-F\r\n"
      "Content-Length: 0\r\n\r\n",
      false);
  const auto answer = CallService(server.address(), kTimeout, MakeCall());
  CHECK(answer.has_value());
  CHECK(Values(*answer, "X-A") ==
        std::vector<std::string>{"1%2541%0d%0aX-B: 2"});
  CHECK(Values(*answer, "X-C") == std::vector<std::string>{"b\xe9"});
  CHECK(Values(*answer, "X-D") == std::vector<std::string>{""});
  CHECK((Values(*answer, "X-E") == std::vector<std::string>{"1", "2"}));
  CHECK(Values(*answer, "X-F").empty());
}

TEST(SideBrokenAnswer, TheAnswerToAHeadRequestHasNoBody) {
  const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false);
  const auto answer = CallService(server.address(), kTimeout, MakeCall("HEAD"));
  CHECK(answer.has_value() && answer->body.empty());
}

// The same through real processes: a caller, an entry, a side and its service.
TEST_GROUP(SideBrokenAnswerFloor){
    // Calls `entry` until `service` has answered once more. Returns what the
    // caller got for an answer of the service; empty for nothing.
    static std::string CallUntilAnswered(RealFloor * floor,
                                         const RawResponder& service){
        const auto end = std::chrono::steady_clock::now() +
                         std::chrono::seconds(20);
const int answered_before = service.answered();
while (service.answered() == answered_before) {
  // The service takes no calls for a while after faults.
  CHECK(std::chrono::steady_clock::now() < end);
  const auto answer = floor->Call(0, 0, "POST", "/bookings", "x");
  if (!answer)
    return "no answer";
  if (answer->get_header_value("Bluebellvalve-Outcome") == "ran")
    return std::to_string(answer->status) + " " + answer->body;
  std::this_thread::sleep_for(Milliseconds(20));
}
return {};
}  // namespace bbv
}
;

TEST(SideBrokenAnswerFloor, BrokenAnswersOfAServiceReachNoCaller) {
  RealFloor floor({.entries = 1, .stages = 1, .replicas = 1, .services = 1});
  CHECK(floor.started());
  floor.Signal("service-s0", SIGKILL);
  RawResponder service(floor.PortOf("service-s0"));
  std::string taken;
  for (const MakeShapes make_shapes :
       {BadStatuses, BadCodings, BadNames, BadLengths, BadLines}) {
    const AnswerShapes shapes = make_shapes(kId);
    for (const AnswerShape& it : {shapes.front(), shapes.back()}) {
      service.SetResponse(it.bytes);
      const std::string answer = CallUntilAnswered(&floor, service);
      if (!answer.empty())
        taken += it.name + ": " + answer + "\n";
    }
  }
  STRCMP_EQUAL("", taken.c_str());
  service.SetResponse(SoundAnswers(kId).front().bytes);
  STRCMP_EQUAL("200 ok", CallUntilAnswered(&floor, service).c_str());
}

}  // namespace bbv
