#include "bbv_once/service_coordinator.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace {

using bbv::Milliseconds;
using bbv::Outcome;
using bbv::Reason;

struct Sent {
  std::string peer;
  bbv::wire::ServiceCallT call;
};

// Records what a ServiceCoordinator sends and how calls end.
class FakeServiceActions : public bbv::ServiceActions {
 public:
  void Send(const std::string& peer, bbv::wire::FrameT frame) override {
    sent.push_back({peer, *frame.body.AsServiceCall()});
  }
  void AnswerCall(uint64_t, const bbv::wire::ServiceAnswerT& answer) override {
    answers.push_back(answer);
  }
  void RefuseCall(uint64_t, const bbv::Refusal& refusal) override {
    refusals.push_back(refusal);
  }

  std::vector<Sent> sent;
  std::vector<bbv::wire::ServiceAnswerT> answers;
  std::vector<bbv::Refusal> refusals;
};

}  // namespace

TEST_GROUP(ServiceCoordinator) {
  FakeServiceActions actions;
  bbv::TargetTable table;
  bbv::TargetChooser chooser{&table, "zone-0", 1};
  bbv::ServiceCoordinator coordinator{&table, &chooser, &actions};
  bbv::Instant now = bbv::Instant() + std::chrono::hours(1);

  void setup() override {
    bbv::Configuration configuration;
    for (const char* name : {"s0", "s1"}) {
      bbv::Target& target = configuration.targets[name];
      target.name = name;
      target.zone = "zone-0";
      target.service = "booking";
    }
    table.Rebuild(configuration);
    bbv::wire::HeartbeatT heartbeat;
    heartbeat.ready = true;
    heartbeat.limit = 10;
    for (const char* name : {"s0", "s1"}) {
      table.SetConnected(name, true);
      table.ApplyHeartbeat(name, heartbeat);
    }
  }

  void StartCall(bool idempotent, bool keyed) {
    bbv::wire::ServiceCallT call;
    call.request = bbv::RequestId(1, 2);
    call.service = "booking";
    call.idempotent = idempotent;
    call.keyed = keyed;
    coordinator.Start(1, std::move(call), now + Milliseconds(5000), now);
  }

  std::string FallSilent() {
    std::string peer = actions.sent.back().peer;
    table.SetSilent(peer, true);
    coordinator.PeerSilent(peer, now);
    return peer;
  }

  void Answer(const std::string& peer, Outcome outcome,
              Reason reason = Reason::kNone, const std::string& holder = "") {
    bbv::wire::ServiceAnswerT answer;
    answer.request = bbv::RequestId(1, 2);
    answer.caller = 1;
    answer.outcome = outcome;
    answer.reason = static_cast<uint8_t>(reason);
    answer.holder = holder;
    coordinator.HandleAnswer(peer, answer, now);
  }

  void CheckNothingOutstanding() {
    CHECK_EQUAL(0, table.Find("s0")->outstanding);
    CHECK_EQUAL(0, table.Find("s1")->outstanding);
  }
};

TEST(ServiceCoordinator, SilenceRepeatsACallThatMustNotRunTwice) {
  StartCall(false, false);
  const std::string silent = FallSilent();
  CHECK_EQUAL(1, actions.sent.size());
  CHECK_TRUE(actions.refusals.empty());
  Answer(silent, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  CheckNothingOutstanding();
}

TEST(ServiceCoordinator, TheLossOfASilentSideLeavesItsCallsOpen) {
  StartCall(false, false);
  const std::string silent = FallSilent();
  coordinator.PeerLost(silent, now);
  CHECK_EQUAL(1, actions.refusals.size());
  CHECK_TRUE(actions.refusals[0].outcome == Outcome::kUnknown);
}

TEST(ServiceCoordinator, ARefusalOfTheSecondTargetEndsACallOfASilentOne) {
  StartCall(true, false);
  const std::string silent = FallSilent();
  CHECK_EQUAL(2, actions.sent.size());
  Answer(actions.sent[1].peer, Outcome::kNotRun, Reason::kOverloaded);
  CHECK_TRUE(actions.refusals.empty());
  Answer(silent, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  CheckNothingOutstanding();
}

TEST(ServiceCoordinator, TheAnswerOfASilentTargetIsDropped) {
  StartCall(true, false);
  const std::string silent = FallSilent();
  Answer(silent, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  Answer(actions.sent[1].peer, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  CheckNothingOutstanding();
}

TEST(ServiceCoordinator, ACallIsRefusedWhileTheHolderOfItsClaimIsSilent) {
  StartCall(false, true);
  const std::string silent = FallSilent();
  CHECK_EQUAL(2, actions.sent.size());
  Answer(actions.sent[1].peer, Outcome::kUnknown, Reason::kClaimedElsewhere,
         silent);
  CHECK_TRUE(actions.refusals.empty());
  CHECK_EQUAL(2, actions.sent.size());
  Answer(silent, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  CheckNothingOutstanding();
}

TEST(ServiceCoordinator, ACallIsRefusedBecauseAllTargetsAreSilent) {
  StartCall(true, false);
  FallSilent();
  const std::string second = FallSilent();
  CHECK_EQUAL(2, actions.sent.size());
  CHECK_TRUE(actions.refusals.empty());
  Answer(second, Outcome::kRan);
  CHECK_EQUAL(1, actions.answers.size());
  CheckNothingOutstanding();
}
