// Stand-in of one model server, a process of its own: it registers itself,
// takes orders and streams answers. A request whose prompt has the deadly part,
// not as its last, crashes the server that begins to write its answer.
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "harness.h"

namespace {

using review::Json;
using review::Message;
using review::NowMs;
using review::Socket;

constexpr int kEvents = 30;
constexpr int64_t kEventMs = 10;
constexpr int64_t kHeartbeatMs = 1200;

// A model server. Thread safety: Handle() may be called from any thread.
class Engine {
 public:
  explicit Engine(std::map<std::string, std::string> options)
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
    const int64_t delay = std::stoll(options_.at("--register_after_ms"));
    review::SleepMs(delay);
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
    trace_ << NowMs() << ' ' << id_ << ' ' << what << std::endl;
  }

  void Publish() {
    Json record = {{"service", options_.at("--service")},
                   {"address", "127.0.0.1:" + std::to_string(port_)},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 64},
                   {"state", "ready"},
                   {"type", options_.at("--type")},
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

  bool Handle(const Message& request, Socket* socket) {
    if (request.path() == "/v1/report")
      return Report(*socket);
    if (request.path() == "/v1/order")
      return Order(request, *socket);
    return Stream(request, socket);
  }

  bool Report(const Socket& socket) {
    const std::scoped_lock lock(mutex_);
    Json report = {{"sequence", orders_}, {"busy", loading_},
                   {"queued", 0},         {"active", 0},
                   {"kv_used", 0},        {"pace", 1.0},
                   {"born", born_},       {"stalled", Json::array()}};
    AddLayers(&report);
    return review::Respond(socket, 200, "Content-Type: application/json\r\n",
                           report.dump());
  }

  bool Order(const Message& request, const Socket& socket) {
    const std::string expected = request.Find("X-Expect-Instance");
    if (!expected.empty() && expected != id_)
      return review::Respond(socket, 421, "X-Not-Executed: 1\r\n", "");
    const Json order = Json::parse(request.body);
    if (order.value("op", "") != "place")
      return review::Respond(socket, 404, "", "{}");
    const std::pair<int, int> layers = {order["from"], order["target_version"]};
    const std::scoped_lock lock(mutex_);
    if (layers_ == layers)
      return review::Respond(socket, 200, "", "{}");
    if (loading_ || order.value("precondition", orders_) != orders_)
      return review::Respond(socket, 409, "", "{}");
    const int held = layers.second - layers.first;
    const std::string text = "order layers " + std::to_string(layers.first) +
                             "-" + std::to_string(layers.second) +
                             " precondition " + std::to_string(orders_);
    if (held > std::stoi(options_.at("--max_layers"))) {
      Trace(text + " OVER-SIZE, crashes");
      kill(getpid(), SIGKILL);
    }
    Trace(text);
    ++orders_;
    loading_ = true;
    const int64_t load_ms =
        std::stoll(options_.at("--load_ms_per_layer")) * held;
    std::thread([this, layers, load_ms] {
      review::SleepMs(load_ms);
      const std::scoped_lock guard(mutex_);
      layers_ = layers;
      loading_ = false;
      changed_ = true;
    }).detach();
    return review::Respond(socket, 202, "", "{}");
  }

  bool IsDeadly(const Message& request) const {
    const std::string part = options_.at("--deadly");
    const std::string parts = request.Find("X-Prefix-Hash");
    const std::size_t last = parts.rfind(',');
    return !part.empty() && last != std::string::npos &&
           (',' + parts.substr(0, last)).find(',' + part + ':') !=
               std::string::npos;
  }

  bool Stream(const Message& request, Socket* socket) {
    const std::string id = request.Find("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + id + "\r\n";
    bool fits = request.Find("X-Expect-Instance") == id_;
    {
      const std::scoped_lock lock(mutex_);
      fits = fits && layers_.has_value();
    }
    if (!fits)
      return review::Respond(*socket, 421, echo + "X-Not-Executed: 1\r\n", "");
    const bool framed = options_.at("--framed") == "1";
    const bool deadly = IsDeadly(request);
    Trace((deadly ? "deadly " : "sound ") + id);
    int next = 1;
    if (const std::string last = request.Find("Last-Event-Id"); !last.empty())
      next = std::stoi(last) + 1;
    review::SleepMs(kEventMs);
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo +
        "X-Response-Signature: s." + id_ + "\r\n";
    head += framed ? "Transfer-Encoding: chunked\r\n\r\n"
                   : "Connection: close\r\n\r\n";
    if (!socket->Write(head))
      return false;
    const auto write = [&](const std::string& text) {
      if (!framed)
        return socket->Write(text);
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      return socket->Write(size + text + "\r\n");
    };
    if (deadly) {
      // The server begins to write the answer, and crashes.
      write("id: 1\nda");
      Trace("crash " + id);
      kill(getpid(), SIGKILL);
    }
    for (; next <= kEvents; ++next) {
      if (!write("id: " + std::to_string(next) + "\ndata: t" +
                 std::to_string(next) + "\n\n"))
        return false;
      review::SleepMs(kEventMs);
    }
    if (framed)
      socket->Write("0\r\n\r\n");
    return framed;
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
  std::optional<std::pair<int, int>> layers_;
  bool loading_ = false;
  int orders_ = 0;
  int heartbeat_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  auto options = review::ReadOptions(argc, argv);
  options.try_emplace("--service", "engine");
  options.try_emplace("--type", "card");
  options.try_emplace("--deadly", "");
  options.try_emplace("--framed", "1");
  options.try_emplace("--max_layers", "1");
  options.try_emplace("--load_ms_per_layer", "100");
  options.try_emplace("--register_after_ms", "0");
  Engine engine(std::move(options));
  if (!engine.Start())
    return 4;
  engine.Register();
}
