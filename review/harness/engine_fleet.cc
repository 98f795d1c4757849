#include "engine_fleet.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace review {

EngineFleet::EngineFleet(Options options) : options_(std::move(options)) {
  rows_.resize(options_.engines);
  for (Row& it : rows_)
    it.port = FreePort();
}

EngineFleet::~EngineFleet() {
  stopping_ = true;
  if (watcher_.joinable())
    watcher_.join();
  for (const Row& it : rows_) {
    if (it.pid <= 0)
      continue;
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
  }
}

void EngineFleet::Start() {
  for (Row& it : rows_)
    StartEngine(&it);
  watcher_ = std::thread([this] { Watch(); });
}

void EngineFleet::StartEngine(Row* row) {
  std::vector<std::string> words = {options_.program,
                                    "--id",
                                    "i-" + std::to_string(next_id_++),
                                    "--port",
                                    std::to_string(row->port),
                                    "--store",
                                    std::to_string(options_.store_port),
                                    "--trace",
                                    options_.folder + "/engines.txt"};
  words.insert(words.end(), options_.arguments.begin(),
               options_.arguments.end());
  row->pid = StartProgram(words, {}, options_.folder + "/engines.out");
  row->restart_at_ms = 0;
}

void EngineFleet::Watch() {
  while (!stopping_) {
    for (Row& it : rows_) {
      if (it.pid > 0 && waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
        it.pid = -1;
        it.restart_at_ms = NowMs() + options_.restart_ms;
      }
      if (it.pid < 0 && NowMs() >= it.restart_at_ms)
        StartEngine(&it);
    }
    SleepMs(5);
  }
}

std::vector<EngineEvent> EngineFleet::Events() const {
  std::ifstream file(options_.folder + "/engines.txt");
  std::vector<EngineEvent> events;
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    EngineEvent event;
    words >> event.at_ms >> event.engine;
    std::getline(words >> std::ws, event.what);
    events.push_back(std::move(event));
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  return events;
}

Json MakeEngineManifest(int max_attempts) {
  const Json route = {{"name", "draft"},
                      {"host", "fleet.example"},
                      {"path_prefix", "/draft/"},
                      {"type", "streaming"},
                      {"resumable", true},
                      {"sticky", true},
                      {"service", "engine"},
                      {"timeout_ms", 20000},
                      {"slo_ms", 500},
                      {"gap_target_ms", 200},
                      {"priority", 1},
                      {"max_attempts", max_attempts}};
  const Json engine = {
      {"layers", 1},
      {"layer_mb", 8000},
      {"kv_bytes", 1000},
      {"step_ms", 1.0},
      {"read_per_s", 100000.0},
      {"stride", 2},
      {"slots", 64},
      {"loads_at_once", 4},
      {"models", Json::array({{{"name", "m0"}, {"load_s", 0.1}}})},
      {"usual", {{"prompt", 100}, {"answer", 60}}},
      {"kinds", Json::array({{{"name", "card"},
                              {"size_mb", 16000},
                              {"pace", 1.0},
                              {"read_factor", 1.0}}})}};
  return {{"version", 1},
          {"routes", Json::array({route})},
          {"services", Json::array({{{"name", "engine"}, {"engine", engine}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

Message SendStream(int port,
                   const std::string& id,
                   const std::string& parts,
                   int64_t time_limit_ms) {
  Message answer;
  const auto socket = Socket::Connect(port);
  if (socket == nullptr)
    return answer;
  const std::string request =
      "POST /draft/x HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: " + id +
      "\r\nX-Model: m0\r\nX-Token-Counts: 109,60\r\nX-Prefix-Hash: " + parts +
      "\r\nX-Deadline-Ms: " + std::to_string(time_limit_ms) +
      "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
  if (!socket->Write(request) ||
      !socket->ReadMessage(&answer, true, NowMs() + time_limit_ms)) {
    answer = {};
  }
  return answer;
}

StreamSender::StreamSender(Options options)
    : state_(std::make_shared<State>()) {
  state_->options = std::move(options);
  thread_ = std::thread([state = state_] {
    const int64_t begin_ms = NowMs();
    while (!state->stopping) {
      const int n = state->sent++;
      ++state->open;
      std::thread([state, n] { SendOne(state.get(), n); }).detach();
      const int64_t next_ms = begin_ms + (n + 1) * state->options.interval_ms;
      while (!state->stopping && NowMs() < next_ms)
        SleepMs(2);
    }
  });
}

void StreamSender::SendOne(State* state, int n) {
  constexpr int64_t kTimeLimitMs = 20'000;
  const Options& options = state->options;
  const std::string id = options.name + '-' + std::to_string(n);
  const std::string prompt = options.parts(n);
  std::string line = "sent " + id;
  line += " parts " + prompt;
  options.recorder->Write(line);
  const std::size_t entry = static_cast<std::size_t>(n) % options.ports.size();
  const Message answer =
      SendStream(options.ports[entry], id, prompt, kTimeLimitMs);
  state->served += answer.status() == 200 ? 1 : 0;
  options.recorder->Write("answered " + id + " status " +
                          std::to_string(answer.status()));
  --state->open;
}

StreamSender::~StreamSender() {
  constexpr int64_t kLastAnswersMs = 5000;
  state_->stopping = true;
  thread_.join();
  const int64_t deadline_ms = NowMs() + kLastAnswersMs;
  while (state_->open > 0 && NowMs() < deadline_ms)
    SleepMs(5);
}

}  // namespace review
