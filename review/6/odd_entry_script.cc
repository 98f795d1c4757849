// Another writer enters the servers' addresses in the list, with fields
// missing; a final fault follows.
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../harness/harness.h"

namespace {

using namespace review;  // NOLINT

constexpr int kServers = 3;
constexpr int kEntries = 2;
constexpr int64_t kCallIntervalMs = 100;
constexpr int64_t kTimeLimitMs = 1500;
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kWarmUpMs = 3000;
// Times from the beginning of the traffic.
constexpr int64_t kOddFromMs = 6000;
constexpr int64_t kFaultMs = 8000;
// The killed processes are back after this time.
constexpr int64_t kDownMs = 500;
// `recover_s` of the sheets is 12.
constexpr int64_t kRecoverMs = 12'000;
constexpr int64_t kObservedMs = 8000;
// The rule: less than a quarter is served, though a quarter or more was before.
constexpr int kQuarter = 4;

struct Server {
  std::string id;
  int port = 0;
  pid_t pid = -1;
};

struct Call {
  int64_t sent_ms = 0;
  int status = 0;
};

struct Share {
  int sent = 0;
  int served = 0;
  bool is_quarter() const { return kQuarter * served >= sent; }
};

Json MakeManifest() {
  const Json route = {
      {"name", "lookup"}, {"host", "fleet.example"}, {"path_prefix", "/a/"},
      {"type", "safe"},   {"service", "plain"},      {"timeout_ms", 1500},
      {"slo_ms", 300},    {"priority", 2},           {"max_attempts", 2}};
  return {{"version", 1},
          {"routes", Json::array({route})},
          {"services", Json::array({{{"name", "plain"}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

// Sends calls, each on a channel and a thread of its own.
class Caller {
 public:
  explicit Caller(Recorder* recorder) : recorder_(recorder) {}

  void Send(int port, const std::string& id) {
    ++open_;
    std::thread([this, port, id] { SendOne(port, id); }).detach();
  }

  void Wait(int64_t limit_ms) const {
    const int64_t deadline_ms = NowMs() + limit_ms;
    while (open_ > 0 && NowMs() < deadline_ms)
      SleepMs(5);
  }

  // The calls that were sent from `from_ms` on and before `until_ms`.
  Share Count(int64_t from_ms, int64_t until_ms) {
    const std::scoped_lock lock(mutex_);
    Share share;
    for (const Call& it : calls_) {
      if (it.sent_ms < from_ms || it.sent_ms >= until_ms)
        continue;
      ++share.sent;
      share.served += it.status == 200 ? 1 : 0;
    }
    return share;
  }

 private:
  void SendOne(int port, const std::string& id) {
    Call call{NowMs(), 0};
    recorder_->Write("sent " + id);
    Message answer;
    const auto socket = Socket::Connect(port);
    if (socket != nullptr &&
        socket->Write("GET /a/x HTTP/1.1\r\nHost: fleet.example\r\n"
                      "X-Attempt-Id: " +
                      id + "\r\nX-Deadline-Ms: " +
                      std::to_string(kTimeLimitMs) + "\r\n\r\n") &&
        socket->ReadMessage(&answer, true, call.sent_ms + kTimeLimitMs))
      call.status = answer.status();
    recorder_->Write("answered " + id + " status " +
                     std::to_string(call.status));
    const std::scoped_lock lock(mutex_);
    calls_.push_back(call);
    --open_;
  }

  Recorder* recorder_;
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::vector<Call> calls_;
};

// The entry that the other writer makes for the address of `server`: `version`
// and `warmup_left_ms` are missing.
void WriteOddEntry(int store_port,
                   const Server& server,
                   int64_t born,
                   int sequence) {
  const Json record = {{"service", "plain"},
                       {"address", "127.0.0.1:" + std::to_string(server.port)},
                       {"zone", "zone-a"},
                       {"slots", 6},
                       {"state", "ready"},
                       {"born", born},
                       {"sequence", sequence}};
  AppendRecord(store_port, "keyed.servers", "agent-of-" + server.id,
               record.dump());
}

int Play(const std::string& record_folder, const std::string& root) {
  const bool trouble = TroubleLevel() != 0;
  TemporaryFolder temporary;
  // Threads of their own use these until the process ends.
  Recorder& recorder = *new Recorder(record_folder + "/record.txt");
  Caller& caller = *new Caller(&recorder);
  Store& store = *new Store;
  if (!store.Start())
    return 2;
  store.Put("keyed.op", "config", MakeManifest().dump());
  const std::string trace = temporary.path() + "/trace.txt";
  std::vector<Server> servers;
  for (int it = 0; it < kServers; ++it) {
    Server server{"i-" + std::to_string(it), FreePort(), -1};
    server.pid =
        StartProgram({root + "/review/build-2/plain-server", "--id", server.id,
                      "--port", std::to_string(server.port), "--store",
                      std::to_string(store.port()), "--trace", trace},
                     {}, temporary.path() + "/servers.out");
    servers.push_back(server);
  }
  std::vector<std::unique_ptr<EntryProcess>> entries;
  const int seed = FreePort();
  for (int it = 0; it < kEntries; ++it) {
    entries.push_back(std::make_unique<EntryProcess>(
        EntryProcess::Options{root,
                              temporary.path(),
                              "edge-" + std::to_string(it),
                              store.port(),
                              it == 0 ? seed : 0,
                              {seed}}));
    entries.back()->Start();
  }
  for (const auto& it : entries) {
    if (!it->WaitReady(10'000))
      return 2;
  }
  SleepMs(kWarmUpMs);
  const int64_t begin_ms = NowMs();
  const int64_t odd_born = NowUnixMs() + kOddFromMs;
  const int64_t back_ms = kFaultMs + kDownMs;
  const int64_t end_ms = back_ms + kRecoverMs + kObservedMs;
  bool is_killed = false;
  bool is_back = false;
  int sent = 0;
  int odd_beats = 0;
  for (int64_t now_ms = 0; now_ms < end_ms; now_ms = NowMs() - begin_ms) {
    if (now_ms >= sent * kCallIntervalMs) {
      caller.Send(entries[sent % kEntries]->callers_port(),
                  "call-" + std::to_string(sent));
      ++sent;
    }
    if (trouble && now_ms >= kOddFromMs + odd_beats * kHeartbeatMs) {
      ++odd_beats;
      for (const Server& it : servers)
        WriteOddEntry(store.port(), it, odd_born, odd_beats);
      recorder.Write("the other writer has entered the servers' addresses");
    }
    if (!is_killed && now_ms >= kFaultMs) {
      is_killed = true;
      for (const auto& it : entries)
        it->Kill();
      recorder.Write("final fault: all entries killed");
    }
    if (!is_back && now_ms >= back_ms) {
      is_back = true;
      for (const auto& it : entries)
        it->Start();
      recorder.Write("all entries started again");
    }
    SleepMs(2);
  }
  caller.Wait(2 * kTimeLimitMs);
  const Share before = caller.Count(begin_ms, begin_ms + kFaultMs);
  const Share after =
      caller.Count(begin_ms + back_ms + kRecoverMs, begin_ms + end_ms);
  for (const Server& it : servers) {
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
  }
  std::ifstream lines(trace);
  for (std::string line; std::getline(lines, line);)
    recorder.Write(line);
  for (const auto& it : entries) {
    int status = 0;
    if (it->HasEnded(&status))
      return 2;
  }
  const bool broken = before.is_quarter() && !after.is_quarter();
  std::ostringstream result;
  result << "served " << before.served << " of " << before.sent
         << " before the final fault, " << after.served << " of " << after.sent
         << " sent later than 12 s after it; " << (broken ? "BROKEN" : "held");
  recorder.Write(result.str());
  std::cout << result.str() << std::endl;
  if (!before.is_quarter())
    return 2;
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::_Exit(argc < 3 ? 2 : Play(argv[1], argv[2]));
}
