// Stand-in of one model server that holds a range of layers, a process of its
// own: it registers itself, loads layers on order and streams answers along the
// path of a request. While its limit file exists, it names the file's content
// as its Server-Limit in all its answers.
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../harness/harness.h"

namespace {

using review::Json;
using review::Message;
using review::NowMs;
using review::Socket;

using Range = std::pair<int, int>;

constexpr int kEvents = 10;
constexpr int64_t kEventMs = 20;
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kHopTimeoutMs = 200;
// Loads before the first request take a tenth of the time.
constexpr int64_t kEarlyLoadDivisor = 10;
// Asked by the first server of a path whether this one holds a part of it.
constexpr char kHoldsPath[] = "/stand-in/holds";

// A server and its part of a path.
struct Hop {
  int port = 0;
  Range layers;
};

// Parses "127.0.0.1:1000=0-4,127.0.0.1:1001=4-8".
std::vector<Hop> ParsePath(const std::string& text) {
  std::vector<Hop> hops;
  std::istringstream items(text);
  for (std::string item; std::getline(items, item, ',');) {
    const std::size_t colon = item.find(':');
    const std::size_t equals = item.find('=');
    const std::size_t dash = item.find('-', equals);
    if (dash == std::string::npos || colon == std::string::npos)
      return {};
    hops.push_back({std::stoi(item.substr(colon + 1)),
                    {std::stoi(item.substr(equals + 1)),
                     std::stoi(item.substr(dash + 1))}});
  }
  return hops;
}

bool FileExists(const std::string& path) {
  return access(path.c_str(), F_OK) == 0;
}

// A model server. Thread safety: Handle() may be called from any thread.
class LayerEngine {
 public:
  explicit LayerEngine(std::map<std::string, std::string> options)
      : options_(std::move(options)),
        id_(options_.at("--id")),
        port_(std::stoi(options_.at("--port"))),
        trace_(options_.at("--trace"), std::ios::app),
        born_(review::NowUnixMs()) {}

  bool Start() {
    return server_.Start(port_, [this](const Message& request, Socket* socket) {
      return Handle(request, socket);
    });
  }

  // Writes the server's entry until the process ends.
  [[noreturn]] void Register() {
    while (true) {
      Publish();
      const int64_t until = NowMs() + kHeartbeatMs;
      while (NowMs() < until && !changed_.exchange(false))
        review::SleepMs(10);
    }
  }

 private:
  void Trace(const std::string& what) {
    const std::scoped_lock lock(trace_mutex_);
    std::ostringstream line;
    line << NowMs() << ' ' << id_ << ' ' << what << '\n';
    trace_ << line.str() << std::flush;
  }

  void Publish() {
    Json record = {{"service", "engine"},
                   {"address", "127.0.0.1:" + std::to_string(port_)},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 64},
                   {"state", "ready"},
                   {"warmup_left_ms", 0},
                   {"type", "card"},
                   {"born", born_}};
    {
      const std::scoped_lock lock(mutex_);
      record["sequence"] = ++heartbeat_;
      AddLayers(&record);
    }
    review::AppendRecord(std::stoi(options_.at("--store")), "keyed.servers",
                         id_, record.dump());
  }

  // Requires `mutex_`.
  void AddLayers(Json* json) const {
    if (layers_)
      (*json)["layers"] = {{"from", layers_->first},
                           {"target_version", layers_->second},
                           {"version", 1}};
  }

  // Returns the fields of each answer.
  std::string CommonFields(const Message& request) const {
    std::string fields;
    const std::string id = request.Find("X-Attempt-Id");
    if (!id.empty())
      fields += "X-Attempt-Id: " + id + "\r\n";
    std::ifstream file(options_.at("--limit_file"));
    if (std::string limit; std::getline(file, limit) && !limit.empty())
      fields += "Server-Limit: " + limit + "\r\n";
    return fields;
  }

  bool Handle(const Message& request, Socket* socket) {
    if (request.path() == kHoldsPath)
      return AnswerHolds(request, *socket);
    Trace("request " + request.method() + ' ' + request.path() + ' ' +
          request.Find("X-Attempt-Id"));
    const std::string fields = CommonFields(request);
    if (request.path() == "/v1/report")
      return Report(fields, *socket);
    if (request.path() == "/v1/order")
      return Order(request, fields, *socket);
    return Stream(request, fields, socket);
  }

  bool Holds(const Range& range) {
    const std::scoped_lock lock(mutex_);
    return layers_ && layers_->first <= range.first &&
           range.second <= layers_->second;
  }

  bool AnswerHolds(const Message& request, const Socket& socket) {
    const Range range{std::stoi(request.Query("from")),
                      std::stoi(request.Query("to"))};
    return review::Respond(socket, Holds(range) ? 200 : 421, "", "");
  }

  // Returns 0 if the hop holds its part, or the status that it answers.
  static int AskHop(const Hop& hop) {
    const auto socket = Socket::Connect(hop.port);
    Message answer;
    if (socket == nullptr ||
        !socket->Write(std::string("GET ") + kHoldsPath +
                       "?from=" + std::to_string(hop.layers.first) +
                       "&to=" + std::to_string(hop.layers.second) +
                       " HTTP/1.1\r\nHost: x\r\n\r\n") ||
        !socket->ReadMessage(&answer, true, NowMs() + kHopTimeoutMs))
      return 503;
    return answer.status() == 200 ? 0 : answer.status();
  }

  bool Report(const std::string& fields, const Socket& socket) {
    Json report = {{"queued", 0},  {"active", 0},   {"kv_used", 0},
                   {"pace", 1.0},  {"born", born_}, {"stalled", Json::array()},
                   {"handles", 0}, {"kv_total", 1}};
    {
      const std::scoped_lock lock(mutex_);
      report["sequence"] = orders_;
      report["busy"] = loading_;
      AddLayers(&report);
    }
    return review::Respond(socket, 200,
                           fields + "Content-Type: application/json\r\n",
                           report.dump());
  }

  bool Order(const Message& request,
             const std::string& fields,
             const Socket& socket) {
    const std::string expected = request.Find("X-Expect-Instance");
    if (!expected.empty() && expected != id_)
      return review::Respond(socket, 421, fields, "");
    const Json order = Json::parse(request.body);
    if (order.value("op", "") != "place")
      return review::Respond(socket, 404, fields, "{}");
    const Range wanted{order["from"], order["target_version"]};
    const std::scoped_lock lock(mutex_);
    if (layers_ == wanted)
      return review::Respond(socket, 200, fields, "{}");
    if (loading_ || order.value("precondition", orders_) != orders_)
      return review::Respond(socket, 409, fields, "{}");
    Trace("loads " + std::to_string(wanted.first) + ' ' +
          std::to_string(wanted.second));
    ++orders_;
    loading_ = true;
    int64_t load_ms = 0;
    for (int it = wanted.first; it < wanted.second; ++it) {
      if (!layers_ || it < layers_->first || it >= layers_->second)
        load_ms += std::stoll(options_.at("--load_ms_per_layer"));
    }
    if (!FileExists(options_.at("--traffic_file")))
      load_ms /= kEarlyLoadDivisor;
    std::thread([this, wanted, load_ms] { Load(wanted, load_ms); }).detach();
    return review::Respond(socket, 202, fields, "{}");
  }

  void Load(const Range& wanted, int64_t load_ms) {
    review::SleepMs(load_ms);
    {
      const std::scoped_lock lock(mutex_);
      layers_ = wanted;
      loading_ = false;
      changed_ = true;
    }
    Trace("holds " + std::to_string(wanted.first) + ' ' +
          std::to_string(wanted.second));
  }

  bool Stream(const Message& request,
              const std::string& fields,
              Socket* socket) {
    const std::vector<Hop> hops = ParsePath(request.Find("X-Hop-Count"));
    if (request.Find("X-Expect-Instance") != id_ || hops.empty() ||
        hops.front().port != port_ || !Holds(hops.front().layers))
      return review::Respond(*socket, 421, fields, "");
    for (std::size_t it = 1; it < hops.size(); ++it) {
      if (const int status = AskHop(hops[it]); status != 0) {
        return review::Respond(*socket, status,
                               fields +
                                   "X-Not-Executed: 1\r\n"
                                   "At-Server: 127.0.0.1:" +
                                   std::to_string(hops[it].port) + "\r\n",
                               "");
      }
    }
    Trace("runs " + request.Find("X-Attempt-Id"));
    if (!socket->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n"
                       "X-Response-Signature: s." +
                       id_ + "\r\n" + fields + "\r\n"))
      return false;
    int next = 1;
    if (const std::string last = request.Find("Last-Event-Id"); !last.empty())
      next = std::stoi(last) + 1;
    for (; next <= kEvents; ++next) {
      review::SleepMs(kEventMs);
      const std::string event = "id: " + std::to_string(next) + "\ndata: t\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
      if (!socket->Write(chunk.str()))
        return false;
    }
    return socket->Write("0\r\n\r\n");
  }

  std::map<std::string, std::string> options_;
  std::string id_;
  int port_;
  std::mutex trace_mutex_;
  std::ofstream trace_;
  int64_t born_;
  review::HttpServer server_;
  std::atomic<bool> changed_{false};
  std::mutex mutex_;
  std::optional<Range> layers_;
  bool loading_ = false;
  int orders_ = 0;
  int heartbeat_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  LayerEngine engine(review::ReadOptions(argc, argv));
  if (!engine.Start())
    return 4;
  engine.Register();
}
