#include <CppUTest/TestHarness.h>
#include <httplib.h>

#include <chrono>
#include <string>
#include <thread>

#include "bbv_platform/instance_list_client.h"
#include "bbv_platform/log_client.h"

using bbv::Milliseconds;

// A platform whose lists hold entries of another writer.
TEST_GROUP(OddList) {
  httplib::Server server;
  std::thread thread;
  bbv::SocketAddress address;
  std::string body;

  void setup() override {
    server.Get(".*",
               [this](const httplib::Request&, httplib::Response& response) {
                 response.set_content(body, "application/json");
               });
    const int port = server.bind_to_any_port("127.0.0.1");
    address = {"127.0.0.1", static_cast<uint16_t>(port)};
    thread = std::thread([this] { server.listen_after_bind(); });
    while (!server.is_running())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  void teardown() override {
    server.stop();
    thread.join();
  }
  static std::string Deep() {
    return std::string(100'000, '[') + std::string(100'000, ']');
  }
};

TEST(OddList, OneInstanceDoesNotHideTheOthers) {
  bbv::InstanceListClient client(address, Milliseconds(2000));
  for (const std::string& odd :
       {std::string("null"), std::string(R"({"name":"b"})"),
        std::string(R"({"name":7,"state":"leaving"})"),
        std::string(R"({"name":"b","state":7})"),
        std::string(R"({"name":"b","state":"ready","x":1e999})"),
        std::string("{\"name\":\"b\xff\",\"state\":\"ready\"}"), Deep()}) {
    body = R"({"instances":[{"name":"a","state":"leaving"},)" + odd +
           R"(,{"name":"c","state":"leaving"}]})";
    const auto leaving = client.ReadLeavingInstances();
    if (!leaving || leaving->size() != 2)
      FAIL(odd.substr(0, 100).c_str());
    STRCMP_EQUAL("a", leaving->front().c_str());
    STRCMP_EQUAL("c", leaving->back().c_str());
  }
  for (const char* text : {"", "[]", "{", R"({"instances":7})", "{}"}) {
    body = text;
    if (client.ReadLeavingInstances())
      FAIL(text);
  }
}

TEST(OddList, OneRecordDoesNotStopTheLog) {
  bbv::LogClient client(address, Milliseconds(2000));
  for (const std::string& odd :
       {std::string("null"), std::string("7"), std::string("1e999"),
        std::string("{}"), std::string("\"\xff\""), Deep()}) {
    body =
        R"({"first":5,"start":0,"end":8,"records":["a",)" + odd + R"(,"c"]})";
    const auto records = client.Read("s", 5, Milliseconds(1));
    // All records count for the offsets.
    if (!records || records->records.size() != 3)
      FAIL(odd.substr(0, 100).c_str());
    STRCMP_EQUAL("a", records->records.front().c_str());
    STRCMP_EQUAL("c", records->records.back().c_str());
  }
  for (const char* text : {"", "{}", R"({"first":5,"start":0,"end":8})",
                           R"({"first":5,"start":0,"end":8,"records":7})"}) {
    body = text;
    if (client.Read("s", 5, Milliseconds(1)))
      FAIL(text);
  }
}
