#include "floor.h"

#include <fcntl.h>
#include <httplib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "clock.h"
#include "free_port.h"
#include "standins/fleet_standin.h"

namespace review3 {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Built by review/build-3.sh; programs run in the root of the repository.
constexpr char kServerProgram[] = "target/review-3/plain-server";
constexpr int kHeartbeatMs = 1200;
constexpr int kModelServers = 12;
constexpr int kStartLimitMs = 15'000;
constexpr int kReadyLimitMs = 5000;
constexpr int kPollMs = 20;
constexpr int kFormerAtOnce = 25;
// Seeds in the settings of an entry.
constexpr std::size_t kSeeds = 3;

void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

int64_t NowUnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string Quoted(const std::string& text) {
  return '"' + text + '"';
}

// Starts a program with its output in `output` and one more variable.
pid_t Spawn(const std::vector<std::string>& words,
            const std::string& output,
            const std::string& name = {},
            const std::string& value = {}) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& it : words)
    arguments.push_back(const_cast<char*>(it.c_str()));
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0)
    return pid;
  const int fd =
      open(output.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  if (!name.empty())
    setenv(name.c_str(), value.c_str(), 1);
  execv(arguments.front(), arguments.data());
  std::_Exit(127);
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(std::string path) : path_(std::move(path)), start_ms_(NowMs()) {}

Record::~Record() {
  std::ofstream file(path_);
  for (const std::string& it : lines_)
    file << it << '\n';
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  lines_.push_back(std::to_string(NowMs() - start_ms_) + ' ' + line);
}

void Record::Say(const std::string& line) {
  Write(line);
  std::printf("%s\n", line.c_str());
}

struct Floor::Entry {
  EntryOptions options;
  std::string name;
  pid_t pid = -1;
  int front = 0;
  int ready = 0;
  int control = 0;
  int metrics = 0;
  std::string settings;
  std::string output;
};

struct Floor::Server {
  ServerOptions options;
  std::string id;
  int port = 0;
  pid_t pid = -1;
  int64_t born = 0;
  int64_t sequence = 0;
  int64_t publish_at = 0;
  // When it starts again after a crash.
  int64_t start_at = 0;
};

Floor::Floor(Record* record, const std::vector<EntryOptions>& entries)
    : record_(record), store_(std::make_unique<bbv::standins::FleetStore>()) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "bbv-review-XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  for (const EntryOptions& it : entries) {
    entries_.push_back(std::make_unique<Entry>());
    entries_.back()->options = it;
  }
}

Floor::~Floor() {
  stopping_ = true;
  if (keeper_.joinable())
    keeper_.join();
  for (const auto& it : servers_) {
    if (it->pid > 0) {
      kill(it->pid, SIGKILL);
      waitpid(it->pid, nullptr, 0);
    }
  }
  for (std::size_t it = 0; it < entries_.size(); ++it) {
    if (entries_[it]->pid > 0) {
      Signal(it, SIGKILL);
      WaitForEnd(it);
    }
  }
  // For whoever wants to look into the logs of the entries.
  if (const char* logs = std::getenv("REVIEW_LOGS"))
    std::filesystem::copy(folder_, logs,
                          std::filesystem::copy_options::recursive);
  std::filesystem::remove_all(folder_);
}

void Floor::AddServer(const ServerOptions& options) {
  auto server = std::make_unique<Server>();
  server->options = options;
  server->id = "i-" + options.service + "-" + std::to_string(servers_.size());
  server->port = bbv::FreePort();
  servers_.push_back(std::move(server));
}

bool Floor::StartStore() {
  store_started_ = store_started_ || store_->Start();
  return store_started_;
}

void Floor::ChoosePorts(Entry* entry, const std::string& name) {
  entry->name = name;
  entry->front = bbv::FreePort();
  entry->ready = bbv::FreePort();
  entry->control = bbv::FreePort();
  entry->metrics = bbv::FreePort();
  entry->settings = folder_ + "/" + name + ".toml";
  entry->output = folder_ + "/" + name + ".out";
}

void Floor::WriteSettings(const Entry& entry) {
  std::string seeds;
  for (std::size_t it = 0; it < entries_.size() && it < kSeeds; ++it)
    seeds += (it > 0 ? ", " : "") + Quoted(Loopback(entries_[it]->control));
  // As deploy/entry.toml.template is filled in on the users' first site.
  std::ofstream(entry.settings)
      << "[node]\nrole = \"fleet-entry\"\nname = " << Quoted(entry.name)
      << "\nzone = " << Quoted(entry.options.zone) << "\nstop_timeout_s = 8\n"
      << "[front]\ncallers = " << Quoted(Loopback(entry.front))
      << "\nreadiness = " << Quoted(Loopback(entry.ready))
      << "\npeers = " << Quoted(Loopback(entry.control))
      << "\nmetrics = " << Quoted(Loopback(entry.metrics)) << "\npeer_seeds = ["
      << seeds << "]\nmaximum_connections = 4200\n"
      << "[instance]\ncore_share = " << entry.options.core_share
      << "\ncore_speed = 1\nlink_mbps = 1000.0\n"
      << "[store]\naddress = " << Quoted(Loopback(store_->port()))
      << "\ngroup_minimum_ms = 1000\n"
      << "[retries]\nshare = 0.2\nextra = " << retry_extra_
      << "\nwindow_s = 10\n"
      << "[targets]\nleave_within_ms = 2000\n";
}

bool Floor::RunFormerEntries(int n, const std::string& core_share) {
  if (!StartStore())
    return false;
  std::vector<std::unique_ptr<Entry>> current = std::move(entries_);
  const auto records = [this] {
    return store_->CallCounts()["/v1/log-append keyed.bluebellvalve"];
  };
  bool done = true;
  for (int began = 0; done && began < n;) {
    const int batch = std::min(kFormerAtOnce, n - began);
    entries_.clear();
    for (int it = 0; it < batch; ++it) {
      entries_.push_back(std::make_unique<Entry>());
      entries_.back()->options = {current[it % current.size()]->options.zone,
                                  core_share};
      ChoosePorts(entries_.back().get(), "old-" + std::to_string(began + it));
    }
    for (std::size_t it = 0; it < entries_.size(); ++it) {
      WriteSettings(*entries_[it]);
      StartEntry(it);
    }
    began += batch;
    const int64_t end = NowMs() + kStartLimitMs;
    while (records() < began && NowMs() < end)
      Sleep(kPollMs);
    done = records() >= began;
    for (std::size_t it = 0; it < entries_.size(); ++it) {
      Signal(it, SIGKILL);
      WaitForEnd(it);
    }
  }
  entries_ = std::move(current);
  return done;
}

bool Floor::Start(const std::string& manifest) {
  if (!StartStore())
    return false;
  PutManifest(manifest);
  for (const auto& it : servers_)
    RunServer(it.get());
  keeper_ = std::thread([this] { KeepServers(); });
  for (std::size_t it = 0; it < entries_.size(); ++it)
    ChoosePorts(entries_[it].get(), "edge-" + std::to_string(it));
  for (std::size_t it = 0; it < entries_.size(); ++it) {
    WriteSettings(*entries_[it]);
    StartEntry(it);
  }
  for (std::size_t it = 0; it < entries_.size(); ++it) {
    if (!WaitReady(it, kStartLimitMs))
      return false;
  }
  return true;
}

void Floor::PutManifest(const std::string& manifest) {
  store_->Put("keyed.op", "config", manifest);
  record_->Write("manifest written");
}

void Floor::StartEntry(std::size_t entry) {
  // The words of `run` in deploy/system.toml, in the root of the repository.
  entries_[entry]->pid =
      Spawn({"target/bluebellvalved", "--fleet"}, entries_[entry]->output,
            "BLUEBELLVALVE_CONFIG", entries_[entry]->settings);
  record_->Write("entry " + std::to_string(entry) + " started");
}

void Floor::Signal(std::size_t entry, int signal) {
  kill(entries_[entry]->pid, signal);
  record_->Write("entry " + std::to_string(entry) + " gets signal " +
                 std::to_string(signal));
}

void Floor::WaitForEnd(std::size_t entry) {
  waitpid(entries_[entry]->pid, nullptr, 0);
  entries_[entry]->pid = -1;
}

bool Floor::WaitReady(std::size_t entry, int limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  while (NowMs() < end) {
    httplib::Client client("127.0.0.1", entries_[entry]->ready);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const auto answer = client.Get("/v1/readyz");
    if (answer && answer->status == 200) {
      record_->Write("entry " + std::to_string(entry) + " ready");
      return true;
    }
    Sleep(kPollMs);
  }
  return false;
}

int Floor::front_port(std::size_t entry) const {
  return entries_[entry]->front;
}

bool Floor::AllReady(std::size_t first) {
  bool ready = true;
  for (std::size_t it = first; it < entries_.size(); ++it)
    ready = WaitReady(it, kReadyLimitMs) && ready;
  return ready;
}

void Floor::SetFull(bool full) {
  const std::string path = folder_ + "/full";
  if (full)
    std::ofstream(path) << "full";
  else
    std::filesystem::remove(path);
  record_->Write(full ? "servers are full" : "servers have room");
}

void Floor::NameLimit(const std::string& per_second) {
  // Servers never see the file half written.
  std::ofstream(folder_ + "/limit.new") << per_second;
  std::filesystem::rename(folder_ + "/limit.new", folder_ + "/limit");
  record_->Write("servers name the limit " + per_second);
}

void Floor::SetPageSize(int items) {
  store_->SetPageSize(items);
}

Request Floor::Send(std::size_t entry,
                    const std::string& target,
                    const std::string& body,
                    int wait_ms) {
  Request request;
  request.entry = static_cast<int>(entry);
  request.target = target;
  request.id = "r" + std::to_string(next_id_++);
  httplib::Client client("127.0.0.1", entries_[entry]->front);
  client.set_connection_timeout(1);
  client.set_read_timeout(milliseconds(wait_ms));
  request.sent_ms = NowMs();
  const auto answer = client.Post(target,
                                  {{"Host", kHost},
                                   {"X-Attempt-Id", request.id},
                                   {"X-Key", kKey},
                                   {"X-Deadline-Ms", std::to_string(wait_ms)}},
                                  body, "text/plain");
  request.answered_ms = NowMs();
  if (answer) {
    request.status = answer->status;
    request.names_limit = answer->has_header("Server-Limit");
    const std::string signature =
        answer->get_header_value("X-Response-Signature");
    if (signature.starts_with("s-"))
      request.server = signature.substr(2);
  }
  record_->Write("request " + request.id + " to entry " +
                 std::to_string(entry) + ' ' + target + ": " +
                 std::to_string(request.status));
  return request;
}

std::vector<Arrival> Floor::Arrivals() const {
  std::vector<Arrival> arrivals;
  std::ifstream file(folder_ + "/arrivals");
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    Arrival it;
    words >> it.at_ms >> it.server >> it.what >> it.id >> it.target;
    arrivals.push_back(std::move(it));
  }
  return arrivals;
}

void Floor::RunServer(Server* server) {
  server->pid =
      Spawn({kServerProgram, server->id, std::to_string(server->port), folder_,
             server->options.deadly, std::to_string(server->options.work_ms)},
            folder_ + "/servers.out");
  server->born = NowUnixMs();
  server->sequence = 0;
  // Time to listen.
  server->publish_at = NowMs() + 100;
}

void Floor::Publish(Server* server) {
  server->publish_at = NowMs() + kHeartbeatMs;
  ++server->sequence;
  const Json entry = {{"service", server->options.service},
                      {"address", Loopback(server->port)},
                      {"zone", server->options.zone},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"warmup_left_ms", 0},
                      {"born", server->born},
                      {"sequence", server->sequence}};
  store_->Put("keyed.servers", server->id, entry.dump());
}

void Floor::KeepServers() {
  while (!stopping_) {
    const int64_t now = NowMs();
    for (const auto& it : servers_) {
      if (it->pid > 0 && waitpid(it->pid, nullptr, WNOHANG) > 0) {
        it->pid = -1;
        it->start_at = now + it->options.restart_ms;
        record_->Write("server " + it->id + " crashed");
      }
      if (it->pid < 0 && now >= it->start_at) {
        RunServer(it.get());
        record_->Write("server " + it->id + " is back");
      }
      if (it->pid > 0 && now >= it->publish_at)
        Publish(it.get());
    }
    Sleep(kPollMs);
  }
}

ModelServers::ModelServers(Floor* floor,
                           const std::string& deadly_part,
                           int restart_ms) {
  bbv::standins::FleetTargets::Options options;
  options.engines = kModelServers;
  options.services = 0;
  options.deadly_part = deadly_part;
  options.restart_ms = restart_ms;
  targets_ =
      std::make_unique<bbv::standins::FleetTargets>(floor->store(), options);
}

ModelServers::~ModelServers() = default;

bool ModelServers::Start() {
  return targets_->Start();
}

std::string ModelServers::MakeManifest() const {
  return targets_->MakeConfiguration(1);
}

bool ModelServers::HoldsAllLayers() {
  return targets_->HoldsAllLayers();
}

int ModelServers::DeadlyCrashCount() {
  return targets_->DeadlyCrashCount();
}

int ModelServers::DeadlyCallCount() {
  return targets_->DeadlyCallCount();
}

std::string MakeManifest(int version, const std::vector<Route>& routes) {
  Json rows = Json::array();
  std::set<std::string> services;
  for (const Route& it : routes) {
    Json row = {
        {"name", it.prefix}, {"host", kHost},      {"path_prefix", it.prefix},
        {"type", it.type},   {"timeout_ms", 1500}, {"slo_ms", 300},
        {"priority", 1},     {"max_attempts", 2}};
    if (it.services.size() == 1) {
      row["service"] = it.services.front();
    } else {
      for (const std::string& service : it.services)
        row["backends"].push_back({{"service", service}, {"weight", 1}});
    }
    rows.push_back(std::move(row));
    services.insert(it.services.begin(), it.services.end());
  }
  Json described = Json::array();
  for (const std::string& it : services)
    described.push_back({{"name", it}, {"max_conns", 96}});
  const Json manifest = {
      {"version", version},
      {"routes", rows},
      {"services", described},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 100000},
        {"header_timeout_ms", 5000},
        {"idle_timeout_ms", 10000}}},
      {"tenants", Json::array({{{"name", "hule930"}, {"api_keys", {kKey}}}})}};
  return manifest.dump();
}

void SendEvenly(double per_s,
                int64_t until_ms,
                const std::function<void(int)>& send) {
  const int64_t start = NowMs();
  std::vector<std::thread> threads;
  for (int n = 0;; ++n) {
    const auto at = start + static_cast<int64_t>(1000.0 * n / per_s);
    if (at >= until_ms)
      break;
    if (const int64_t wait = at - NowMs(); wait > 0)
      Sleep(static_cast<int>(wait));
    threads.emplace_back([&send, n] { send(n); });
  }
  for (std::thread& it : threads)
    it.join();
}

}  // namespace review3
