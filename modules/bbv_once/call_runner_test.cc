#include "bbv_once/call_runner.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace {

using bbv::Milliseconds;
using bbv::Outcome;
using bbv::Reason;

constexpr uint32_t kRemainingMs = 1000;

// Records the frames, service calls and appends that a CallRunner emits.
class FakeCallActions : public bbv::CallActions {
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
  FakeCallActions actions;
  bbv::CallRunner runner{{"s0", 7}, {}, &actions};
  bbv::Instant now = bbv::Instant() + std::chrono::hours(1);
  uint64_t offset = 0;

  void ReadRecord(const std::string& record) {
    bbv::LogRecords records;
    records.first_offset = offset;
    records.records = {record};
    runner.HandleClaimRecords(records, now);
    ++offset;
  }

  // Completes the outstanding append and reads its record back.
  void CompleteAppend() {
    runner.HandleAppendResult({}, now);
    ReadRecord(actions.appended.back());
    now += Milliseconds(50);
  }

  std::string EncodeForeignClaim(uint64_t key) {
    bbv::ClaimRecord record;
    record.holder = {"s1", 9};
    record.claims.push_back({bbv::RequestId(1, key), 1});
    return bbv::EncodeClaimRecord(record);
  }

  void CheckLastAnswer(Outcome outcome, Reason reason) {
    CHECK_FALSE(actions.answers.empty());
    CHECK_TRUE(actions.answers.back().outcome == outcome);
    CHECK_EQUAL(static_cast<int>(reason),
                static_cast<int>(actions.answers.back().reason));
  }
};

// A successful append alone must not start the run: an earlier claim may
// precede it on the stream.
TEST(CallRunner, DoesNotRunKeyedCallBeforeItsClaimIsReadBack) {
  runner.HandleCall("e0", KeyedCall(1), now);
  CHECK_EQUAL(0, actions.runs.size());
  runner.HandleAppendResult({}, now);
  CHECK_EQUAL(0, actions.runs.size());
  ReadRecord(actions.appended.back());
  CHECK_EQUAL(1, actions.runs.size());
}

TEST(CallRunner, DoesNotRunCallWhoseKeyWasClaimedElsewhereFirst) {
  runner.HandleCall("e0", KeyedCall(1), now);
  ReadRecord(EncodeForeignClaim(1));
  CompleteAppend();
  CHECK_EQUAL(0, actions.runs.size());
  CheckLastAnswer(Outcome::kUnknown, Reason::kClaimedElsewhere);
  STRCMP_EQUAL("s1", actions.answers.back().holder.c_str());
}

TEST(CallRunner, RefusesReusedKeyWithDifferentFingerprint) {
  runner.HandleCall("e0", KeyedCall(1, 1), now);
  runner.HandleCall("e0", KeyedCall(1, 2), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kKeyReused);
}

// The claim is read back after the first waiter's deadline, so the call is held
// until an entry sends it again.
TEST(CallRunner, RunsHeldCallWhenItIsSentAgain) {
  runner.HandleCall("e0", KeyedCall(1), now);
  now += Milliseconds(kRemainingMs + 1);
  runner.Tick(now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLogUnavailable);
  CompleteAppend();
  CHECK_EQUAL(0, actions.runs.size());
  runner.HandleCall("e1", KeyedCall(1), now);
  CHECK_EQUAL(1, actions.runs.size());
}

TEST(CallRunner, VoidsHeldClaimsOnLeavingAndDoesNotRunThem) {
  runner.HandleCall("e0", KeyedCall(1), now);
  now += Milliseconds(kRemainingMs + 1);
  runner.Tick(now);
  CompleteAppend();
  runner.SetLeaving(true);
  runner.Tick(now);
  CHECK_EQUAL(
      1, bbv::DecodeClaimRecord(actions.appended.back())->voided_keys.size());
  runner.HandleCall("e1", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLeaving);
  CompleteAppend();
  CHECK_EQUAL(0, runner.known_keys());
  CHECK_EQUAL(0, actions.runs.size());
}

TEST(CallRunner, DoesNotRunCallWhoseClaimIsReadAfterLogGap) {
  ReadRecord(EncodeForeignClaim(5));
  runner.HandleCall("e0", KeyedCall(1), now);
  // Log retention dropped a record that may have held another node's claim.
  offset += 2;
  runner.HandleAppendResult({}, now);
  ReadRecord(actions.appended.back());
  CHECK_EQUAL(0, actions.runs.size());
  CheckLastAnswer(Outcome::kUnknown, Reason::kClaimLost);
}

TEST(CallRunner, DoesNotRunCallAgainAfterItsAnswerWasLost) {
  runner.HandleCall("e0", KeyedCall(1), now);
  CompleteAppend();
  runner.HandleCallResult(bbv::RequestId(1, 1),
                          bbv::Fail(bbv::Operation::kServiceCall, "s0", "lost"),
                          now);
  CheckLastAnswer(Outcome::kUnknown, Reason::kTargetFault);
  runner.HandleCall("e1", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kUnknown, Reason::kTargetFault);
  CHECK_EQUAL(1, actions.runs.size());
}

TEST(CallRunner, RefusesNewKeysAtOnceWhileLogIsUnavailable) {
  runner.SetLogAvailable(false);
  runner.HandleCall("e0", KeyedCall(1), now);
  CheckLastAnswer(Outcome::kNotRun, Reason::kLogUnavailable);
  CHECK_TRUE(actions.answers.back().retry_after_milliseconds > 0);
}
