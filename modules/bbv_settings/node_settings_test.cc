#include "bbv_settings/node_settings.h"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace {

// A temporary settings file that is removed on destruction.
class TemporarySettingsFile {
 public:
  explicit TemporarySettingsFile(const std::string& text) {
    char path[] = "/tmp/bbv-settings-XXXXXX";
    close(mkstemp(path));
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~TemporarySettingsFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

constexpr char kValid[] =
    "[node]\nname = \"e0\"\nrole = \"entry\"\nzone = \"steyr\"\n"
    "[http]\naddress = \"127.0.0.1:8080\"\n"
    "operator_key = \"0123456789abcdef\"\n"
    "[peers]\naddress = \"127.0.0.1:8081\"\nkey = \"0123456789abcdef\"\n"
    "[platform]\nlog = \"127.0.0.1:1\"\ninstances = \"127.0.0.1:2\"\n";

bbv::SettingsFaults LoadFaults(const std::string& text) {
  const TemporarySettingsFile file(text);
  bbv::SettingsFaults faults;
  bbv::LoadNodeSettings(file.path(), &faults);
  return faults;
}

}  // namespace

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, AcceptsAValidFile) {
  CHECK_EQUAL(0, LoadFaults(kValid).size());
}

TEST(NodeSettings, ReportsLineAndKeyOfEachFault) {
  const auto faults = LoadFaults(
      std::string(kValid) + "log_timeout_ms = 1\n[log]\ncolour = \"red\"\n");
  CHECK_EQUAL(2, faults.size());
  STRCMP_EQUAL("platform.log_timeout_ms", faults[0].key.c_str());
  CHECK_EQUAL(14, faults[0].line);
  STRCMP_CONTAINS("10 to 600000", faults[0].message.c_str());
  STRCMP_EQUAL("log.colour", faults[1].key.c_str());
  CHECK_EQUAL(16, faults[1].line);
}

TEST(NodeSettings, ReportsAllMissingKeysAtOnce) {
  const auto faults = LoadFaults("[node]\nrole = \"side\"\n");
  CHECK_TRUE(faults.size() >= 8);
}

TEST(NodeSettings, ReportsASyntaxErrorWithItsLine) {
  const auto faults = LoadFaults("[node]\nname = \n");
  CHECK_EQUAL(1, faults.size());
  CHECK_EQUAL(2, faults[0].line);
}

TEST(NodeSettings, RejectsHostNames) {
  std::string text = kValid;
  text.replace(text.find("127.0.0.1:1\""), 11, "localhost:1");
  const auto faults = LoadFaults(text);
  CHECK_EQUAL(1, faults.size());
  STRCMP_EQUAL("platform.log", faults[0].key.c_str());
}

TEST(NodeSettings, ExampleFilesHaveNoFaults) {
  for (const char* name :
       {"entry.toml", "side-engine.toml", "side-service.toml"}) {
    bbv::SettingsFaults faults;
    bbv::LoadNodeSettings(
        std::string(BBV_SOURCE_DIR) + "/examples/settings/" + name, &faults);
    for (const bbv::SettingsFault& fault : faults)
      UT_PRINT(fault.ToString().c_str());
    CHECK_TRUE(faults.empty());
  }
}
