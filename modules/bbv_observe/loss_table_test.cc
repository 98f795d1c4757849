#include "bbv_observe/loss_table.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

TEST_GROUP(LossTable) {
  bbv::LossTable table{2000};

  void Read(const std::string& log) {
    std::istringstream text(log);
    table.Read(&text);
  }
};

TEST(LossTable, CountsByReasonServiceEntryAndTime) {
  Read(
      "12.5 a {\"time_ms\":1000,\"node\":\"a\",\"name\":\"call-refused\","
      "\"service\":\"s\",\"cause\":\"no-room\",\"short_of\":\"memory\"}\n"
      "{\"time_ms\":3100,\"node\":\"a\",\"name\":\"call-refused\","
      "\"service\":\"s\",\"cause\":\"no-room\",\"short_of\":\"memory\"}\n"
      "{\"time_ms\":3200,\"node\":\"b\",\"name\":\"call-finished\","
      "\"service\":\"s\",\"late\":false,\"pause_path\":\"i=0-8\"}\n"
      "{\"time_ms\":3300,\"node\":\"b\",\"name\":\"caller-left\"}\n"
      "{\"time_ms\":3400,\"node\":\"b\",\"name\":\"call-finished\","
      "\"late\":false,\"pause_path\":\"\",\"sends\":2}\n"
      "{\"time_ms\":3500,\"node\":\"b\",\"name\":\"call-failed\","
      "\"cause\":\"deadline\",\"outcome\":\"unknown\"}\n"
      "{\"time_ms\":3600,\"node\":\"b\",\"name\":\"log-lines-dropped\","
      "\"total\":7}\n"
      "no line of ours {\n");
  CHECK_EQUAL(5, table.total());
  STRCMP_EQUAL(
      "by reason\n"
      "  2  refused: no-room, short of memory\n"
      "  1  failed: deadline, unknown\n"
      "  1  late: pause in a stream\n"
      "  1  left by its caller\n"
      "by service\n"
      "  3  s\n"
      "by entry\n"
      "  3  b\n"
      "  2  a\n"
      "by time, from the first line\n"
      "  +0.0 s  1 refused: no-room, short of memory;\n"
      "  +2.0 s  1 failed: deadline, unknown;  1 late: pause in a stream;"
      "  1 left by its caller;  1 refused: no-room, short of memory;\n"
      "lines left out by entries\n"
      "  7  b\n",
      table.ToText().c_str());
  const auto json = nlohmann::json::parse(table.ToJson());
  CHECK_EQUAL(5, json["total"].get<int>());
  CHECK_EQUAL(2, static_cast<int>(json["spans"].size()));
}

TEST(LossTable, IgnoresFieldsOfUnexpectedTypes) {
  Read(
      "[]\n{}\n{\"name\":7}\n{\"name\":\"call-finished\",\"late\":\"yes\"}\n"
      "{\"name\":\"call-refused\",\"cause\":1,\"time_ms\":\"x\"}\n");
  CHECK_EQUAL(1, table.total());
}
