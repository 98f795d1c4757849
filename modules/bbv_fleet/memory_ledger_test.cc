#include "bbv_fleet/memory_ledger.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using bbv::MemoryLedger;
using bbv::ShareHeldText;
using Hold = bbv::MemoryLedger::Hold;
using Use = bbv::MemoryLedger::Use;

namespace {

constexpr std::size_t kInstanceBytes = 260'000'000;
constexpr std::size_t kLargeBody = 4'000'000;
constexpr std::size_t kSmallBody = 10'000;

struct Outcome {
  int large_refused = 0;
  int small_refused = 0;
  int answers_refused = 0;
  std::size_t peak = 0;
};

// Plays bursts of large bodies beside a steady stream of small ones. Each
// accepted request is held for some steps and then gets an answer.
Outcome PlayBursts(MemoryLedger* ledger) {
  constexpr int kSteps = 400;
  constexpr int kLargeInBurst = 10;
  constexpr int kSmallInStep = 20;
  constexpr std::size_t kHeldSteps = 20;
  constexpr std::size_t kAnswerBytes = 1'000'000;
  Outcome outcome;
  std::deque<std::vector<Hold>> under_way;
  for (int step = 0; step < kSteps; ++step) {
    std::vector<Hold> accepted;
    const auto request = [&](std::size_t bytes, int* refused) {
      Hold hold(ledger, Use::kRequest);
      if (hold.GrowTo(bytes))
        accepted.push_back(std::move(hold));
      else
        ++*refused;
    };
    for (int it = 0; step % 40 < 20 && it < kLargeInBurst; ++it)
      request(kLargeBody, &outcome.large_refused);
    for (int it = 0; it < kSmallInStep; ++it)
      request(kSmallBody, &outcome.small_refused);
    under_way.push_back(std::move(accepted));
    if (under_way.size() > kHeldSteps) {
      std::vector<Hold> answers;
      for (std::size_t it = 0; it < under_way.front().size(); ++it) {
        Hold& answer = answers.emplace_back(ledger, Use::kAnswer);
        outcome.answers_refused += answer.GrowTo(kAnswerBytes) ? 0 : 1;
        outcome.peak = std::max(outcome.peak, ledger->held_bytes());
      }
      under_way.pop_front();
    }
    outcome.peak = std::max(outcome.peak, ledger->held_bytes());
  }
  return outcome;
}

}  // namespace

TEST_GROUP(MemoryLedger) {
  MemoryLedger ledger{kInstanceBytes};

  // Holds of `bytes` each, until one is refused.
  std::vector<Hold> Fill(Use use, std::size_t bytes) {
    std::vector<Hold> holds;
    for (;;) {
      Hold hold(&ledger, use);
      if (!hold.GrowTo(bytes))
        return holds;
      holds.push_back(std::move(hold));
    }
  }
};

TEST(MemoryLedger, BurstsOfLargeBodiesDisplaceNeitherSmallOnesNorAnswers) {
  const Outcome outcome = PlayBursts(&ledger);
  CHECK(outcome.large_refused > 0);
  CHECK_EQUAL(0, outcome.small_refused);
  CHECK_EQUAL(0, outcome.answers_refused);
  CHECK_COMPARE(outcome.peak, <, kInstanceBytes * 2 / 3);
  CHECK_EQUAL(0, ledger.held_bytes());
}

TEST(MemoryLedger, ManySmallBodiesTogetherExceedTheMemory) {
  const std::vector<Hold> small = Fill(Use::kRequest, kSmallBody);
  CHECK_COMPARE(ledger.held_bytes(), <, kInstanceBytes / 2);
  Hold answer(&ledger, Use::kAnswer);
  CHECK(answer.GrowTo(kLargeBody));
}

TEST(MemoryLedger, LargeAnswersDisplaceSmallOnes) {
  const std::vector<Hold> large = Fill(Use::kAnswer, kLargeBody);
  const std::vector<Hold> medium =
      Fill(Use::kAnswer, MemoryLedger::kMaxSmallBody + 1);
  Hold small(&ledger, Use::kAnswer);
  CHECK(small.GrowTo(kSmallBody));
}

TEST(MemoryLedger, ABodyThatGrowsInSmallStepsPassesAsASmallOne) {
  const std::vector<Hold> large = Fill(Use::kRequest, kLargeBody);
  Hold growing(&ledger, Use::kRequest);
  std::size_t bytes = 0;
  while (growing.GrowTo(bytes + 1000) && bytes < kLargeBody)
    bytes += 1000;
  CHECK_COMPARE(
      ledger.held_bytes(), <=,
      ledger.Bound(Use::kRequest, kLargeBody) + MemoryLedger::kMaxSmallBody);
  CHECK_COMPARE(bytes, <, kLargeBody);
}

TEST(MemoryLedger, ARefusedHoldKeepsOrLosesBytes) {
  std::vector<Hold> answers = Fill(Use::kAnswer, kLargeBody);
  const std::size_t held = ledger.held_bytes();
  CHECK_FALSE(answers.back().GrowTo(2 * kLargeBody));
  CHECK_EQUAL(held, ledger.held_bytes());
  CHECK_EQUAL(kLargeBody, answers.back().bytes());
  answers.pop_back();
  CHECK_EQUAL(held - kLargeBody, ledger.held_bytes());
}

TEST(MemoryLedger, ReceivedBytesBeyondTheBoundAreNotCounted) {
  const std::vector<Hold> large = Fill(Use::kRequest, kLargeBody);
  const std::size_t held = ledger.held_bytes();
  Hold received(&ledger, Use::kRequest);
  CHECK_FALSE(received.Set(kLargeBody));
  CHECK_EQUAL(held + kLargeBody, ledger.held_bytes());
  CHECK(received.Set(0));
  CHECK_EQUAL(held, ledger.held_bytes());
}

TEST(MemoryLedger, AMovedHoldIsCountedTwiceOrNotAtAll) {
  Hold first(&ledger, Use::kRequest);
  CHECK(first.GrowTo(100));
  Hold second(&ledger, Use::kRequest);
  CHECK(second.GrowTo(30));
  second = std::move(first);
  CHECK_EQUAL(100, ledger.held_bytes());
  second = Hold();
  CHECK_EQUAL(0, ledger.held_bytes());
}

TEST(MemoryLedger, ASharedTextIsReleasedBeforeItsLastOwner) {
  Hold hold(&ledger, Use::kAnswer);
  CHECK(hold.GrowTo(6));
  std::shared_ptr<const std::string> text =
      ShareHeldText("answer", std::move(hold));
  const std::shared_ptr<const std::string> other = text;
  text.reset();
  STRCMP_EQUAL("answer", other->c_str());
  CHECK_EQUAL(6, ledger.held_bytes());
}
