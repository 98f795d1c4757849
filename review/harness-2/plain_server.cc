// Stand-in of one application server, a process of its own: it registers itself
// with all fields of an entry and answers calls.
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>

#include "../harness/harness.h"

namespace {

using review::Message;
using review::Socket;

constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kWorkMs = 60;
constexpr int kSlots = 6;

// An application server. Thread safety: Handle() may be called from any thread.
class PlainServer {
 public:
  explicit PlainServer(std::map<std::string, std::string> options)
      : options_(std::move(options)),
        id_(options_.at("--id")),
        port_(std::stoi(options_.at("--port"))),
        trace_(options_.at("--trace"), std::ios::app),
        born_(review::NowUnixMs()) {}

  bool Start() {
    return server_.Start(port_, [this](const Message& request, Socket* socket) {
      return Handle(request, *socket);
    });
  }

  // Writes the server's entry until the process ends.
  [[noreturn]] void Register() {
    for (int beat = 1;; ++beat) {
      const review::Json record = {
          {"service", "plain"},
          {"address", "127.0.0.1:" + std::to_string(port_)},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", kSlots},
          {"state", "ready"},
          {"warmup_left_ms", 0},
          {"born", born_},
          {"sequence", beat}};
      review::AppendRecord(std::stoi(options_.at("--store")), "keyed.servers",
                           id_, record.dump());
      review::SleepMs(kHeartbeatMs);
    }
  }

 private:
  void Trace(const std::string& what) {
    const std::scoped_lock lock(mutex_);
    std::ostringstream line;
    line << review::NowMs() << ' ' << id_ << ' ' << what << '\n';
    trace_ << line.str() << std::flush;
  }

  bool Handle(const Message& request, const Socket& socket) {
    const std::string id = request.Find("X-Attempt-Id");
    std::string fields;
    if (!id.empty())
      fields = "X-Attempt-Id: " + id + "\r\n";
    if (request.Find("X-Expect-Instance") != id_) {
      Trace("turns away " + id + " for " + request.Find("X-Expect-Instance"));
      return review::Respond(socket, 421, fields, "");
    }
    Trace("runs " + id);
    review::SleepMs(kWorkMs);
    return review::Respond(socket, 200, fields + "X-Response-Signature: s\r\n",
                           "done");
  }

  std::map<std::string, std::string> options_;
  std::string id_;
  int port_;
  std::mutex mutex_;
  std::ofstream trace_;
  int64_t born_;
  review::HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  PlainServer server(review::ReadOptions(argc, argv));
  if (!server.Start())
    return 4;
  server.Register();
}
