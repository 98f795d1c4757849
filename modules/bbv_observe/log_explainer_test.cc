#include "bbv_observe/log_explainer.h"

#include <CppUTest/TestHarness.h>

#include <sstream>
#include <string>

TEST_GROUP(LogExplainer){};

TEST(LogExplainer, MergesTheLinesOfAllProcessesByTime) {
  std::istringstream log(
      "12.5 entry-b {\"time_ms\":1300,\"node\":\"b\",\"name\":\"call-failed\","
      "\"id\":\"x\",\"cause\":\"no-room\"}\n"
      "not a line of ours x\n"
      "{\"time_ms\":1100,\"node\":\"a\",\"name\":\"call-send-failed\","
      "\"id\":\"x\",\"evidence\":\"broken\"}\n"
      "{\"time_ms\":1000,\"node\":\"a\",\"name\":\"call-failed\","
      "\"id\":\"other\"}\n"
      "{\"id\":\"x\"");
  bbv::LogExplainer explainer("x");
  explainer.Read(&log);
  CHECK(explainer.found());
  STRCMP_EQUAL(
      "+0 ms a call-send-failed evidence=broken\n"
      "+200 ms b call-failed cause=no-room\n"
      "first cause: call-send-failed evidence=broken\n",
      explainer.ToText().c_str());
}

TEST(LogExplainer, IgnoresLinesOfOtherRequests) {
  std::istringstream log("{\"id\":\"y\"}\n");
  bbv::LogExplainer explainer("x");
  explainer.Read(&log);
  CHECK(!explainer.found());
}
