// Stand-in of one application server, a process of its own: it registers itself
// with all fields of an entry and answers calls. In a given time it can be cut
// off from the store, or in need: calls wait then, and are turned away with 503
// and Retry-After.
#include <atomic>
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
      const int first_cut = std::stoi(options_.at("--cut_from_beat"));
      const bool is_cut =
          std::stoi(options_.at("--cut_beats")) > 0 && beat >= first_cut &&
          beat < first_cut + std::stoi(options_.at("--cut_beats"));
      if (!is_cut) {
        review::AppendRecord(std::stoi(options_.at("--store")), "keyed.servers",
                             id_, record.dump());
      } else {
        Trace("is cut off from the store");
      }
      if (beat == first_cut - 1)
        need_from_ms_ =
            review::NowMs() + std::stoll(options_.at("--need_after_beat_ms"));
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
    Trace("gets " + id);
    if (need_from_ms_ > 0 && review::NowMs() >= need_from_ms_) {
      review::SleepMs(std::stoll(options_.at("--hold_ms")));
      Trace("turns away " + id + " with Retry-After");
      return review::Respond(socket, 503,
                             fields + "X-Not-Executed: 1\r\nRetry-After: " +
                                 options_.at("--retry_after_s") + "\r\n",
                             "");
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
  // Since when it is in need; 0 before.
  std::atomic<int64_t> need_from_ms_{0};
  review::HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  auto options = review::ReadOptions(argc, argv);
  for (const char* it :
       {"--cut_from_beat", "--cut_beats", "--need_after_beat_ms", "--hold_ms",
        "--retry_after_s"})
    options.try_emplace(it, "0");
  PlainServer server(std::move(options));
  if (!server.Start())
    return 4;
  server.Register();
}
