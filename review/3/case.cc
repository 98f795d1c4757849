// A model server crashes while it loads; its address goes to a smaller server
// of another service.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "../harness/engine_fleet.h"

namespace {

using namespace review;  // NOLINT

constexpr int kBigServers = 2;
constexpr int kSmallServers = 5;
constexpr int kBigLayers = 20;
constexpr int kSmallLayers = 4;
constexpr int kLayerMb = 1750;
constexpr int kBigMb = 72'000;
constexpr int kSmallMb = 14'000;
// The address is used again later than `reuse_after_s`, which is 2.
constexpr int64_t kReuseAfterMs = 2500;
constexpr int64_t kCrashAfterOrderMs = 1500;
constexpr int64_t kLoadMsPerLayer = 700;
// A server enters itself in the list soon after it listens; it writes there
// every `heartbeat_ms`, which is 1,200.
constexpr int64_t kRegisterAfterMs = 400;
constexpr int64_t kObservedMs = 8000;

struct Server {
  std::string id;
  int port = 0;
  pid_t pid = -1;
};

Json MakeService(const std::string& name,
                 int layers,
                 const std::string& type,
                 int size_mb) {
  const Json engine = {
      {"layers", layers},
      {"layer_mb", kLayerMb},
      {"kv_bytes", 1000},
      {"step_ms", 1.0},
      {"read_per_s", 100000.0},
      {"stride", 2},
      {"slots", 64},
      {"loads_at_once", 4},
      {"models", Json::array({{{"name", "m"}, {"load_s", 14.0}}})},
      {"usual", {{"prompt", 100}, {"answer", 60}}},
      {"kinds", Json::array({{{"name", type},
                              {"size_mb", size_mb},
                              {"pace", 1.0},
                              {"read_factor", 1.0}}})}};
  return {{"name", name}, {"engine", engine}};
}

std::vector<EngineEvent> ReadEvents(const std::string& path) {
  std::ifstream file(path);
  std::vector<EngineEvent> events;
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    EngineEvent event;
    words >> event.at_ms >> event.engine;
    std::getline(words >> std::ws, event.what);
    events.push_back(std::move(event));
  }
  return events;
}

int Play(const std::string& record_folder, const std::string& root) {
  const bool trouble = TroubleLevel() != 0;
  TemporaryFolder temporary;
  Recorder recorder(record_folder + "/record.txt");
  // Threads of its own use it until the process ends.
  Store& store = *new Store;
  if (!store.Start())
    return 2;
  Json manifest = MakeEngineManifest(2);
  Json small_route = manifest["routes"][0];
  manifest["routes"][0]["service"] = "big";
  small_route["service"] = "small";
  small_route["name"] = "small";
  small_route["path_prefix"] = "/small/";
  manifest["routes"].push_back(small_route);
  manifest["services"] =
      Json::array({MakeService("big", kBigLayers, "a100", kBigMb),
                   MakeService("small", kSmallLayers, "t4", kSmallMb)});
  store.Put("keyed.op", "config", manifest.dump());
  const std::string trace = temporary.path() + "/engines.txt";
  std::vector<Server> servers;
  const auto start = [&](const std::string& service, const std::string& type,
                         int size_mb, int port) {
    Server server;
    server.id = service + '-' + std::to_string(servers.size());
    server.port = port;
    server.pid = StartProgram(
        {root + "/review/build/engine", "--id", server.id, "--port",
         std::to_string(port), "--store", std::to_string(store.port()),
         "--trace", trace, "--service", service, "--type", type, "--max_layers",
         std::to_string(size_mb / kLayerMb), "--register_after_ms",
         std::to_string(kRegisterAfterMs), "--load_ms_per_layer",
         std::to_string(kLoadMsPerLayer)},
        {}, temporary.path() + "/engines.out");
    recorder.Write("started " + server.id + " at port " + std::to_string(port) +
                   ", size_mb " + std::to_string(size_mb));
    servers.push_back(server);
  };
  for (int it = 0; it < kBigServers; ++it)
    start("big", "a100", kBigMb, FreePort());
  for (int it = 0; it < kSmallServers; ++it)
    start("small", "t4", kSmallMb, FreePort());
  EntryProcess entry({root, temporary.path(), "edge-1", store.port(), 0, {}});
  entry.Start();
  if (!entry.WaitReady(10'000))
    return 2;
  const int64_t order_deadline = NowMs() + 15'000;
  bool is_ordered = false;
  while (!is_ordered && NowMs() < order_deadline) {
    SleepMs(20);
    for (const EngineEvent& it : ReadEvents(trace))
      is_ordered |= it.engine == servers[0].id;
  }
  if (!is_ordered)
    return 2;
  SleepMs(kCrashAfterOrderMs);
  int port = FreePort();
  if (trouble) {
    recorder.Write("crash of " + servers[0].id);
    kill(servers[0].pid, SIGKILL);
    waitpid(servers[0].pid, nullptr, 0);
    servers[0].pid = -1;
    port = servers[0].port;
  }
  SleepMs(kReuseAfterMs);
  start("small", "t4", kSmallMb, port);
  SleepMs(kObservedMs);
  bool broken = false;
  for (const EngineEvent& it : ReadEvents(trace)) {
    recorder.Write("at " + std::to_string(recorder.Since(it.at_ms)) + " " +
                   it.engine + " " + it.what);
    broken |= it.what.find("OVER-SIZE") != std::string::npos;
  }
  for (const Server& it : servers) {
    if (it.pid <= 0)
      continue;
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
  }
  const std::string result =
      broken ? "a server was ordered to hold more layers than its size_mb "
               "holds; BROKEN"
             : "all orders fitted their servers; held";
  recorder.Write(result);
  std::cout << result << std::endl;
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::_Exit(argc < 3 ? 2 : Play(argv[1], argv[2]));
}
