#include "bbv_once/call_runner.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace {

using bbv::Milliseconds;
using bbv::Outcome;
using bbv::Reason;

constexpr uint32_t kRemainingMs = 1000;

// A claim stream, a service and entries, all in the test's hands.
class FakeSurroundings : public bbv::CallActions {
 public:
  void Send(const std::string&, bbv::wire::FrameT frame) override {
    answers.push_back(*frame.body.AsServiceAnswer());
  }
  void CallService(const bbv::wire::ServiceCallT& call) override {
    runs.push_back(call.request);
  }
  void AppendClaims(std::string record) override {
    appended.push_back(std::move(record));
  }

  std::vector<bbv::wire::ServiceAnswerT> answers;
  std::vector<bbv::RequestId> runs;
  std::vector<std::string> appended;
};

bbv::wire::ServiceCallT KeyedCall(uint64_t key, uint64_t fingerprint = 1) {
  bbv::wire::ServiceCallT call;
  call.request = bbv::RequestId(1, key);
  call.keyed = true;
  call.fingerprint = fingerprint;
  call.remaining_milliseconds = kRemainingMs;
  return call;
}

}  // namespace

TEST_GROUP(CallRunner) {
  FakeSurroundings world;
  bbv::CallRunner runner{{"s0", 7}, {}, &world};
  bbv::Instant now = bbv::Instant() + std::chrono::hours(1);
  uint64_t offset = 0;

  void Read(const std::string& record) {
    bbv::LogRecords records;
    records.first_offset = offset;
    records.records = {record};
    runner.TakeClaimRecords(records, now);
    ++offset;
  }

  // Ends the append under way and reads what it appended.
  void SettleAppend() {
    runner.TakeAppendResult({}, now);
    Read(world.appended.back());
    now += Milliseconds(50);
  }

  std::string ForeignClaim(uint64_t key) {
    bbv::ClaimRecord record;
    record.holder = {"s1", 9};
    record.claims.push_back({bbv::RequestId(1, key), 1});
    return bbv::EncodeClaimRecord(record);
  }

  void CheckLastAnswer(Outcome outcome, Reason reason) {
    CHECK_FALSE(world.answers.empty());
    CHECK_TRUE(world.answers.back().outcome == outcome);
    CHECK_EQUAL(static_cast<int>(reason),
                static_cast<int>(world.answers.back().reason));
  }
};

TEST(CallRunner, RunsOnlyAfterItsClaimIsReadBack) {
  runner.TakeCall("e0", KeyedCall(1), now);
  CHECK_EQUAL(0, world.runs.size());
  runner.TakeAppendResult({}, now);
  CHECK_EQUAL(0, world.runs.size());
  Read(world.appended.back());
  CHECK_EQUAL(1, world.runs.size());
}

TEST(CallRunner, AnEarlierForeignClaimWins) {
  runner.TakeCall("e0", KeyedCall(1), now);
  Read(ForeignClaim(1));
  SettleAppend();
  CHECK_EQUAL(0, world.runs.size());
  CheckLastAnswer(Outcome::kUnknown, Reason::kClaimedElsewhere);
  STRCMP_EQUAL("s1", world.answers.back().holder.c_str());
}

TEST(CallRunner, AnotherBodyUnderTheKeyIsRefused) {
  runner.TakeCall("e0", KeyedCall(1, 1), now);
  runner.TakeCall("e0", KeyedCall(1, 2), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kKeyReused);
}

TEST(CallRunner, AHeldClaimRunsWhenItIsAskedAgain) {
  runner.TakeCall("e0", KeyedCall(1), now);
  now += Milliseconds(kRemainingMs + 1);
  runner.Tick(now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLogUnavailable);
  SettleAppend();
  CHECK_EQUAL(0, world.runs.size());
  runner.TakeCall("e1", KeyedCall(1), now);
  CHECK_EQUAL(1, world.runs.size());
}

TEST(CallRunner, LeavingGivesHeldClaimsBackAndNeverRunsThem) {
  runner.TakeCall("e0", KeyedCall(1), now);
  now += Milliseconds(kRemainingMs + 1);
  runner.Tick(now);
  SettleAppend();
  runner.SetLeaving(true);
  runner.Tick(now);
  CHECK_EQUAL(1, bbv::DecodeClaimRecord(world.appended.back())->voids.size());
  runner.TakeCall("e1", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLeaving);
  SettleAppend();
  CHECK_EQUAL(0, runner.known_keys());
  CHECK_EQUAL(0, world.runs.size());
}

TEST(CallRunner, AClaimReadAfterAGapIsNotItsOwn) {
  Read(ForeignClaim(5));
  runner.TakeCall("e0", KeyedCall(1), now);
  // Retention dropped a record that may have been another's claim.
  offset += 2;
  runner.TakeAppendResult({}, now);
  Read(world.appended.back());
  CHECK_EQUAL(0, world.runs.size());
  CheckLastAnswer(Outcome::kUnknown, Reason::kClaimLost);
}

TEST(CallRunner, ALostAnswerIsFinal) {
  runner.TakeCall("e0", KeyedCall(1), now);
  SettleAppend();
  runner.TakeCallResult(bbv::RequestId(1, 1),
                        bbv::Fail(bbv::Operation::kServiceCall, "s0", "lost"),
                        now);
  CheckLastAnswer(Outcome::kUnknown, Reason::kTargetFault);
  runner.TakeCall("e1", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kUnknown, Reason::kTargetFault);
  CHECK_EQUAL(1, world.runs.size());
}

TEST(CallRunner, WithoutTheLogNewKeysAreRefusedAtOnce) {
  runner.SetLogAvailable(false);
  runner.TakeCall("e0", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLogUnavailable);
  CHECK_TRUE(world.answers.back().retry_after_milliseconds > 0);
}
