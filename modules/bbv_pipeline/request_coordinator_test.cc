#include "bbv_pipeline/request_coordinator.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace {

using bbv::Milliseconds;

constexpr uint32_t kLayers = 12;
constexpr uint32_t kLimit = 2;
constexpr Milliseconds kTickInterval{100};

// Records the attempts that a RequestCoordinator sends and the releases.
class FakeRequestActions : public bbv::RequestActions {
 public:
  void Send(const std::string& peer, bbv::wire::FrameT frame) override {
    if (const auto* steps = frame.body.AsStepBatch()) {
      first_stages.push_back(peer);
      attempt_number = steps->steps[0].attempt_number;
    }
    releases += frame.body.AsReleaseBatch() != nullptr ? 1 : 0;
  }
  void DeliverTokens(const bbv::RequestId&,
                     uint32_t,
                     std::span<const uint64_t> tokens,
                     bool) override {
    delivered += tokens.size();
  }
  void RefuseRequest(const bbv::RequestId&, const bbv::Refusal&) override {
    ++refusals;
  }

  std::vector<std::string> first_stages;
  uint64_t attempt_number = 0;
  std::size_t delivered = 0;
  int releases = 0;
  int refusals = 0;
};

}  // namespace

TEST_GROUP(RequestCoordinator) {
  FakeRequestActions actions;
  bbv::TargetTable table;
  bbv::TargetChooser chooser{&table, "zone-0", 1};
  bbv::RequestCoordinator coordinator{"e0", 1, &table, &chooser, &actions};
  bbv::Configuration configuration;
  bbv::Instant now = bbv::Instant() + std::chrono::hours(1);
  const bbv::RequestId id{1, 2};

  void AddTarget(const std::string& name, uint32_t first, uint32_t end) {
    bbv::Target& target = configuration.targets[name];
    target.name = name;
    target.zone = "zone-0";
    target.model = "assistant";
    target.first_layer = first;
    target.end_layer = end;
    table.Rebuild(configuration);
    Appear(name, 0);
  }

  void Appear(const std::string& name, uint32_t running) {
    bbv::wire::HeartbeatT heartbeat;
    heartbeat.ready = true;
    heartbeat.limit = kLimit;
    heartbeat.running = running;
    heartbeat.loaded_versions = {"v1"};
    table.SetConnected(name, true);
    table.ApplyHeartbeat(name, heartbeat);
  }

  void StartRequest() {
    bbv::ModelRequest request;
    request.id = id;
    request.account = "account-0";
    request.model.name = "assistant";
    request.model.layers = kLayers;
    request.model.version = "v1";
    request.prompt = {1, 2, 3};
    request.maximum_tokens = 50;
    request.deadline = now + std::chrono::seconds(60);
    coordinator.Start(request, now);
  }

  void HandleToken(uint32_t position) {
    bbv::wire::TokenT token;
    token.request = id;
    token.attempt_number = actions.attempt_number;
    token.position = position;
    bbv::wire::TokenBatchT batch;
    batch.tokens.push_back(token);
    coordinator.HandleTokens(batch, now);
  }

  void SetSilent(const std::string& name, bool silent) {
    table.SetSilent(name, silent);
    coordinator.PeerSilent(name, silent, now);
  }

  void Lose(const std::string& name) {
    table.SetConnected(name, false);
    coordinator.PeerLost(name, now);
  }

  void Wait(Milliseconds time) {
    for (Milliseconds waited{0}; waited < time; waited += kTickInterval) {
      now += kTickInterval;
      coordinator.Tick(now);
    }
  }
};

TEST(RequestCoordinator, ARunIsReleasedWhileItsOnlyChainIsSilent) {
  AddTarget("t0", 0, kLayers);
  StartRequest();
  HandleToken(3);
  SetSilent("t0", true);
  Wait(Milliseconds(20'000));
  CHECK_EQUAL(0, actions.releases);
  CHECK_EQUAL(0, actions.refusals);
  SetSilent("t0", false);
  Wait(Milliseconds(1000));
  HandleToken(4);
  CHECK_EQUAL(2, actions.delivered);
  CHECK_EQUAL(1, actions.first_stages.size());
}

TEST(RequestCoordinator, ALostChainEndsStreamsWhileItsOtherStageIsSilent) {
  AddTarget("t0", 0, kLayers / 2);
  AddTarget("t1", kLayers / 2, kLayers);
  StartRequest();
  HandleToken(3);
  SetSilent("t1", true);
  Lose("t0");
  Appear("t0", 0);
  Wait(Milliseconds(6000));
  CHECK_EQUAL(0, actions.refusals);
  SetSilent("t1", false);
  Wait(Milliseconds(1000));
  CHECK_EQUAL(2, actions.first_stages.size());
  HandleToken(4);
  CHECK_EQUAL(2, actions.delivered);
}

TEST(RequestCoordinator, AStreamWithoutAChainWaitsThoughNoneIsSilent) {
  AddTarget("t0", 0, kLayers);
  StartRequest();
  HandleToken(3);
  Lose("t0");
  Wait(Milliseconds(3500));
  CHECK_EQUAL(1, actions.refusals);
}

TEST(RequestCoordinator, ARequestIsGivenUpForAChainThatWouldRefuseIt) {
  AddTarget("t0", 0, kLayers);
  StartRequest();
  AddTarget("t1", 0, kLayers);
  Appear("t1", 2 * kLimit);
  SetSilent("t0", true);
  Wait(Milliseconds(2000));
  CHECK_EQUAL(0, actions.releases);
  Appear("t1", 0);
  Wait(Milliseconds(1000));
  CHECK_EQUAL(2, actions.first_stages.size());
  STRCMP_EQUAL("t1", actions.first_stages.back().c_str());
}

TEST(RequestCoordinator, AStreamThatMeetsManySilencesIsRefused) {
  AddTarget("t0", 0, kLayers);
  AddTarget("t1", 0, kLayers);
  StartRequest();
  constexpr std::size_t kSilences = 12;
  for (std::size_t it = 0; it < kSilences; ++it) {
    HandleToken(3 + it);
    const std::string stage = actions.first_stages.back();
    SetSilent(stage, true);
    CHECK_EQUAL(it + 2, actions.first_stages.size());
    CHECK_TRUE(actions.first_stages.back() != stage);
    SetSilent(stage, false);
  }
  CHECK_EQUAL(0, actions.refusals);
}
