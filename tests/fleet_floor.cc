#include "fleet_floor.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>

#include "free_port.h"

namespace bbv {
namespace {

using std::chrono::milliseconds;

constexpr int kStartTimeoutMs = 15'000;
constexpr int kPollIntervalMs = 20;

template <typename Condition>
bool WaitFor(int limit_ms, Condition condition) {
  for (int waited = 0; waited < limit_ms; waited += kPollIntervalMs) {
    if (condition())
      return true;
    std::this_thread::sleep_for(milliseconds(kPollIntervalMs));
  }
  return condition();
}

std::string TomlAddress(int port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

}  // namespace

httplib::Headers MakeCallHeaders(const std::string& id, int wait_ms) {
  return {{"Host", "fleet.example"},
          {"X-Attempt-Id", id},
          {"X-Key", "key"},
          {"X-Deadline-Ms", std::to_string(wait_ms)},
          {"X-Token-Counts", "100,50"}};
}

std::vector<int> ParseEventIds(const std::string& text) {
  std::vector<int> ids;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("id: "))
      ids.push_back(static_cast<int>(std::strtol(&line[4], nullptr, 10)));
  }
  return ids;
}

// An entry process and its ports on the loopback interface.
struct FleetFloor::Entry {
  pid_t pid = -1;
  std::string settings;
  std::string output;
  int callers = 0;
  int readiness = 0;
  int peers = 0;
  int metrics = 0;
  standins::FaultProxy store;
};

FleetFloor::FleetFloor(int entries,
                       const standins::FleetTargets::Options& options,
                       int stop_timeout_s,
                       const std::string& retries)
    : targets_(&store_, options),
      proxied_(options.proxied),
      stop_timeout_s_(stop_timeout_s),
      retries_(retries) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "bbv-fleet-XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  for (int it = 0; it < entries; ++it)
    entries_.push_back(std::make_unique<Entry>());
}

FleetFloor::~FleetFloor() {
  for (std::size_t it = 0; it < entries_.size(); ++it) {
    if (entries_[it]->pid > 0) {
      kill(entries_[it]->pid, SIGKILL);
      WaitForExit(static_cast<int>(it));
    }
  }
  std::filesystem::remove_all(folder_);
}

bool FleetFloor::Start() {
  if (!store_.Start() || !targets_.Start())
    return false;
  store_.Put("keyed.op", "config", targets_.MakeConfiguration(1));
  for (std::size_t it = 0; it < entries_.size(); ++it) {
    Entry& entry = *entries_[it];
    if (proxied_ && !entry.store.Start(store_.port()))
      return false;
    entry.callers = FreePort();
    entry.readiness = FreePort();
    entry.peers = FreePort();
    entry.metrics = FreePort();
    const std::string name = "entry-" + std::to_string(it);
    entry.settings = folder_ + "/" + name + ".toml";
    entry.output = folder_ + "/" + name + ".out";
    std::ofstream file(entry.settings);
    file << "[node]\nrole = \"fleet-entry\"\nname = \"" << name
         << "\"\nzone = \"zone-a\"\nstop_timeout_s = " << stop_timeout_s_
         << "\n[front]\ncallers = " << TomlAddress(entry.callers)
         << "readiness = " << TomlAddress(entry.readiness)
         << "peers = " << TomlAddress(entry.peers)
         << "metrics = " << TomlAddress(entry.metrics) << front_lines_
         << instance_lines_ << "[store]\naddress = "
         << TomlAddress(proxied_ ? entry.store.port() : store_.port())
         << "[retries]\n"
         << retries_
         << "window_s = 10\n"
            "[targets]\nleave_within_ms = 2000\n";
    file.close();
    StartEntry(static_cast<int>(it));
  }
  return WaitFor(kStartTimeoutMs, [this] {
    for (std::size_t it = 0; it < entries_.size(); ++it) {
      if (!IsReady(static_cast<int>(it)))
        return false;
    }
    return targets_.HoldsAllLayers() &&
           Stream(0, "start-" + std::to_string(std::rand())).whole;
  });
}

void FleetFloor::StartEntry(int entry_index) {
  Entry& entry = *entries_[entry_index];
  const std::string program = std::string(BBV_BINARY_DIR) + "/bluebellvalved";
  const std::string settings = "--settings=" + entry.settings;
  entry.pid = fork();
  if (entry.pid != 0)
    return;
  if (std::freopen(entry.output.c_str(), "a", stdout) != nullptr)
    dup2(STDOUT_FILENO, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), "--fleet", settings.c_str(), nullptr);
  std::_Exit(127);
}

void FleetFloor::SetInstance(int memory_mb, int maximum_connections) {
  front_lines_ =
      "maximum_connections = " + std::to_string(maximum_connections) + "\n";
  instance_lines_ =
      "[instance]\nmemory_mb = " + std::to_string(memory_mb) + "\n";
}

void FleetFloor::SetStopTimeout(int entry, int stop_timeout_s) {
  const std::string& path = entries_[entry]->settings;
  std::ifstream file(path);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  const std::string key = "stop_timeout_s = ";
  const std::size_t at = text.find(key) + key.size();
  text.replace(at, text.find('\n', at) - at, std::to_string(stop_timeout_s));
  // The file is never seen half written.
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}

void FleetFloor::Signal(int entry, int signal) {
  kill(entries_[entry]->pid, signal);
}

standins::FaultProxy& FleetFloor::store_proxy(int entry) {
  return entries_[entry]->store;
}

bool FleetFloor::IsRunning(int entry) const {
  return entries_[entry]->pid > 0;
}

bool FleetFloor::HasExited(int entry, int* code) {
  int status = 0;
  if (waitpid(entries_[entry]->pid, &status, WNOHANG) <= 0)
    return false;
  entries_[entry]->pid = -1;
  *code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

int FleetFloor::WaitForExit(int entry) {
  int status = 0;
  waitpid(entries_[entry]->pid, &status, 0);
  entries_[entry]->pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool FleetFloor::IsReady(int entry) {
  httplib::Client client("127.0.0.1", entries_[entry]->readiness);
  client.set_connection_timeout(1);
  client.set_read_timeout(1);
  const auto answer = client.Get("/v1/readyz");
  return answer && answer->status == 200;
}

bool FleetFloor::WaitReady(int entry, int limit_ms) {
  return WaitFor(limit_ms, [this, entry] { return IsReady(entry); });
}

StreamAnswer FleetFloor::Stream(int entry,
                                const std::string& id,
                                const std::string& parts,
                                const std::string& path) {
  StreamAnswer answer;
  httplib::Headers headers = MakeCallHeaders(id, stream_wait_ms_);
  if (!parts.empty())
    headers.emplace("X-Prefix-Hash", parts);
  httplib::Client client("127.0.0.1", entries_[entry]->callers);
  client.set_read_timeout(6);
  std::string text;
  const auto result =
      client.Get(path, headers, [&](const char* data, std::size_t n) {
        text.append(data, n);
        return true;
      });
  answer.whole = static_cast<bool>(result);
  if (result) {
    answer.status = result->status;
    answer.signature = result->get_header_value("X-Response-Signature");
  }
  answer.events = ParseEventIds(text);
  answer.text = std::move(text);
  answer.whole = answer.whole && answer.status == 200;
  return answer;
}

httplib::Result FleetFloor::Call(int entry,
                                 const std::string& path,
                                 const std::string& id,
                                 const std::string& key) {
  httplib::Client client("127.0.0.1", entries_[entry]->callers);
  client.set_read_timeout(6);
  return client.Post(path,
                     {{"Host", "fleet.example"},
                      {"X-Attempt-Id", id},
                      {"X-Key", key},
                      {"X-Deadline-Ms", "3000"}},
                     "body", "text/plain");
}

int FleetFloor::callers_port(int entry) const {
  return entries_[entry]->callers;
}

int FleetFloor::readiness_port(int entry) const {
  return entries_[entry]->readiness;
}

int FleetFloor::peers_port(int entry) const {
  return entries_[entry]->peers;
}

int FleetFloor::metrics_port(int entry) const {
  return entries_[entry]->metrics;
}

std::string FleetFloor::Output(int entry) const {
  std::ifstream file(entries_[entry]->output);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string FleetFloor::Metrics(int entry) {
  httplib::Client client("127.0.0.1", entries_[entry]->metrics);
  const auto answer = client.Get("/metrics");
  return answer ? answer->body : std::string();
}

std::size_t FleetFloor::PeakMemory(int entry) const {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  const std::string name = "VmHWM:";
  std::ifstream file("/proc/" + std::to_string(entries_[entry]->pid) +
                     "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name))
      return std::stoull(line.substr(name.size())) * kBytesPerKilobyte;
  }
  std::abort();
}

double FleetFloor::ProcessorSeconds(int entry) const {
  std::ifstream file("/proc/" + std::to_string(entries_[entry]->pid) + "/stat");
  std::string line;
  std::getline(file, line);
  // The name of the program may contain spaces; user and system time are the
  // twelfth and thirteenth words after it.
  std::istringstream words(line.substr(line.rfind(')') + 1));
  constexpr int kWordsBefore = 11;
  std::string word;
  for (int it = 0; it < kWordsBefore; ++it)
    words >> word;
  double user = 0;
  double system = 0;
  words >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t FleetFloor::OpenDescriptors(int entry) const {
  const std::filesystem::directory_iterator folder(
      "/proc/" + std::to_string(entries_[entry]->pid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

}  // namespace bbv
