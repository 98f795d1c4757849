// Entries of another writer name the addresses of sound servers; then all
// processes are killed once.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../harness/harness.h"

namespace {

using namespace review;  // NOLINT

constexpr int kServers = 3;
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kWorkMs = 20;
constexpr int64_t kRequestIntervalMs = 50;
constexpr int64_t kTimeLimitMs = 1500;
// The odd entries come 2 s before the final fault.
constexpr int64_t kOddEntriesMs = 10'000;
constexpr int64_t kFinalFaultMs = 12'000;
constexpr int64_t kDownMs = 800;
constexpr int64_t kRecoverMs = 12'000;
constexpr int64_t kJudgedMs = 8000;

struct Sample {
  int64_t sent_ms = 0;
  int status = 0;
};

Json MakeManifest() {
  const Json route = {{"name", "lookup"},
                      {"host", "fleet.example"},
                      {"path_prefix", "/lookup/"},
                      {"type", "safe"},
                      {"service", "plain"},
                      {"timeout_ms", 800},
                      {"slo_ms", 300},
                      {"priority", 2},
                      {"max_attempts", 2}};
  return {{"version", 1},
          {"routes", Json::array({route})},
          {"services", Json::array({{{"name", "plain"}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

// Writes the entries of the servers, and those of another writer while they are
// wanted.
class Registrations {
 public:
  Registrations(Store* store, std::vector<int> ports)
      : store_(store), ports_(std::move(ports)), born_(NowUnixMs()) {}

  void Run() {
    for (int beat = 1;; ++beat) {
      for (std::size_t it = 0; it < ports_.size(); ++it) {
        Put("i-" + std::to_string(it), "plain", ports_[it], born_, beat);
        if (odd_born_ > 0)
          Put("agent-" + std::to_string(it), "host-agent", ports_[it],
              odd_born_, beat);
      }
      SleepMs(kHeartbeatMs);
    }
  }

  void AddOddEntries() { odd_born_ = NowUnixMs(); }

 private:
  void Put(const std::string& id,
           const std::string& service,
           int port,
           int64_t born,
           int beat) {
    const Json record = {
        {"service", service}, {"address", "127.0.0.1:" + std::to_string(port)},
        {"zone", "zone-a"},   {"version", "v1"},
        {"slots", 6},         {"state", "ready"},
        {"born", born},       {"sequence", beat}};
    store_->Put("keyed.servers", id, record.dump());
  }

  Store* store_;
  std::vector<int> ports_;
  int64_t born_;
  std::atomic<int64_t> odd_born_{0};
};

// Sends requests one after the other until `stopping`.
void SendRequests(int port,
                  const std::atomic<bool>& stopping,
                  std::vector<Sample>* samples,
                  Recorder* recorder) {
  std::unique_ptr<Socket> channel;
  for (int n = 0; !stopping; ++n) {
    if (channel == nullptr)
      channel = Socket::Connect(port);
    const std::string id = "a-" + std::to_string(n);
    const std::string request =
        "GET /lookup/x HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: " + id +
        "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimitMs) + "\r\n\r\n";
    const int64_t sent_ms = NowMs();
    Message answer;
    const bool is_answered =
        channel != nullptr && channel->Write(request) &&
        channel->ReadMessage(&answer, true, sent_ms + kTimeLimitMs);
    const int status = is_answered ? answer.status() : 0;
    samples->push_back({sent_ms, status});
    recorder->Write(id + " sent at " +
                    std::to_string(recorder->Since(sent_ms)) + " status " +
                    std::to_string(status));
    if (!is_answered || answer.Find("Connection") == "close")
      channel = nullptr;
    SleepMs(kRequestIntervalMs);
  }
}

int Play(const std::string& folder, const std::string& root) {
  const int trouble = TroubleLevel();
  TemporaryFolder temporary;
  // Threads of their own use these until the process ends.
  Recorder& recorder = *new Recorder(folder + "/record.txt");
  Store& store = *new Store;
  if (!store.Start())
    return 2;
  store.Put("keyed.op", "config", MakeManifest().dump());
  std::vector<int> ports;
  for (int it = 0; it < kServers; ++it) {
    HttpServer& server = *new HttpServer;
    const std::string name = "i-" + std::to_string(it);
    server.Start(0, [name](const Message& request, Socket* socket) {
      const std::string echo =
          "X-Attempt-Id: " + request.Find("X-Attempt-Id") + "\r\n";
      if (request.Find("X-Expect-Instance") != name)
        return Respond(*socket, 421, echo + "X-Not-Executed: 1\r\n", "");
      SleepMs(kWorkMs);
      return Respond(*socket, 200, echo + "X-Response-Signature: s\r\n",
                     "done");
    });
    ports.push_back(server.port());
  }
  Registrations& registrations = *new Registrations(&store, ports);
  std::thread([&registrations] { registrations.Run(); }).detach();
  EntryProcess entry({root, temporary.path(), "edge-1", store.port(), 0, {}});
  entry.Start();
  if (!entry.WaitReady(10'000))
    return 2;
  std::vector<Sample> samples;
  std::atomic<bool> stopping{false};
  std::thread sender([&] {
    SendRequests(entry.callers_port(), stopping, &samples, &recorder);
  });
  const int64_t begin_ms = NowMs();
  SleepMs(kOddEntriesMs);
  if (trouble == 1) {
    registrations.AddOddEntries();
    recorder.Write("another writer names the servers' addresses");
  }
  SleepMs(begin_ms + kFinalFaultMs - NowMs());
  const int64_t fault_ms = NowMs();
  if (trouble != 0) {
    entry.Kill();
    recorder.Write("entry killed");
    SleepMs(kDownMs);
    entry.Start();
    recorder.Write("entry started again");
  }
  const int64_t judged_ms = NowMs() + kRecoverMs;
  SleepMs(kRecoverMs + kJudgedMs);
  stopping = true;
  sender.join();
  entry.Kill();
  int before = 0;
  int served_before = 0;
  int after = 0;
  int served_after = 0;
  for (const Sample& it : samples) {
    const int served = it.status == 200 ? 1 : 0;
    if (it.sent_ms < fault_ms) {
      ++before;
      served_before += served;
    } else if (it.sent_ms > judged_ms) {
      ++after;
      served_after += served;
    }
  }
  const bool is_broken =
      4 * served_before >= before && 4 * served_after < after;
  const std::string result =
      "before the final fault served " + std::to_string(served_before) +
      " of " + std::to_string(before) + ", later than " +
      std::to_string(kRecoverMs) + " ms after it served " +
      std::to_string(served_after) + " of " + std::to_string(after) +
      (is_broken ? "; BROKEN" : "; held");
  recorder.Write(result);
  std::cout << result << std::endl;
  if (served_before == 0)
    return 2;
  return is_broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::_Exit(argc < 3 ? 2 : Play(argv[1], argv[2]));
}
