#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "loop_server.h"
#include "platform/store_codec.h"

namespace bbv {
namespace {

// Time from the acknowledgement of a configuration until it must be in force.
constexpr Milliseconds kApplyWithin{2000};

// A store on the client's loop whose open connections can fall silent. It
// answers reads of the newest records and lets reads of the next ones wait.
class SilentStore {
 public:
  explicit SilentStore(EventLoop* loop)
      : server_(loop, [this](LoopServer::Connection* connection) {
          Answer(connection);
        }) {}

  const SocketAddress& address() const { return server_.address(); }
  int calls() const { return calls_; }
  void SetOnWait(std::function<void()> on_wait) {
    on_wait_ = std::move(on_wait);
  }
  // Acknowledges configuration `version`, which has a single key.
  void Acknowledge(int version) { version_ = version; }
  // Lets every connection that is open now fall silent.
  void Silence() {
    for (const auto& it : server_.connections())
      it->is_silent = true;
  }

 private:
  void Answer(LoopServer::Connection* connection) {
    if (!connection->received.ends_with("\r\n\r\n"))
      return;
    const std::string request = std::exchange(connection->received, {});
    ++calls_;
    if (request.find("log-newest") != std::string::npos)
      connection->stream->Write(NewestRecords());
    else if (on_wait_)
      on_wait_();
  }

  std::string NewestRecords() const {
    // {"version":N} in base64; the version has one digit.
    const std::string value =
        version_ == 1 ? "eyJ2ZXJzaW9uIjoxfQ==" : "eyJ2ZXJzaW9uIjoyfQ==";
    const std::string body = R"({"items":[{"key":"config","value":")" + value +
                             R"(","offset":0}],"more_pages":false,)"
                             R"("end_offset":)" +
                             std::to_string(version_) + "}";
    return "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  LoopServer server_;
  std::function<void()> on_wait_;
  int version_ = 1;
  int calls_ = 0;
};

}  // namespace

TEST_GROUP(SilentStore) {
  EventLoop loop;
  HttpClient client{&loop};
  DecisionLog log{"edge"};
  SilentStore server{&loop};
  StoreClient store{&client, server.address(), &log};
  ConfigurationFollower follower{&store, &log, [] {}};
  std::function<void(Instant now)> on_tick;

  void setup() override {
    loop.StartPeriodicTimer(Milliseconds(5), [this] {
      client.OnTick(EventLoop::Now());
      if (on_tick)
        on_tick(EventLoop::Now());
    });
  }
  // Lets all connections fall silent during the first long poll, acknowledges a
  // configuration and runs until it is applied, in time. `rank_before` and
  // `rank_after` are the entry's ranks as a reader; `peers_know` lets its peers
  // name the new version.
  void RunThroughSilence(std::size_t rank_before, std::size_t rank_after,
                         bool peers_know) {
    // Leaves a second connection idle.
    store.ReadNewest(platform::kOperatorTopic, {}, Milliseconds(1000),
                     [](const Result<platform::NewestPage>&) {});
    std::optional<Instant> acknowledged_at;
    server.SetOnWait([&] {
      if (acknowledged_at)
        return;
      server.Silence();
      server.Acknowledge(2);
      acknowledged_at = EventLoop::Now();
    });
    std::optional<Instant> applied_at;
    const Instant end = EventLoop::Now() + Milliseconds(8000);
    on_tick = [&](Instant now) {
      if (acknowledged_at && peers_know)
        follower.OnPeerVersion(2, now);
      follower.OnTick(acknowledged_at ? rank_after : rank_before, 0, now);
      if (follower.version() == 2 && !applied_at)
        applied_at = now;
      if (applied_at || now >= end)
        loop.Stop();
    };
    loop.Run();
    CHECK(acknowledged_at.has_value());
    CHECK(applied_at.has_value());
    const auto took = std::chrono::duration_cast<Milliseconds>(
        *applied_at - *acknowledged_at);
    if (took > kApplyWithin)
      FAIL(("applied after " + std::to_string(took.count()) + " ms").c_str());
  }
};

TEST(SilentStore, FirstReaderAppliesConfigurationInTime) {
  RunThroughSilence(0, 0, false);
}

TEST(SilentStore, SecondReaderThatBecomesFirstAppliesConfigurationInTime) {
  RunThroughSilence(1, 0, false);
}

TEST(SilentStore, SecondReaderAppliesInTimeAConfigurationThatItsPeersKnow) {
  RunThroughSilence(1, 1, true);
}

}  // namespace bbv
