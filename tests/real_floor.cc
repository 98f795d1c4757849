#include "real_floor.h"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "bbv_config/bbv_config.h"
#include "bbv_node/caller_authentication.h"
#include "bbv_node/tokenizer.h"
#include "free_port.h"
#include "standins/reference_model.h"

namespace bbv {
namespace {

using nlohmann::json;

constexpr char kModel[] = "assistant";
constexpr char kVersion[] = "v1";
constexpr char kPeerKey[] = "test-peer-key-0001";
constexpr char kOperatorKey[] = "test-operator-key";
constexpr int kWaitMs = 20'000;
constexpr int kPollMs = 20;

std::string AccountKey(int account) {
  return "key-of-account-" + std::to_string(account);
}

std::string Flag(const std::string& name, const std::string& value) {
  return "--" + name + "=" + value;
}

std::string Flag(const std::string& name, int value) {
  return Flag(name, std::to_string(value));
}

// Asks the kernel for a port that is free now.
template <typename Done>
bool Poll(Done done) {
  for (int it = 0; it < kWaitMs / kPollMs; ++it) {
    if (done())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  return false;
}

// Takes the events out of a stream as they come.
class EventReader {
 public:
  EventReader(CompletionAnswer* answer, int stop_after)
      : answer_(answer), stop_after_(stop_after) {}

  // False when the caller has had enough.
  bool Take(const char* data, std::size_t n) {
    buffer_.append(data, n);
    for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos;
         end = buffer_.find("\n\n")) {
      TakeEvent(buffer_.substr(0, end));
      buffer_.erase(0, end + 2);
      if (stop_after_ > 0 && ++events_ >= stop_after_)
        return false;
    }
    return true;
  }

 private:
  void TakeEvent(const std::string& event) {
    std::istringstream lines(event);
    for (std::string line; std::getline(lines, line);) {
      if (line == "data: [DONE]") {
        answer_->whole = true;
      } else if (line.starts_with("id: ")) {
        answer_->last_event_id = std::stoi(line.substr(4));
      } else if (line.starts_with("data: ")) {
        const json body = json::parse(line.substr(6));
        if (body.contains("choices"))
          answer_->text += body["choices"][0]["text"].get<std::string>();
        else
          answer_->outcome = body["error"]["outcome"].get<std::string>();
      }
    }
  }

  CompletionAnswer* answer_;
  int stop_after_;
  int events_ = 0;
  std::string buffer_;
};

}  // namespace

RealFloor::RealFloor(const Shape& shape) : shape_(shape) {
  char path[] = "/tmp/bbv-floor-XXXXXX";
  folder_ = mkdtemp(path);
  AddStandin("log", {Flag("role", "log")});
  AddStandin("instances", {Flag("role", "instances")});
  AddStandin("weights", {Flag("role", "weights"), Flag("interval_ms", 10)});
  for (int stage = 0; stage < shape.stages; ++stage) {
    for (int replica = 0; replica < shape.replicas; ++replica)
      AddEngine(stage, replica);
  }
  for (int it = 0; it < shape.services; ++it)
    AddService(it);
  for (int it = 0; it < shape.entries; ++it)
    AddNode("e" + std::to_string(it), "entry", "zone-0", "");
  for (const char* first : {"log", "instances", "weights"})
    Start(first);
  for (const auto& [name, process] : processes_) {
    if (process.pid < 0)
      Start(name);
  }
  started_ = Configure();
}

RealFloor::~RealFloor() {
  for (const auto& [name, process] : processes_) {
    if (process.pid > 0) {
      kill(process.pid, SIGKILL);
      kill(process.pid, SIGCONT);
      waitpid(process.pid, nullptr, 0);
    }
  }
  std::error_code ec;
  if (std::getenv("BBV_KEEP") == nullptr)
    std::filesystem::remove_all(folder_, ec);
}

int RealFloor::TakePort(const std::string& what) {
  return ports_[what] = FreePort();
}

void RealFloor::AddStandin(const std::string& name,
                           std::vector<std::string> arguments) {
  const std::string program = std::string(BBV_BINARY_DIR) + "/bbv_standin";
  arguments.insert(arguments.begin(), program);
  arguments.push_back(Flag("port", TakePort(name)));
  arguments.push_back(Flag("trace", folder_ + "/" + name + ".trace"));
  processes_[name] = {std::move(arguments)};
}

void RealFloor::AddNode(const std::string& name,
                        const std::string& role,
                        const std::string& zone,
                        const std::string& target) {
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream file(path);
  const auto address = [](int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  file << "[node]\nname = \"" << name << "\"\nrole = \"" << role
       << "\"\nzone = \"" << zone
       << "\"\nstop_timeout_ms = " << shape_.stop_timeout_ms
       << "\n[http]\nthreads = " << (role == "entry" ? 512 : 8)
       << "\naddress = " << address(TakePort(name + ".http"))
       << "operator_key = \"" << kOperatorKey
       << "\"\nrequest_timeout_ms = " << shape_.request_timeout_ms
       << "\n[peers]\naddress = " << address(TakePort(name + ".peer"))
       << "key = \"" << kPeerKey
       << "\"\n[platform]\nlog = " << address(ports_["log"])
       << "instances = " << address(ports_["instances"])
       << "log_timeout_ms = 1000\n[log]\nlevel = \"info\"\ntrace_file = \""
       << folder_ << "/spans.jsonl\"\n"
       << target;
  processes_[name] = {{std::string(BBV_BINARY_DIR) + "/bluebellvalved",
                       Flag("settings", path)}};
}

void RealFloor::AddEngine(int stage, int replica) {
  const std::string target =
      "t" + std::to_string(stage) + "-" + std::to_string(replica);
  const std::string zone = "zone-" + std::to_string(replica);
  const int span = shape_.layers / shape_.stages;
  const int first = stage * span;
  const int end = stage + 1 == shape_.stages ? shape_.layers : first + span;
  AddStandin("engine-" + target,
             {Flag("role", "engine"), Flag("layers", shape_.layers),
              Flag("first_layer", first), Flag("end_layer", end),
              Flag("step_us", shape_.step_us * (1 + replica)),
              Flag("token_us", shape_.token_us),
              Flag("weights_port", ports_["weights"])});
  AddNode("side-" + target, "side", zone,
          "[target]\nname = \"" + target +
              "\"\nkind = \"engine\"\ntimeout_ms = 3000\nmaximum_running = " +
              std::to_string(shape_.maximum_running) +
              "\naddress = \"127.0.0.1:" +
              std::to_string(ports_["engine-" + target]) + "\"\n");
  configuration_ += "[target." + target + "]\naddress = \"127.0.0.1:" +
                    std::to_string(ports_["side-" + target + ".peer"]) +
                    "\"\nzone = \"" + zone + "\"\nmodel = \"" + kModel +
                    "\"\nfirst_layer = " + std::to_string(first) +
                    "\nend_layer = " + std::to_string(end) +
                    "\nspeed = " + std::to_string(200 / (1 + replica)) + "\n";
}

void RealFloor::AddService(int number) {
  const std::string target = "s" + std::to_string(number);
  const std::string zone = "zone-" + std::to_string(number);
  AddStandin("service-" + target, {Flag("role", "service")});
  AddNode("side-" + target, "side", zone,
          "[target]\nname = \"" + target +
              "\"\nkind = \"service\"\nservice = \"booking\"\n"
              "timeout_ms = 3000\naddress = \"127.0.0.1:" +
              std::to_string(ports_["service-" + target]) + "\"\n");
  configuration_ += "[target." + target + "]\naddress = \"127.0.0.1:" +
                    std::to_string(ports_["side-" + target + ".peer"]) +
                    "\"\nzone = \"" + zone + "\"\nservice = \"booking\"\n";
}

void RealFloor::Start(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string output = folder_ + "/" + name + ".out";
  std::vector<char*> arguments;
  for (std::string& argument : process.arguments)
    arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  process.pid = fork();
  if (process.pid != 0)
    return;
  if (std::freopen(output.c_str(), "a", stdout) != nullptr)
    dup2(STDOUT_FILENO, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  std::_Exit(127);
}

void RealFloor::Signal(const std::string& name, int signal) {
  Process& process = processes_.at(name);
  if (process.pid <= 0)
    return;
  kill(process.pid, signal);
  if (signal == SIGKILL)
    WaitForExit(name);
}

int RealFloor::WaitForExit(const std::string& name) {
  Process& process = processes_.at(name);
  int status = 0;
  waitpid(process.pid, &status, 0);
  process.pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

pid_t RealFloor::PidOf(const std::string& name) const {
  return processes_.at(name).pid;
}

std::vector<std::string> RealFloor::ProcessNames() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_)
    names.push_back(name);
  return names;
}

bool RealFloor::Configure() {
  const std::string path = folder_ + "/configuration.toml";
  {
    std::ofstream file(path);
    for (int it = 0; it < shape_.accounts; ++it) {
      file << "[account.account-" << it << "]\nkey_sha256 = \""
           << Sha256Hexadecimal(AccountKey(it)) << "\"\n";
    }
    file << "[model." << kModel << "]\nlayers = " << shape_.layers
         << "\nversion = \"" << kVersion
         << "\"\n[service.booking]\nidempotent = [\"GET /\"]\n"
         << configuration_;
  }
  SettingsFaults faults;
  const Configuration wanted = LoadConfigurationFile(path, &faults);
  for (const SettingsFault& fault : faults)
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  json entities = json::array();
  for (const EntityChange& change : wanted.ToChanges()) {
    entities.push_back({{"kind", kEntityKindNames.Name(change.key.kind)},
                        {"name", change.key.name},
                        {"value", change.value}});
  }
  if (!faults.empty() || !WaitReady("e0"))
    return false;
  const auto plan = Operate(0, "POST", "/operator/plans",
                            json{{"entities", entities}}.dump());
  if (!plan || plan->status != 200)
    return false;
  const std::string id = json::parse(plan->body)["plan"];
  const auto confirmed =
      Operate(0, "POST", "/operator/plans/" + id + "/confirm", "");
  if (!confirmed || confirmed->status != 200)
    return false;
  for (int it = 0; it < shape_.entries; ++it) {
    if (shape_.stages > 0 && !WaitServing(it))
      return false;
    if (shape_.services > 0 && !WaitCalling(it))
      return false;
  }
  return true;
}

bool RealFloor::WaitReady(const std::string& name) {
  return Poll([&] {
    httplib::Client client("127.0.0.1", ports_.at(name + ".http"));
    const auto response = client.Get("/readyz");
    return response && response->status == 200;
  });
}

bool RealFloor::WaitServing(int entry) {
  return Poll([&] { return Complete(entry, 0, "ready?", 2, false).whole; });
}

bool RealFloor::WaitCalling(int entry) {
  // Enough keys that each service is the home of some.
  constexpr int kKeys = 8;
  for (int it = 0; it < kKeys; ++it) {
    const std::string key = "ready-" + std::to_string(it);
    const bool served = Poll([&] {
      const auto response = Call(entry, 0, "POST", "/bookings", "", key);
      return response && response->status == 200;
    });
    if (!served)
      return false;
  }
  return true;
}

bool RealFloor::Control(const std::string& name, const std::string& body) {
  httplib::Client client("127.0.0.1", ports_.at(name));
  const auto response = client.Post("/control", body, "application/json");
  return response && response->status == 200;
}

httplib::Headers RealFloor::AccountHeaders(int account) const {
  return {{"Authorization", "Bearer " + AccountKey(account)}};
}

CompletionAnswer RealFloor::Complete(int entry,
                                     int account,
                                     const std::string& prompt,
                                     int tokens,
                                     bool stream,
                                     const httplib::Headers& headers,
                                     int stop_after) {
  httplib::Client client("127.0.0.1",
                         ports_.at("e" + std::to_string(entry) + ".http"));
  client.set_read_timeout(std::chrono::seconds(60));
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = AccountHeaders(account);
  request.headers.insert(headers.begin(), headers.end());
  request.body = json{
      {"model", kModel},
      {"prompt", prompt},
      {"max_tokens", tokens},
      {"stream",
       stream}}.dump();
  CompletionAnswer answer;
  EventReader reader(&answer, stop_after);
  const auto take_headers = [&](const httplib::Response& response) {
    answer.status = response.status;
    answer.outcome = response.get_header_value("Bluebellvalve-Outcome");
    answer.retry_after = response.get_header_value("Retry-After");
    answer.request_id = response.get_header_value("Bluebellvalve-Request-Id");
  };
  if (stream) {
    request.response_handler = [&](const httplib::Response& response) {
      take_headers(response);
      return response.status == 200;
    };
    request.content_receiver = [&](const char* data, std::size_t n, uint64_t,
                                   uint64_t) { return reader.Take(data, n); };
  }
  const auto response = client.send(request);
  if (!response)
    return answer;
  take_headers(*response);
  if (!stream && response->status == 200) {
    answer.text = json::parse(response->body)["choices"][0]["text"];
    answer.whole = true;
  }
  return answer;
}

httplib::Result RealFloor::Call(int entry,
                                int account,
                                const std::string& method,
                                const std::string& path,
                                const std::string& body,
                                const std::string& key) {
  httplib::Client client("127.0.0.1",
                         ports_.at("e" + std::to_string(entry) + ".http"));
  client.set_read_timeout(std::chrono::seconds(60));
  httplib::Request request;
  request.method = method;
  request.path = "/services/booking" + path;
  request.headers = AccountHeaders(account);
  if (!key.empty())
    request.set_header("Idempotency-Key", key);
  request.body = body;
  return client.send(request);
}

httplib::Result RealFloor::Operate(int entry,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body) {
  httplib::Client client("127.0.0.1",
                         ports_.at("e" + std::to_string(entry) + ".http"));
  client.set_read_timeout(std::chrono::seconds(30));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.set_header("Authorization", std::string("Bearer ") + kOperatorKey);
  request.body = body;
  return client.send(request);
}

std::string RealFloor::Metrics(const std::string& name) {
  httplib::Client client("127.0.0.1", ports_.at(name + ".http"));
  const auto response = client.Get("/metrics");
  return response ? response->body : "";
}

std::map<std::string, int> RealFloor::ServiceRuns() const {
  std::map<std::string, int> runs;
  for (const auto& [name, process] : processes_) {
    if (!name.starts_with("service-"))
      continue;
    std::ifstream file(folder_ + "/" + name + ".trace");
    for (std::string id; std::getline(file, id);)
      ++runs[id];
  }
  return runs;
}

std::vector<std::string> RealFloor::EngineTraceFaults() const {
  // For each attempt's position, how often each layer ran.
  std::map<std::string, std::vector<int>> runs;
  std::vector<std::string> faults;
  for (const auto& [name, process] : processes_) {
    if (!name.starts_with("engine-"))
      continue;
    std::ifstream file(folder_ + "/" + name + ".trace");
    std::string id;
    std::string attempt;
    int position = 0;
    int count = 0;
    int first = 0;
    int end = 0;
    while (file >> id >> attempt >> position >> count >> first >> end) {
      for (int it = position; it < position + count; ++it) {
        std::string key = id;
        key.append(" attempt ").append(attempt).append(" position ");
        key.append(std::to_string(it));
        auto& layers = runs[key];
        layers.resize(shape_.layers, 0);
        for (int layer = first; layer < end; ++layer)
          ++layers[layer];
      }
    }
  }
  for (const auto& [key, layers] : runs) {
    for (int layer = 0; layer < shape_.layers; ++layer) {
      if (layers[layer] > 1)
        faults.push_back(key + ": layer " + std::to_string(layer) + " ran " +
                         std::to_string(layers[layer]) + " times");
      if (layer > 0 && layers[layer] > layers[layer - 1])
        faults.push_back(key + ": layer " + std::to_string(layer) +
                         " ran without the one before");
    }
  }
  return faults;
}

std::string RealFloor::ExpectedText(const std::string& prompt,
                                    int tokens) const {
  std::string text;
  for (const uint64_t token :
       standins::Generate(standins::WeightsOf(kModel, kVersion), shape_.layers,
                          EncodeText(prompt), tokens))
    text += DecodeToken(token);
  return text;
}

}  // namespace bbv
