#include "bbv_settings/fleet_settings.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

namespace {

std::string ExamplePath() {
  return std::string(BBV_SOURCE_DIR) + "/examples/settings/fleet-entry.toml";
}

bbv::SettingsFaults LoadFaults(const std::string& text) {
  char path[] = "/tmp/bbv-fleet-settings-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << text;
  bbv::SettingsFaults faults;
  bbv::LoadFleetSettings(path, &faults);
  std::remove(path);
  return faults;
}

std::string Example() {
  std::stringstream text;
  text << std::ifstream(ExamplePath()).rdbuf();
  return text.str();
}

}  // namespace

TEST_GROUP(FleetSettings){};

TEST(FleetSettings, ExampleFileHasNoFaults) {
  bbv::SettingsFaults faults;
  const auto settings = bbv::LoadFleetSettings(ExamplePath(), &faults);
  CHECK(faults.empty());
  CHECK_EQUAL(8000, settings.stop_timeout_ms);
  CHECK_EQUAL(10'000, settings.retry_window_ms);
}

TEST(FleetSettings, ReportsAllFaultsInOnePass) {
  const bbv::SettingsFaults faults =
      LoadFaults(Example() + "surprise = 1\n[front2]\n[extra]\nkey = 1\n");
  CHECK(faults.size() >= 3);
  CHECK_EQUAL(1, static_cast<int>(LoadFaults("[node").size()));
  CHECK(LoadFaults("").size() >= 6);
}

TEST(FleetSettings, TemplateKeysMatchExample) {
  // The platform generates each entry's settings from the template. An unknown
  // key in it would prevent every entry from starting.
  std::ifstream file(std::string(BBV_SOURCE_DIR) +
                     "/deploy/entry.toml.template");
  const std::string example = Example();
  int keys = 0;
  for (std::string line; std::getline(file, line);) {
    const std::size_t end = line.find(" = ");
    if (line.starts_with('#') || end == std::string::npos)
      continue;
    ++keys;
    if (example.find("\n" + line.substr(0, end) + " = ") == std::string::npos)
      FAIL(line.c_str());
  }
  CHECK(keys >= 15);
}
