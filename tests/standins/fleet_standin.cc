#include "standins/fleet_standin.h"

#include <openssl/evp.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace bbv::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kThreads = 64;
constexpr int kGroupTtlMs = 3000;
constexpr int kHeartbeatIntervalMs = 100;
constexpr int kSilencePollMs = 5;
constexpr int kLayerMb = 1000;
constexpr int kAcceleratorMb = 4000;

std::string Base64(const std::string& text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

void AppendBigEndian(uint64_t value, int bytes, std::string* out) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out->push_back(static_cast<char>((value >> shift) & 0xffU));
}

void SetJson(const Json& json, httplib::Response* response) {
  // Keys may hold bytes that are not UTF-8.
  response->set_content(
      json.dump(-1, ' ', false, Json::error_handler_t::replace),
      "application/json");
}

void ConfigureServer(httplib::Server* server) {
  server->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server->set_tcp_nodelay(true);
  server->set_keep_alive_max_count(100'000);
  server->set_keep_alive_timeout(20);
}

// Whether a prompt's parts, such as "a:800,b:410", hold `part` before the last.
bool HoldsDeadlyPart(const std::string& parts, const std::string& part) {
  const std::size_t last = parts.rfind(',');
  if (part.empty() || last == std::string::npos)
    return false;
  return (',' + parts.substr(0, last)).find(',' + part + ':') !=
         std::string::npos;
}

int64_t NowUnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

FleetStore::FleetStore() {
  ConfigureServer(&server_);
  server_.set_pre_routing_handler([this](const auto& request, auto& response) {
    {
      const std::lock_guard lock(mutex_);
      ++call_counts_[request.path + ' ' + request.get_param_value("topic")];
    }
    response.set_header("Store-Era", std::to_string(era_));
    if (!outage_)
      return httplib::Server::HandlerResponse::Unhandled;
    response.status = 503;
    return httplib::Server::HandlerResponse::Handled;
  });
  const auto bind = [this](auto method) {
    return [this, method](const httplib::Request& request,
                          httplib::Response& response) {
      (this->*method)(request, response);
    };
  };
  server_.Get("/v1/log-newest", bind(&FleetStore::HandleNewest));
  server_.Get("/v1/log-read", bind(&FleetStore::HandleRead));
  server_.Post("/v1/log-append", bind(&FleetStore::HandleAppend));
  server_.Post("/v1/log-join", bind(&FleetStore::HandleJoin));
  server_.Post("/v1/log-leave", [this](const auto& request, auto&) {
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    if (group_holder_ == body["member"].template get<std::string>())
      group_holder_.clear();
  });
}

FleetStore::~FleetStore() {
  server_.stop();
  appended_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

bool FleetStore::Start(int port) {
  if (port == 0)
    port_ = server_.bind_to_any_port("127.0.0.1");
  else if (server_.bind_to_port("127.0.0.1", port))
    port_ = port;
  if (port_ <= 0)
    return false;
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return true;
}

void FleetStore::Put(const std::string& topic,
                     const std::string& key,
                     const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    topics_[topic].records.push_back(
        {key, value, std::chrono::steady_clock::now()});
  }
  appended_.notify_all();
}

std::map<std::string, int> FleetStore::CallCounts() {
  const std::lock_guard lock(mutex_);
  return call_counts_;
}

void FleetStore::RestoreBackup(milliseconds age) {
  {
    const std::lock_guard lock(mutex_);
    const auto taken_at = std::chrono::steady_clock::now() - age;
    for (auto& [name, topic] : topics_) {
      std::erase_if(topic.records,
                    [taken_at](const Record& it) { return it.at > taken_at; });
    }
    group_holder_.clear();
    generation_ = 0;
    ++era_;
  }
  appended_.notify_all();
}

void FleetStore::Compact(const std::string& topic) {
  const std::lock_guard lock(mutex_);
  Topic& it = topics_[topic];
  std::map<std::string, std::string> newest;
  for (const Record& record : it.records)
    newest[record.key] = record.value;
  it.first += static_cast<int64_t>(it.records.size());
  it.records.clear();
  for (const auto& [key, value] : newest) {
    if (!value.empty())
      it.records.push_back({key, value, std::chrono::steady_clock::now()});
  }
}

void FleetStore::HandleNewest(const httplib::Request& request,
                              httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  const Topic& topic = topics_[request.get_param_value("topic")];
  std::map<std::string, std::pair<std::string, int64_t>> newest;
  int64_t offset = topic.first;
  for (const Record& it : topic.records)
    newest[it.key] = {it.value, offset++};
  std::erase_if(newest, [](const auto& it) { return it.second.first.empty(); });
  const int page_size = page_size_;
  Json items = Json::array();
  auto it = newest.upper_bound(request.get_param_value("after"));
  for (; it != newest.end(); ++it) {
    if (page_size > 0 && static_cast<int>(items.size()) == page_size)
      break;
    items.push_back({{"key", it->first},
                     {"value", Base64(it->second.first)},
                     {"offset", it->second.second}});
  }
  SetJson({{"items", items},
           {"more_pages", it != newest.end()},
           {"end_offset", offset}},
          &response);
}

void FleetStore::HandleRead(const httplib::Request& request,
                            httplib::Response& response) {
  std::unique_lock lock(mutex_);
  Topic& topic = topics_[request.get_param_value("topic")];
  const int64_t from = std::stoll(request.get_param_value("from"));
  const auto end = [&] {
    return topic.first + static_cast<int64_t>(topic.records.size());
  };
  if (from < topic.first || from > end()) {
    response.status = 410;
    SetJson({{"first_offset", topic.first}}, &response);
    return;
  }
  if (request.has_param("wait_ms")) {
    appended_.wait_for(
        lock, milliseconds(std::stoi(request.get_param_value("wait_ms"))),
        [&] { return end() > from || outage_ || end() < from; });
  }
  // The store may have been restored from a backup during the wait.
  response.headers.erase("Store-Era");
  response.set_header("Store-Era", std::to_string(era_));
  if (end() < from) {
    response.status = 410;
    return;
  }
  std::string body;
  AppendBigEndian(static_cast<uint64_t>(end()), 8, &body);
  AppendBigEndian(static_cast<uint64_t>(topic.first), 8, &body);
  for (int64_t it = from; it < end(); ++it) {
    const Record& record = topic.records[it - topic.first];
    AppendBigEndian(1 + record.key.size() + record.value.size(), 4, &body);
    body.push_back(static_cast<char>(record.key.size()));
    body += record.key + record.value;
  }
  response.set_content(body, "application/octet-stream");
}

void FleetStore::HandleAppend(const httplib::Request& request,
                              httplib::Response& response) {
  const std::string& body = request.body;
  const std::size_t key_length = static_cast<uint8_t>(body.at(4));
  Put(request.get_param_value("topic"), body.substr(5, key_length),
      body.substr(5 + key_length));
  SetJson({{"offset", 0}, {"end_offset", 1}}, &response);
}

void FleetStore::HandleJoin(const httplib::Request& request,
                            httplib::Response& response) {
  const Json body = Json::parse(request.body);
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (group_holder_.empty() || now >= group_until_) {
    group_holder_ = body["member"].get<std::string>();
    ++generation_;
  }
  if (group_holder_ == body["member"].get<std::string>())
    group_until_ = now + milliseconds(body.value("ttl_ms", kGroupTtlMs));
  Json parts = Json::array();
  if (group_holder_ == body["member"].get<std::string>())
    parts.push_back(Json::array({body["topics"][0], 0, 0}));
  SetJson({{"generation", generation_}, {"ttl_ms", 3000}, {"parts", parts}},
          &response);
}

// An engine or a plain service.
struct FleetTargets::Target {
  std::string id;
  std::string service;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
  int port = 0;
  // Injects connection faults in front of the port if targets are proxied.
  FaultProxy proxy;
  int listed_port = 0;
  bool engine = false;
  int64_t born = 0;
  std::atomic<bool> crashed{false};
  std::atomic<bool> announces_leaving{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> unlisted{false};
  std::atomic<bool> endless{false};
  // Not changed any more once `endless` is set.
  std::string endless_piece;
  std::atomic<int> answer_delay_ms{0};
  std::atomic<int> requests{0};
  std::atomic<int> calls{0};
  // Retry-After value of the 503 responses; empty while the target serves.
  std::string retry_after;
  // Until when the target is silent. Guarded by the owner's mutex.
  std::chrono::steady_clock::time_point silent_until;
  // Until when it answers no report request. Guarded by the owner's mutex.
  std::chrono::steady_clock::time_point reports_silent_until;
  // Rate limit that the target names; empty if it names none.
  std::string rate_limit;
  // When requests arrived.
  std::vector<std::chrono::steady_clock::time_point> arrivals;
  // Era of the store when the record was last checked for publication.
  int64_t listed_era = 0;
  // Guarded by the owner's mutex.
  std::optional<std::pair<int, int>> layers;
  // Layers given up by the last order; active streams go on using them.
  std::optional<std::pair<int, int>> released_layers;
  int orders = 0;
  int heartbeat = 0;
  // The last record without the heartbeat number.
  std::string listed;
};

FleetTargets::FleetTargets(FleetStore* store, Options options)
    : store_(store), options_(std::move(options)) {
  for (int it = 0; it < options_.engines + options_.services; ++it) {
    auto target = std::make_unique<Target>();
    target->engine = it < options_.engines;
    target->id = (target->engine ? "engine-" : "plain-") + std::to_string(it);
    target->service = target->engine ? "engine" : "plain";
    target->born = NowUnixMs();
    target->server = MakeServer(target.get());
    targets_.push_back(std::move(target));
  }
}

std::unique_ptr<httplib::Server> FleetTargets::MakeServer(Target* target) {
  auto server = std::make_unique<httplib::Server>();
  ConfigureServer(server.get());
  // A server ends only after its idle connections.
  if (!options_.deadly_part.empty() || !options_.deadly_path.empty())
    server->set_keep_alive_timeout(1);
  const auto handle = [this, target](const httplib::Request& request,
                                     httplib::Response& response) {
    if (HandleInjectedFault(target, request, response))
      return;
    if (target->engine)
      HandleEngine(target, request, response);
    else
      HandlePlainCall(target, request, response);
  };
  server->Get(".*", handle);
  server->Post(".*", handle);
  return server;
}

FleetTargets::~FleetTargets() {
  stopping_ = true;
  if (heartbeats_.joinable())
    heartbeats_.join();
  std::vector<std::thread> restarts;
  {
    const std::lock_guard lock(mutex_);
    restarts = std::move(restarts_);
  }
  for (std::thread& it : restarts)
    it.join();
  for (const auto& it : targets_) {
    it->crashed = true;
    it->server->stop();
    if (it->thread.joinable())
      it->thread.join();
  }
}

bool FleetTargets::Start() {
  for (const auto& it : targets_) {
    it->port = it->server->bind_to_any_port("127.0.0.1");
    if (it->port <= 0 || (options_.proxied && !it->proxy.Start(it->port)))
      return false;
    it->listed_port = options_.proxied ? it->proxy.port() : it->port;
    it->thread = std::thread(
        [server = it->server.get()] { server->listen_after_bind(); });
  }
  heartbeats_ = std::thread([this] { Heartbeat(); });
  return true;
}

void FleetTargets::Heartbeat() {
  while (!stopping_) {
    for (const auto& it : targets_) {
      bool silent = false;
      {
        const std::lock_guard lock(mutex_);
        silent = IsSilent(*it);
      }
      if (!it->crashed && !silent)
        PublishRecord(it.get());
    }
    std::this_thread::sleep_for(milliseconds(kHeartbeatIntervalMs));
  }
}

void FleetTargets::PublishRecord(Target* target) {
  const std::lock_guard lock(mutex_);
  if (target->unlisted)
    return;
  Json record = {
      {"service", target->service},
      {"address", "127.0.0.1:" + std::to_string(target->listed_port)},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", target->draining ? "draining" : "ready"},
      {"born", target->born}};
  if (target->engine)
    record["type"] = options_.accelerator;
  if (target->layers) {
    record["layers"] = {{"from", target->layers->first},
                        {"target_version", target->layers->second}};
  }
  // A record is only published if more than the heartbeat number has changed.
  ++target->heartbeat;
  const std::string listed = record.dump();
  const bool again =
      std::exchange(target->listed_era, store_->era()) != store_->era();
  if (std::exchange(target->listed, listed) == listed && !again)
    return;
  record["sequence"] = target->heartbeat;
  store_->Put("keyed.servers", target->id, record.dump());
}

std::string FleetTargets::MakeConfiguration(int version) const {
  const auto route = [this](const char* name, const char* type,
                            const char* service) {
    return Json{{"name", name},
                {"host", "fleet.example"},
                {"path_prefix", std::string("/") + name + "/"},
                {"type", type},
                {"service", service},
                {"timeout_ms", options_.timeout_ms},
                {"slo_ms", 500},
                {"priority", 1},
                {"max_attempts", options_.max_attempts},
                {"resumable", std::string(name) == "stream"}};
  };
  const Json engine = {
      {"layers", options_.layers},
      {"layer_mb", kLayerMb},
      {"kv_bytes", 1000.0 * options_.layers},
      {"step_ms", 1.0},
      {"read_per_s", 100000.0},
      {"models", Json::array({{{"name", "m"}, {"load_s", 1.0}}})},
      {"usual", {{"prompt", 100}, {"answer", 50}}},
      {"kinds", Json::array({{{"name", options_.accelerator},
                              {"size_mb", kAcceleratorMb},
                              {"pace", 1.0},
                              {"read_factor", 1.0}}})}};
  // Each version adds a route of its own to the permanent ones.
  const std::string own = "version-" + std::to_string(version);
  const Json configuration = {
      {"version", version},
      {"routes", Json::array({route("stream", "streaming", "engine"),
                              route("once", "streaming", "engine"),
                              route("safe", "safe", "plain"),
                              route("unsafe", "unsafe", "plain"),
                              route("feed", "streaming", "plain"),
                              route(own.c_str(), "safe", "plain")})},
      {"services", Json::array({{{"name", "engine"}, {"engine", engine}},
                                {{"name", "plain"}}})},
      {"limits", {{"max_body_bytes", 100000}}},
      {"tenants", Json::array({{{"name", "account"}, {"api_keys", {"key"}}}})}};
  return configuration.dump();
}

std::string FleetTargets::FindPathFault(const std::string& path,
                                        const std::string& running) {
  const auto holds = [](const std::optional<std::pair<int, int>>& layers,
                        int from, int to) {
    return layers && layers->first <= from && to <= layers->second;
  };
  std::istringstream parts(path);
  for (std::string part; std::getline(parts, part, ',');) {
    std::string address = part.substr(0, part.find('='));
    const std::string range = part.substr(part.find('=') + 1);
    const int from = std::stoi(range);
    const int to = std::stoi(range.substr(range.find('-') + 1));
    for (const auto& it : targets_) {
      if (address != "127.0.0.1:" + std::to_string(it->listed_port))
        continue;
      const bool is_running =
          (',' + running + ',').find(',' + part + ',') != std::string::npos;
      if (it->crashed ||
          (!holds(it->layers, from, to) &&
           !(is_running && holds(it->released_layers, from, to))))
        return address;
    }
  }
  return {};
}

void FleetTargets::ChangePath(const Target& target,
                              const httplib::Request& request,
                              httplib::Response& response) {
  const Json order = Json::parse(request.body);
  const std::lock_guard lock(mutex_);
  const auto stream = streams_.find({&target, order.value("id", "")});
  if (stream == streams_.end()) {
    response.status = 404;
    return;
  }
  const std::string path = order.value("path", "");
  if (const std::string fault = FindPathFault(path, *stream->second);
      !fault.empty()) {
    response.status = 409;
    SetJson({{"address", fault}}, &response);
    return;
  }
  *stream->second = path;
  ++path_changes_;
}

void FleetTargets::HandleOrder(Target* target,
                               const httplib::Request& request,
                               httplib::Response& response) {
  const Json order = Json::parse(request.body);
  if (order.value("op", "") == "repath") {
    ChangePath(*target, request, response);
    return;
  }
  const std::pair<int, int> layers = {order["from"], order["target_version"]};
  {
    const std::lock_guard lock(mutex_);
    if (target->layers == layers)
      return;
    if (order.value("precondition", target->orders) != target->orders) {
      response.status = 409;
      return;
    }
    ++target->orders;
  }
  response.status = 202;
  std::thread([this, target, layers] {
    std::this_thread::sleep_for(milliseconds(options_.load_ms));
    const std::lock_guard lock(mutex_);
    target->released_layers = std::exchange(target->layers, layers);
  }).detach();
}

void FleetTargets::HandleEngine(Target* target,
                                const httplib::Request& request,
                                httplib::Response& response) {
  if (request.path == "/v1/order") {
    HandleOrder(target, request, response);
    return;
  }
  std::unique_lock lock(mutex_);
  if (request.path == "/v1/report") {
    Json report = {{"sequence", target->orders},
                   {"busy", false},
                   {"queued", 0},
                   {"active", 0},
                   {"kv_used", 0},
                   {"pace", 1.0},
                   {"born", target->born}};
    if (target->layers) {
      report["layers"] = {{"from", target->layers->first},
                          {"target_version", target->layers->second}};
    }
    report["stalled"] = Json::array();
    for (const auto& [key, path] : streams_) {
      const std::string fault = FindPathFault(*path, *path);
      if (key.first == target && !fault.empty())
        report["stalled"].push_back({{"id", key.second}, {"address", fault}});
    }
    SetJson(report, &response);
    return;
  }
  const auto path =
      std::make_shared<std::string>(request.get_header_value("X-Hop-Count"));
  const std::string fault = FindPathFault(*path, {});
  const std::string id = request.get_header_value("X-Attempt-Id");
  response.set_header("X-Attempt-Id", id);
  if (request.get_header_value("X-Expect-Instance") != target->id ||
      !fault.empty()) {
    response.status = 503;
    response.set_header("X-Not-Executed", "1");
    response.set_header("At-Server", fault);
    return;
  }
  const bool deadly = IsDeadly(request);
  deadly_calls_ += deadly ? 1 : 0;
  ++runs_[id];
  response.set_header("X-Response-Signature", "signature-of-" + target->id);
  if (options_.failing_every > 0 &&
      target->calls % options_.failing_every == 0) {
    response.status = 500;
    response.set_content("failed", "text/plain");
    return;
  }
  if (SendResumedAnswer(request, response))
    return;
  int first = 1;
  if (request.has_header("Last-Event-Id"))
    first = std::stoi(request.get_header_value("Last-Event-Id")) + 1;
  auto next = std::make_shared<int>(first);
  const StreamKey key{target, id};
  streams_[key] = path;
  const bool cut = !options_.cut_event.empty() && first == 1;
  const auto provide = [this, target, path, next, deadly, cut](
                           std::size_t, httplib::DataSink& sink) {
    std::this_thread::sleep_for(milliseconds(options_.event_ms));
    if (deadly)
      CrashAndRestart(target);
    if (target->crashed || stopping_)
      return false;
    {
      const std::lock_guard guard(mutex_);
      // If a hop is lost, the stream stays open without sending events.
      if (!FindPathFault(*path, *path).empty() || IsPathSilent(*path))
        return true;
    }
    if (cut && *next > options_.events / 2) {
      sink.write(options_.cut_event.data(), options_.cut_event.size());
      return false;
    }
    const std::string event = "id: " + std::to_string(*next) + "\ndata: t" +
                              std::to_string(*next) +
                              std::string(options_.padding, '.') + "\n\n";
    sink.write(event.data(), event.size());
    if (++*next <= options_.events)
      return true;
    sink.done();
    // Without chunks, only the connection's end is the end of the stream.
    return !options_.close_delimited;
  };
  const auto release = [this, key, path](bool) {
    const std::lock_guard guard(mutex_);
    // The stream may have been started here again under the same id.
    const auto it = streams_.find(key);
    if (it != streams_.end() && it->second == path)
      streams_.erase(it);
  };
  if (options_.close_delimited)
    response.set_content_provider("text/event-stream", provide, release);
  else
    response.set_chunked_content_provider("text/event-stream", provide,
                                          release);
}

bool FleetTargets::SendResumedAnswer(const httplib::Request& request,
                                     httplib::Response& response) {
  const auto it = options_.resumed_answers.find(request.path);
  if (it == options_.resumed_answers.end() ||
      !request.has_header("Last-Event-Id") ||
      !resumed_.insert(request.get_header_value("X-Attempt-Id")).second)
    return false;
  const ResumedAnswer& answer = it->second;
  if (!answer.is_signed)
    response.headers.erase("X-Response-Signature");
  response.status = answer.status;
  response.set_header("Location", "/elsewhere");
  if (answer.has_length) {
    response.set_content(answer.body, answer.type);
    return true;
  }
  response.set_chunked_content_provider(
      answer.type, [this, answer](std::size_t, httplib::DataSink& sink) {
        sink.write(answer.body.data(), answer.body.size());
        while (answer.stays_open && !stopping_ && sink.is_writable())
          std::this_thread::sleep_for(milliseconds(kHeartbeatIntervalMs));
        sink.done();
        return true;
      });
  return true;
}

bool FleetTargets::IsDeadly(const httplib::Request& request) const {
  return HoldsDeadlyPart(request.get_header_value("X-Prefix-Hash"),
                         options_.deadly_part) ||
         (!options_.deadly_path.empty() &&
          request.path == options_.deadly_path);
}

bool FleetTargets::HandleInjectedFault(Target* target,
                                       const httplib::Request& request,
                                       httplib::Response& response) {
  const bool is_call = !request.path.starts_with("/v1/");
  ++target->requests;
  std::this_thread::sleep_for(milliseconds(target->answer_delay_ms));
  WaitWhileSilent(*target);
  if (request.path == "/v1/report")
    WaitForReports(*target);
  target->calls += is_call ? 1 : 0;
  if (target->announces_leaving)
    response.set_header("Server-Leaving", "1");
  {
    const std::lock_guard lock(mutex_);
    target->arrivals.push_back(std::chrono::steady_clock::now());
    if (!target->rate_limit.empty())
      response.set_header("Server-Limit", target->rate_limit);
    if (!target->retry_after.empty()) {
      if (is_call) {
        response.set_header("X-Attempt-Id",
                            request.get_header_value("X-Attempt-Id"));
      }
      response.status = 503;
      response.set_header("X-Not-Executed", "1");
      response.set_header("Retry-After", target->retry_after);
      return true;
    }
  }
  if (!is_call || !target->endless)
    return false;
  response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
  response.set_header("X-Response-Signature", "s");
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, target](std::size_t, httplib::DataSink& sink) {
        const std::string& piece = target->endless_piece;
        return sink.write(piece.data(), piece.size()) && !stopping_;
      });
  return true;
}

void FleetTargets::AnnounceLeaving(int target) {
  targets_[target]->announces_leaving = true;
}

void FleetTargets::SetListed(int target, bool listed) {
  Target* const changed = targets_[target].get();
  const std::lock_guard lock(mutex_);
  changed->unlisted = !listed;
  changed->listed.clear();
  if (!listed)
    store_->Put("keyed.servers", changed->id, "");
}

void FleetTargets::Drain(int target) {
  targets_[target]->draining = true;
}

void FleetTargets::RejectRequests(int target, const std::string& retry_after) {
  const std::lock_guard lock(mutex_);
  targets_[target]->retry_after = retry_after;
}

void FleetTargets::NameRateLimit(int target, const std::string& per_second) {
  const std::lock_guard lock(mutex_);
  targets_[target]->rate_limit = per_second;
}

int FleetTargets::MostRequests(int target,
                               milliseconds window,
                               std::chrono::steady_clock::time_point since) {
  const std::lock_guard lock(mutex_);
  const auto& arrivals = targets_[target]->arrivals;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), since);
  std::ptrdiff_t most = 0;
  for (auto last = first; last != arrivals.end(); ++last) {
    while (*first + window < *last)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

void FleetTargets::FallSilent(int target, milliseconds duration) {
  const std::lock_guard lock(mutex_);
  targets_[target]->silent_until = std::chrono::steady_clock::now() + duration;
}

bool FleetTargets::IsSilent(const Target& target) const {
  return std::chrono::steady_clock::now() < target.silent_until;
}

void FleetTargets::WaitWhileSilent(const Target& target) {
  while (!stopping_) {
    {
      const std::lock_guard lock(mutex_);
      if (!IsSilent(target))
        return;
    }
    std::this_thread::sleep_for(milliseconds(kSilencePollMs));
  }
}

void FleetTargets::SilenceReports(int target, milliseconds duration) {
  const std::lock_guard lock(mutex_);
  targets_[target]->reports_silent_until =
      std::chrono::steady_clock::now() + duration;
}

void FleetTargets::WaitForReports(const Target& target) {
  const auto is_silent = [this, &target] {
    const std::lock_guard lock(mutex_);
    return std::chrono::steady_clock::now() < target.reports_silent_until;
  };
  while (!stopping_ && is_silent())
    std::this_thread::sleep_for(milliseconds(kSilencePollMs));
}

bool FleetTargets::IsPathSilent(const std::string& path) const {
  return std::any_of(
      targets_.begin(), targets_.end(), [this, &path](const auto& it) {
        const std::string hop =
            "127.0.0.1:" + std::to_string(it->listed_port) + '=';
        return IsSilent(*it) && path.find(hop) != std::string::npos;
      });
}

void FleetTargets::DelayAnswers(int target, milliseconds delay) {
  targets_[target]->answer_delay_ms = static_cast<int>(delay.count());
}

void FleetTargets::SendEndlessResponses(int target, const std::string& piece) {
  targets_[target]->endless_piece =
      piece.empty() ? std::string(1 << 16, 'x') : piece;
  targets_[target]->endless = true;
}

int FleetTargets::RequestCount(int target) {
  return targets_[target]->requests;
}

int FleetTargets::CallCount(int target) {
  return targets_[target]->calls;
}

void FleetTargets::HandlePlainCall(Target* target,
                                   const httplib::Request& request,
                                   httplib::Response& response) {
  const std::string id = request.get_header_value("X-Attempt-Id");
  response.set_header("X-Attempt-Id", id);
  if (request.get_header_value("X-Expect-Instance") != target->id) {
    response.status = 421;
    return;
  }
  if (options_.repeat_refusal_ms > 0 && id.starts_with("refused")) {
    RefuseTwice(&response);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
    deadly_calls_ += IsDeadly(request) ? 1 : 0;
  }
  if (IsDeadly(request)) {
    CrashAndRestart(target);
    // Breaks the connection off.
    response.set_chunked_content_provider(
        "text/plain", [](std::size_t, httplib::DataSink&) { return false; });
    return;
  }
  std::this_thread::sleep_for(milliseconds(options_.work_ms));
  WaitWhileSilent(*target);
  response.set_header("X-Response-Signature", "signature-of-" + target->id);
  const std::string body = "done for " + request.get_header_value("X-Tenant") +
                           std::string(options_.plain_padding, '.');
  if (request.path.starts_with("/feed/"))
    response.set_content("id: 1\ndata: x\n\n", "text/event-stream");
  else if (options_.half_body_ms > 0)
    AnswerInHalves(target, body, &response);
  else
    response.set_content(body, "text/plain");
}

void FleetTargets::AnswerInHalves(Target* target,
                                  const std::string& body,
                                  httplib::Response* response) {
  response->set_content_provider(
      body.size(), "text/plain",
      [this, target, body](std::size_t offset, std::size_t,
                           httplib::DataSink& sink) {
        const std::size_t half = body.size() / 2;
        if (offset == 0)
          return sink.write(body.data(), half);
        std::this_thread::sleep_for(milliseconds(options_.half_body_ms));
        WaitWhileSilent(*target);
        return sink.write(body.data() + half, body.size() - half);
      });
}

void FleetTargets::RefuseTwice(httplib::Response* response) const {
  response->status = 503;
  response->set_header("X-Not-Executed", "1");
  response->set_content_provider(
      1, "text/plain",
      [this](std::size_t, std::size_t, httplib::DataSink& sink) {
        sink.write("-", 1);
        std::this_thread::sleep_for(milliseconds(options_.repeat_refusal_ms));
        const std::string copy =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n";
        sink.write(copy.data(), copy.size());
        return true;
      });
}

FaultProxy& FleetTargets::proxy(int target) {
  return targets_[target]->proxy;
}

void FleetTargets::Crash(int engine) {
  targets_[engine]->crashed = true;
  targets_[engine]->server->stop();
}

void FleetTargets::CrashAndRestart(Target* target) {
  const std::lock_guard lock(mutex_);
  if (stopping_ || target->crashed.exchange(true))
    return;
  ++deadly_crashes_;
  restarts_.emplace_back([this, target] {
    target->server->stop();
    target->thread.join();
    for (int waited = 0; waited < options_.restart_ms && !stopping_;
         waited += kHeartbeatIntervalMs)
      std::this_thread::sleep_for(milliseconds(kHeartbeatIntervalMs));
    if (stopping_)
      return;
    target->server = MakeServer(target);
    if (!target->server->bind_to_port("127.0.0.1", target->port))
      return;
    {
      const std::lock_guard guard(mutex_);
      target->layers.reset();
      target->released_layers.reset();
      target->orders = 0;
      target->heartbeat = 0;
      target->born = NowUnixMs();
    }
    target->thread = std::thread(
        [server = target->server.get()] { server->listen_after_bind(); });
    target->crashed = false;
  });
}

int FleetTargets::DeadlyCrashCount() {
  const std::lock_guard lock(mutex_);
  return deadly_crashes_;
}

int FleetTargets::DeadlyCallCount() {
  const std::lock_guard lock(mutex_);
  return deadly_calls_;
}

int FleetTargets::PathChangeCount() {
  const std::lock_guard lock(mutex_);
  return path_changes_;
}

int FleetTargets::FirstLayerOf(int engine) {
  const std::lock_guard lock(mutex_);
  const auto& layers = targets_[engine]->layers;
  return layers ? layers->first : -1;
}

bool FleetTargets::HoldsAllLayersWithout(int engine) {
  const std::lock_guard lock(mutex_);
  std::vector<bool> held(options_.layers, false);
  for (int it = 0; it < static_cast<int>(targets_.size()); ++it) {
    const auto& layers = targets_[it]->layers;
    if (it == engine || targets_[it]->crashed || !layers)
      continue;
    for (int n = layers->first; n < layers->second; ++n)
      held[n] = true;
  }
  return std::find(held.begin(), held.end(), false) == held.end();
}

int FleetTargets::FindHolder(int layer) {
  const std::lock_guard lock(mutex_);
  for (std::size_t it = 0; it < targets_.size(); ++it) {
    const auto& layers = targets_[it]->layers;
    if (!targets_[it]->crashed && layers && layers->first <= layer &&
        layer < layers->second)
      return static_cast<int>(it);
  }
  return -1;
}

bool FleetTargets::HoldsAllLayers() {
  return HoldsAllLayersWithout(-1);
}

std::map<std::string, int> FleetTargets::ExecutionCounts() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace bbv::standins
