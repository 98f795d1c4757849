#include <CppUTest/TestHarness.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "bbv_entry/planner_agent.h"
#include "fleet_fixtures.h"
#include "free_port.h"
#include "http_target.h"

namespace bbv {
namespace {

constexpr int kAccepted = 202;
constexpr double kLimit = 0.5;
// The users' bound: requests within a window.
constexpr Milliseconds kWindow{4000};
constexpr int kMaxRequests = static_cast<int>(1.5 * kLimit * 4) + 5;

// An engine that accepts orders and loads layers for as long as it lives.
class LoadingEngine {
 public:
  LoadingEngine() {
    target_.server().Post("/v1/order", [this](const httplib::Request&,
                                              httplib::Response& response) {
      ++requests_;
      response.status = kAccepted;
    });
    target_.server().Get("/v1/report", [this](const httplib::Request&,
                                              httplib::Response& response) {
      ++requests_;
      response.set_content(R"({"sequence":1,"busy":true,"queued":0,"active":0,)"
                           R"("kv_used":0,"pace":1.0,"born":1,"stalled":[]})",
                           "application/json");
    });
    target_.Start();
  }

  std::string address() const { return target_.address(); }
  int requests() const { return requests_; }

 private:
  std::atomic<int> requests_ = 0;
  // Ends before what its handlers use.
  HttpTarget target_;
};

// Counts the requests to the only target against its limit.
class RequestCounter final : public HttpClient::Observer {
 public:
  explicit RequestCounter(TargetRateLimit* limit) : limit_(limit) {}

  void OnRequestSending(const std::string&) override {
    limit_->RecordRequest(EventLoop::Now());
  }
  void OnBytesReceived(const std::string&, std::size_t) override {}
  void OnConnected(const std::string&, Milliseconds) override {}
  void OnHeadReceived(const std::string&,
                      const HttpHead&,
                      std::optional<Instant>) override {}

 private:
  TargetRateLimit* limit_;
};

}  // namespace

TEST_GROUP(LimitedLoad){};

// Guards against requests beyond the rate limit of a target that loads layers:
// it was asked for its report each 200 ms.
TEST(LimitedLoad, TargetThatNamesALimitIsAskedAllTheTime) {
  LoadingEngine engine;
  EventLoop loop;
  HttpClient client(&loop);
  TargetRegistry registry;
  TargetRecord record = bbv_test::MakeRecord("i-limited", "engine", "a");
  record.address = engine.address();
  record.accelerator = "large";
  record.started_unix_ms = 1;
  const Instant begin = EventLoop::Now();
  registry.Apply(record, begin);
  TargetRateLimit& limit = registry.Find(record.id)->rate_limit;
  limit.RecordResponse(kLimit, begin, begin);
  limit.SetShare(1, Milliseconds(0), begin);
  RequestCounter counter(&limit);
  client.SetObserver(&counter);
  EngineModel model = bbv_test::MakeModel();
  model.layers = 16;
  FleetConfiguration configuration;
  configuration.services = {{"engine", 968, model}};
  const auto index = std::make_shared<FleetIndex>(std::move(configuration));
  DecisionLog log("edge");
  StoreClient store(&client, {"127.0.0.1", static_cast<uint16_t>(FreePort())},
                    &log);
  PlannerAgent planner(&store, &client, &log, &registry, "edge", 0);
  Instant stop_at = begin + Milliseconds(6000);
  loop.StartPeriodicTimer(Milliseconds(5), [&] {
    const Instant now = EventLoop::Now();
    client.OnTick(now);
    planner.SetPeers(false, true, now);
    planner.OnTick(index, true, Instant(), now);
    if (engine.requests() == 1)
      stop_at = now + kWindow;
    if (now >= stop_at)
      loop.Stop();
  });
  loop.Run();
  CHECK(engine.requests() >= 1);
  CHECK(engine.requests() <= kMaxRequests);
}

}  // namespace bbv
