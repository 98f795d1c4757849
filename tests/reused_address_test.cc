#include <CppUTest/TestHarness.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "bbv_entry/fault_detector.h"
#include "bbv_entry/planner_agent.h"
#include "fleet_fixtures.h"
#include "free_port.h"
#include "http_target.h"

namespace bbv {
namespace {

constexpr int64_t kEndedBorn = 1'700'000'000'000;
constexpr int64_t kSuccessorBorn = kEndedBorn + 60'000;
constexpr char kEndedId[] = "i-ended";
constexpr char kSuccessorId[] = "i-successor";
constexpr int kMisdirected = 421;
constexpr int kAccepted = 202;

// A target that listens at the address of one that has ended.
class Successor {
 public:
  Successor() {
    target_.server().Post("/v1/order", [this](const httplib::Request& request,
                                              httplib::Response& response) {
      ++orders_received_;
      const std::string expected =
          request.get_header_value("X-Expect-Instance");
      if (!expected.empty() && expected != kSuccessorId) {
        response.status = kMisdirected;
        return;
      }
      ++orders_begun_;
      response.status = kAccepted;
    });
    target_.server().Get("/v1/report", [this](const httplib::Request&,
                                              httplib::Response& response) {
      ++reports_;
      response.set_content(R"({"sequence":0,"busy":false,"queued":0,)"
                           R"("active":0,"kv_used":0,"pace":9.0,"born":)" +
                               std::to_string(kSuccessorBorn) +
                               R"(,"stalled":[]})",
                           "application/json");
    });
    target_.Start();
  }

  std::string address() const { return target_.address(); }
  int orders_received() const { return orders_received_; }
  int orders_begun() const { return orders_begun_; }
  int reports() const { return reports_; }

 private:
  std::atomic<int> orders_received_ = 0;
  std::atomic<int> orders_begun_ = 0;
  std::atomic<int> reports_ = 0;
  // Ends before what its handlers use.
  HttpTarget target_;
};

}  // namespace

TEST_GROUP(ReusedAddress) {
  Successor successor;
  EventLoop loop;
  HttpClient client{&loop};
  TargetRegistry registry;
  std::function<void(Instant now)> on_tick;

  void setup() override {
    loop.StartPeriodicTimer(Milliseconds(5), [this] {
      client.OnTick(EventLoop::Now());
      if (on_tick)
        on_tick(EventLoop::Now());
    });
  }
  // Lists the target that has ended, which is still in the list.
  void ListEndedTarget(std::optional<LayerRange> layers) {
    TargetRecord record;
    record.id = kEndedId;
    record.service = "engine";
    record.address = successor.address();
    record.zone = "a";
    record.accelerator = "large";
    record.slots = 64;
    record.heartbeat = 1;
    record.started_unix_ms = kEndedBorn;
    record.layers = layers;
    registry.Apply(record, EventLoop::Now());
  }
  // Plans without a store until the successor has received an order or has
  // been asked for `reports` reports and had time for an order.
  void Plan(int reports) {
    EngineModel model = bbv_test::MakeModel();
    model.layers = 16;
    FleetConfiguration configuration;
    configuration.services = {{"engine", 968, model}};
    const auto index = std::make_shared<FleetIndex>(std::move(configuration));
    DecisionLog log("edge");
    StoreClient store(&client, {"127.0.0.1", static_cast<uint16_t>(FreePort())},
                      &log);
    PlannerAgent planner(&store, &client, &log, &registry, "edge", 0);
    const Instant end = EventLoop::Now() + Milliseconds(4000);
    std::optional<Instant> stop_at;
    on_tick = [&](Instant now) {
      planner.SetPeers(false, true, now);
      planner.OnTick(index, true, Instant(), now);
      const bool reached =
          successor.orders_begun() > 0 || successor.reports() >= reports;
      if (reached && !stop_at)
        stop_at = now + Milliseconds(400);
      if ((stop_at && now >= *stop_at) || now >= end)
        loop.Stop();
    };
    loop.Run();
    on_tick = nullptr;
    CHECK(reports <= successor.reports());
  }
};

TEST(ReusedAddress, OrderForAnEndedTargetIsNotCarriedOutByItsSuccessor) {
  ListEndedTarget(std::nullopt);
  Plan(1);
  CHECK(successor.orders_received() > 0);
  CHECK_EQUAL(0, successor.orders_begun());
}

TEST(ReusedAddress, SuccessorDoesNotAnswerChecksOfAnEndedTarget) {
  ListEndedTarget(std::nullopt);
  int faults = 0;
  FaultDetector detector(
      &client, &registry,
      [&](const TargetFault& fault) {
        STRCMP_EQUAL(kEndedId, fault.target_id.c_str());
        CHECK(!fault.IsDisprovedBy(EventLoop::Now()));
        ++faults;
      },
      [](const std::string&) {}, [](const std::string&) {});
  const auto check = [&](const std::function<void(Instant now)>& start) {
    const int reports = successor.reports();
    std::optional<Instant> stop_at;
    start(EventLoop::Now());
    on_tick = [&](Instant now) {
      if (successor.reports() > reports && !stop_at)
        stop_at = now + Milliseconds(50);
      if (stop_at && now >= *stop_at)
        loop.Stop();
    };
    loop.Run();
    on_tick = nullptr;
  };
  check([&](Instant now) { detector.Probe(kEndedId, now); });
  CHECK_EQUAL(1, faults);
  check([&](Instant now) { detector.InvestigateStall(kEndedId, now); });
  CHECK_EQUAL(2, faults);
  check([&](Instant now) { detector.InvestigateRefusal(kEndedId, 1e6, now); });
  CHECK_EQUAL(3, faults);
}

TEST(ReusedAddress, ReportOfTheSuccessorLeadsToNoOrder) {
  ListEndedTarget(LayerRange{0, 4});
  Plan(1);
  CHECK_EQUAL(0, successor.orders_received());
}

}  // namespace bbv
