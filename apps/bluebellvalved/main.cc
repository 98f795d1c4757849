// The node process: an entry or the side of one target, as its settings file
// says. With --fleet it is a fleet entry, whose targets forward calls to each
// other.
//
// Exit codes: 0 stopped on request, 2 wrong usage, 3 invalid settings, 4 start
// failed.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bbv_entry/bbv_entry.h"
#include "bbv_node/bbv_node.h"
#include "bbv_settings/bbv_settings.h"

ABSL_FLAG(std::string, settings, "", "Path of the node's settings file (TOML)");
ABSL_FLAG(
    bool,
    fleet,
    false,
    "Run an entry whose targets forward requests among each other; without "
    "--settings, BLUEBELLVALVE_CONFIG names its file");

namespace {

constexpr int kExitStopped = 0;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;
constexpr int kExitStartFailed = 4;

void StartLogging(const bbv::NodeSettings& settings) {
  FLAGS_logtostderr = settings.log_directory.empty();
  FLAGS_log_dir = settings.log_directory;
  FLAGS_max_log_size = settings.log_file_megabytes;
  FLAGS_logbufsecs = 0;
  FLAGS_v = settings.log_verbosity;
  if (settings.log_level == "warning")
    FLAGS_minloglevel = google::GLOG_WARNING;
  else if (settings.log_level == "error")
    FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging("bluebellvalved");
}

template <typename Node>
int RunNode(const bbv::NodeSettings& settings) {
  Node node(settings);
  if (const auto started = node.Start(); !started) {
    LOG(ERROR) << started.error().ToString();
    return kExitStartFailed;
  }
  bbv::WaitForStopSignal();
  node.Stop();
  return kExitStopped;
}

// Holds back or admits the signal to reload the settings, which ends a process
// that has no handler for it.
void SetReloadSignalBlocked(bool blocked) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int PrintFaults(const bbv::SettingsFaults& faults) {
  for (const bbv::SettingsFault& fault : faults)
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  return kExitInvalidSettings;
}

// Makes large buffers go back to the system when they are freed. Otherwise the
// allocator keeps them as soon as some were freed.
void SetAllocatorLimits() {
  constexpr int kOwnMappingBytes = 128 << 10;
  constexpr int kKeptBytes = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, kOwnMappingBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

int RunFleetEntry(const std::string& path) {
  bbv::SettingsFaults faults;
  bbv::FleetSettings settings = bbv::LoadFleetSettings(path, &faults);
  if (!faults.empty())
    return PrintFaults(faults);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("bluebellvalved");
  google::InstallFailureSignalHandler();
  std::signal(SIGPIPE, SIG_IGN);
  SetAllocatorLimits();
  bbv::FleetEntry entry(std::move(settings), path);
  if (const std::string fault = entry.Start(); !fault.empty()) {
    LOG(ERROR) << fault;
    return kExitStartFailed;
  }
  SetReloadSignalBlocked(false);
  entry.Run();
  return kExitStopped;
}

// Returns the path of the settings file, empty if none is given.
std::string SettingsPath() {
  std::string path = absl::GetFlag(FLAGS_settings);
  const char* environment_path = std::getenv("BLUEBELLVALVE_CONFIG");
  if (path.empty() && absl::GetFlag(FLAGS_fleet) && environment_path != nullptr)
    return environment_path;
  return path;
}

}  // namespace

int main(int argc, char** argv) {
  SetReloadSignalBlocked(true);
  absl::SetProgramUsageMessage(
      "Runs one bluebellvalve node.\n"
      "usage: bluebellvalved [--fleet] --settings=FILE\n"
      "exit codes: 0 stopped, 2 usage, 3 settings at fault, 4 no start");
  absl::FlagsUsageConfig config;
  config.version_string = [] {
    return std::string("bluebellvalved " BBV_VERSION "\n");
  };
  config.contains_help_flags = [](absl::string_view) { return true; };
  absl::SetFlagsUsageConfig(config);
  absl::ParseCommandLine(argc, argv);
  const std::string path = SettingsPath();
  if (path.empty()) {
    std::fprintf(stderr, "bluebellvalved: --settings=FILE is required\n");
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_fleet))
    return RunFleetEntry(path);
  bbv::SettingsFaults faults;
  const bbv::NodeSettings settings = bbv::LoadNodeSettings(path, &faults);
  if (!faults.empty())
    return PrintFaults(faults);
  bbv::BlockStopSignals();
  StartLogging(settings);
  if (settings.role == bbv::NodeRole::kEntry)
    return RunNode<bbv::EntryNode>(settings);
  return RunNode<bbv::SideNode>(settings);
}
