#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "free_port.h"

namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr int kPolls = 500;

// Path of a program that was built beside the tests.
std::string ProgramPath(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name)
      .string();
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TomlAddress() {
  return "\"127.0.0.1:" + std::to_string(bbv::FreePort()) + "\"\n";
}

std::string MakeSettings() {
  return "[node]\nrole = \"fleet-entry\"\nname = \"entry\"\n"
         "zone = \"zone-a\"\n[front]\ncallers = " +
         TomlAddress() + "readiness = " + TomlAddress() +
         "peers = " + TomlAddress() + "metrics = " + TomlAddress() +
         "[store]\naddress = " + TomlAddress() +
         "[retries]\nshare = 0.2\nextra = 100\nwindow_s = 10\n";
}

}  // namespace

TEST_GROUP(ReloadSignal) {
  std::string folder;
  pid_t pid = -1;
  void (*lease_handler)(int) = SIG_DFL;

  void setup() override {
    lease_handler = std::signal(SIGIO, SIG_IGN);
    std::string path =
        (std::filesystem::temp_directory_path() / "bbv-reload-XXXXXX").string();
    folder = mkdtemp(path.data());
  }
  void teardown() override {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(folder);
    std::signal(SIGIO, lease_handler);
  }
  std::string Settings() {
    return folder + "/entry.toml";
  }
  std::string Output() {
    return folder + "/entry.out";
  }
  void StartEntry() {
    const std::string program = ProgramPath("bluebellvalved");
    const std::string settings = "--settings=" + Settings();
    pid = fork();
    if (pid != 0)
      return;
    if (std::freopen(Output().c_str(), "a", stdout) != nullptr)
      dup2(STDOUT_FILENO, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--fleet", settings.c_str(),
          nullptr);
    std::_Exit(127);
  }
};

// A lease on the settings file holds the entry in its start until the signal
// was sent.
TEST(ReloadSignal, SignalDuringTheStartEndsNoProcessAndReloadsTheSettings) {
  std::ofstream(Settings()) << MakeSettings();
  const int file = open(Settings().c_str(), O_RDWR | O_CLOEXEC);
  CHECK_EQUAL(0, fcntl(file, F_SETLEASE, F_WRLCK));
  StartEntry();
  bool is_reading = false;
  for (int tries = 0; !is_reading && tries < kPolls; ++tries) {
    std::this_thread::sleep_for(kPollInterval);
    is_reading = fcntl(file, F_GETLEASE) != F_WRLCK;
  }
  CHECK(is_reading);
  kill(pid, SIGHUP);
  std::this_thread::sleep_for(kPollInterval);
  CHECK_EQUAL(0, fcntl(file, F_SETLEASE, F_UNLCK));
  close(file);
  bool reloaded = false;
  for (int tries = 0; !reloaded && tries < kPolls; ++tries) {
    std::this_thread::sleep_for(kPollInterval);
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) > 0) {
      pid = -1;
      FAIL(("entry ended: " + ReadFile(Output())).c_str());
    }
    reloaded =
        ReadFile(Output()).find("settings-reloaded") != std::string::npos;
  }
  CHECK(reloaded);
}
