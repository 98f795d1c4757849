#include "bbv_fleet/crash_evidence.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace bbv {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr uint64_t kDeadly = 0xdead;
constexpr uint64_t kFirst = 0xf1;

}  // namespace

TEST_GROUP(CrashEvidence) {
  CrashEvidence evidence;
  Instant now = kStart;
  uint32_t next_target = 1;
  uint32_t next_call = 1;

  // A target crashes 100 ms after calls with these traits were sent to it; time
  // goes on by `pause` first.
  CrashReport MakeCrash(const std::vector<std::vector<uint64_t>>& calls,
                        Milliseconds pause = Milliseconds(300)) {
    now += pause;
    CrashReport report{{next_target++, 1}, now, {}};
    for (const std::vector<uint64_t>& traits : calls) {
      const uint32_t call = next_call++;
      for (const uint64_t trait : traits)
        report.suspects.push_back({trait, call, now - Milliseconds(100)});
    }
    return report;
  }
  // The same, while 30 calls with other traits have output.
  void Crash(const std::vector<std::vector<uint64_t>>& calls) {
    evidence.AddCrash(MakeCrash(calls));
    for (int it = 0; it < 30; ++it)
      evidence.RecordOutput({});
  }
  // Whether exactly `traits` are found deadly.
  bool Finds(const std::vector<uint64_t>& traits) {
    const auto found = evidence.TakeDeadlyTraits();
    return found && found->traits == traits && !evidence.TakeDeadlyTraits();
  }
};

TEST(CrashEvidence, APartInThreeCrashesInARowIsDeadly) {
  Crash({{kFirst, kDeadly}, {1}});
  Crash({{2, kDeadly}});
  CHECK(!evidence.TakeDeadlyTraits());
  Crash({{3, kDeadly}, {1}});
  CHECK(Finds({kDeadly}));
}

// Guards against learning anew after a restart of all entries.
TEST(CrashEvidence, KeptCrashesLeadToTheSameVerdictElsewhere) {
  Crash({{1, kDeadly}});
  CHECK(evidence.KeptCrashes().empty());
  Crash({{2, kDeadly}, {5}});
  Crash({{6}});
  CHECK(!evidence.TakeDeadlyTraits());
  const std::vector<CrashReport> kept = evidence.KeptCrashes();
  CHECK_EQUAL(3U, kept.size());
  CrashEvidence restored;
  for (const CrashReport& it : kept)
    restored.AddCrash(it);
  CHECK(!restored.TakeDeadlyTraits());
  const CrashReport last = MakeCrash({{3, kDeadly}, {1}});
  evidence.AddCrash(last);
  restored.AddCrash(last);
  const auto verdict = restored.TakeDeadlyTraits();
  CHECK(verdict && verdict->traits == std::vector<uint64_t>{kDeadly});
  CHECK(Finds({kDeadly}));
  // Output clears the trait there too, and then nothing is kept.
  restored.RecordOutput({kDeadly});
  CHECK(restored.KeptCrashes().empty());
}

// Guards against learning anew: all entries may end after each call.
TEST(CrashEvidence, CrashesOfARepeatedCallAreKept) {
  CrashReport first = MakeCrash({{1, kDeadly}});
  CrashReport second = MakeCrash({{1, kDeadly}});
  // The repetition was sent at once; another entry rounds its times.
  for (CrashSuspect& it : second.suspects) {
    it.call = first.suspects.front().call;
    it.sent_at = first.crashed_at - Milliseconds(1);
  }
  evidence.AddCrash(first);
  CHECK(evidence.KeptCrashes().empty());
  evidence.AddCrash(second);
  CHECK_EQUAL(2U, evidence.KeptCrashes().size());
}

// Guards against many writes: targets that end together accuse popular parts.
TEST(CrashEvidence, CrashesAtOnceAreNotKept) {
  for (int it = 0; it < 20; ++it)
    evidence.AddCrash(MakeCrash({{kFirst, 1}, {kFirst, 2}}, Milliseconds(1)));
  CHECK(evidence.KeptCrashes().empty());
}

TEST(CrashEvidence, CrashesThatAreNotIndependentDoNotDelayAVerdict) {
  Crash({{1, kDeadly}});
  Crash({{2, kDeadly}});
  for (int it = 0; it < 8; ++it)
    evidence.AddCrash(MakeCrash({{3, kDeadly}}, Milliseconds(2)));
  CHECK(!evidence.TakeDeadlyTraits());
  Crash({{4, kDeadly}});
  CHECK(Finds({kDeadly}));
}

TEST(CrashEvidence, OutputOfASoundPartClearsIt) {
  for (int it = 0; it < 10; ++it) {
    Crash({{kFirst}});
    CHECK(evidence.RecordOutput({kFirst}) == std::vector<uint64_t>({kFirst}));
    CHECK(!evidence.TakeDeadlyTraits());
  }
  CHECK(evidence.RecordOutput({kFirst}).empty());
}

TEST(CrashEvidence, OutputAtAnotherEntryClearsAPart) {
  Crash({{kFirst}});
  Crash({{kFirst}});
  CHECK(evidence.ClearTrait(kFirst));
  Crash({{kFirst}});
  CHECK(!evidence.TakeDeadlyTraits());
}

// A rack fails: the calls had been sent before the first of the crashes.
TEST(CrashEvidence, CrashesAtTheSameTimeCountAsOne) {
  for (int it = 0; it < 10; ++it) {
    evidence.AddCrash(MakeCrash({{kFirst}}, Milliseconds(5)));
    CHECK_EQUAL(1, evidence.CrashCount(kFirst));
  }
  CHECK(!evidence.TakeDeadlyTraits());
}

TEST(CrashEvidence, OneCallAloneDoesNotMakeAPartDeadly) {
  for (int it = 0; it < 8; ++it) {
    next_call = 7;
    Crash({{kFirst}});
  }
  CHECK(!evidence.TakeDeadlyTraits());
}

TEST(CrashEvidence, ReportsOfSeveralEntriesOnOneCrashCountOnce) {
  for (int it = 0; it < 2; ++it) {
    const CrashReport report = MakeCrash({{kDeadly}});
    CHECK(evidence.AddCrash(report));
    for (int entry = 0; entry < 5; ++entry)
      CHECK(!evidence.AddCrash(report));
  }
  CHECK_EQUAL(2, evidence.CrashCount(kDeadly));
}

TEST(CrashEvidence, PartsThatOccurOnlyTogetherAreDeadlyTogether) {
  for (int it = 0; it < 3; ++it)
    Crash({{kFirst, kDeadly}});
  CHECK(Finds({kFirst, kDeadly}));
  // Sound calls with the same first trait go on and clear it.
  evidence.RecordOutput({kFirst});
  CHECK(Finds({kDeadly}));
}

TEST(CrashEvidence, OneMoreCrashSeparatesPartsThatWereDeadlyTogether) {
  for (int it = 0; it < 3; ++it)
    Crash({{kFirst, kDeadly}});
  CHECK(Finds({kFirst, kDeadly}));
  Crash({{2, kDeadly}});
  CHECK(Finds({kDeadly}));
}

TEST(CrashEvidence, ABystanderOfExplainedCrashesIsNotDeadly) {
  for (int it = 0; it < 8; ++it) {
    Crash({{static_cast<uint64_t>(it), kDeadly}, {kFirst}});
    if (it == 1)
      evidence.RecordOutput({kFirst});
  }
  CHECK(Finds({kDeadly}));
  CHECK_EQUAL(0, evidence.CrashCount(kFirst));
}

TEST(CrashEvidence, TwoDeadlyPartsAreFoundBesideEachOther) {
  constexpr uint64_t kOther = 0xbad;
  for (int it = 0; it < 3; ++it) {
    Crash({{kFirst + 10 + it, kDeadly}});
    Crash({{kFirst + 20 + it, kOther}});
  }
  const auto first = evidence.TakeDeadlyTraits();
  const auto second = evidence.TakeDeadlyTraits();
  CHECK(first && second && !evidence.TakeDeadlyTraits());
  CHECK(std::min(first->traits, second->traits) ==
        std::vector<uint64_t>({kOther}));
  CHECK(std::max(first->traits, second->traits) ==
        std::vector<uint64_t>({kDeadly}));
}

TEST(CrashEvidence, AWithdrawnCrashAccusesNothing) {
  const CrashReport report = MakeCrash({{kFirst}});
  evidence.AddCrash(report);
  evidence.WithdrawCrash(report.key);
  CHECK_EQUAL(0, evidence.CrashCount(kFirst));
  CHECK_EQUAL(0, evidence.size());
}

TEST(CrashEvidence, NoPartIsDeadlyWhileNoCallHasOutput) {
  for (int it = 0; it < 12; ++it)
    evidence.AddCrash(MakeCrash({{kFirst}, {1}, {2}}));
  CHECK(!evidence.TakeDeadlyTraits());
  // Once other calls have output, its lack of output tells.
  for (int it = 0; it < 100; ++it)
    evidence.RecordOutput({3});
  evidence.RecordOutput({1, 2});
  evidence.OnTick(now);
  CHECK(Finds({kFirst}));
}

TEST(CrashEvidence, MoreCrashesAreNeededWhenEachEndsManyCalls) {
  const auto crashes_needed = [this](int silent_calls) {
    CrashEvidence other;
    for (int n = 1; n <= 16; ++n) {
      std::vector<std::vector<uint64_t>> calls = {{kDeadly}};
      for (int it = 1; it < silent_calls; ++it)
        calls.push_back({next_call + 1000ULL});
      other.AddCrash(MakeCrash(calls));
      for (int it = 0; it < 15; ++it)
        other.RecordOutput({});
      if (other.TakeDeadlyTraits())
        return n;
    }
    return 100;
  };
  CHECK(crashes_needed(1) <= 4);
  CHECK(crashes_needed(10) > crashes_needed(1));
  CHECK(crashes_needed(40) <= 6);
}

TEST(CrashEvidence, AccusationsExpire) {
  Crash({{kDeadly}});
  Crash({{kDeadly}});
  now += Milliseconds(601'000);
  evidence.OnTick(now);
  CHECK_EQUAL(0, evidence.size());
}

TEST(CrashEvidence, ACallerWithEverNewPartsDoesNotFillTheMemory) {
  Crash({{kDeadly}});
  Crash({{kDeadly}});
  for (uint64_t it = 0; it < 200; ++it) {
    std::vector<uint64_t> traits;
    for (uint64_t n = 0; n < 200; ++n)
      traits.push_back(1'000'000 + it * 200 + n);
    Crash({traits});
    CHECK(evidence.size() <= 8192);
  }
  // What several crashes accuse is kept.
  Crash({{kDeadly}});
  CHECK(Finds({kDeadly}));
}

// A caller sends the trait of another account along with a deadly one.
TEST(CrashEvidence, APartInUseCannotBeGivenTheBlameOfAnother) {
  constexpr uint64_t kVictim = 0x71c;
  for (int it = 0; it < 20; ++it) {
    Crash({{kVictim, kDeadly}});
    evidence.RecordOutput({kVictim});
    if (const auto found = evidence.TakeDeadlyTraits())
      CHECK(found->traits == std::vector<uint64_t>({kDeadly}));
  }
}

// Crashes of other causes with a trait in most of the calls: 200 seeds, 40
// targets that fail one after the other, in groups or by turns, while the
// calls that are under way at other targets have output.
TEST(CrashEvidence, CrashesOfOtherCausesQuarantineNoPopularPart) {
  int wrong = 0;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    CrashEvidence fleet;
    Instant time = kStart;
    const int popular_percent = 10 + static_cast<int>(random() % 85);
    const auto draw_part = [&]() -> uint64_t {
      const bool popular = static_cast<int>(random() % 100) < popular_percent;
      return popular ? kFirst : 1 + random() % 60;
    };
    for (uint32_t target = 1; target <= 40; ++target) {
      // Crashes come up to 2 s apart, or together.
      time += Milliseconds(random() % 3 == 0 ? 2 : random() % 2000);
      CrashReport report{{target, 1}, time, {}};
      const uint32_t calls = random() % 5;
      for (uint32_t it = 0; it < calls; ++it) {
        const Instant sent_at = time - Milliseconds(random() % 300);
        report.suspects.push_back({draw_part(), next_call++, sent_at});
      }
      fleet.AddCrash(report);
      while (const auto found = fleet.TakeDeadlyTraits()) {
        ++wrong;
        if (found->traits == std::vector<uint64_t>({kFirst}))
          FAIL(("seed " + std::to_string(seed)).c_str());
      }
      // 20 calls a second reach targets that stay.
      for (uint32_t it = random() % 30; it > 0; --it)
        fleet.RecordOutput({draw_part()});
      fleet.OnTick(time);
    }
  }
  // A rare trait may be mistaken after one in a thousand of the 8000 crashes.
  CHECK(wrong <= 8);
}

// All targets of a small service end before any other call has output.
TEST(CrashEvidence, DeadlyRequestIsFoundThoughNoCallHasOutput) {
  const uint64_t request = RequestTrait({"bank", "POST", "/a", "body"});
  for (int it = 0; it < 5; ++it) {
    evidence.AddCrash(MakeCrash({{request}}));
    CHECK(!evidence.TakeDeadlyTraits());
  }
  evidence.AddCrash(MakeCrash({{request}}));
  CHECK(Finds({request}));
}

// The request comes at two entries at once, and hardly any call has output.
TEST(CrashEvidence, DeadlyRequestThatComesTwiceAtOnceCountsOnce) {
  const uint64_t request = RequestTrait({"bank", "POST", "/a", "body"});
  for (int outputs = 0; outputs < 4; ++outputs) {
    CrashEvidence other;
    for (int pair = 1; pair <= 3; ++pair) {
      other.AddCrash(MakeCrash({{request}}, Milliseconds(4000)));
      other.AddCrash(MakeCrash({{request}}, Milliseconds(2)));
      CHECK_EQUAL(pair == 3, other.TakeDeadlyTraits().has_value());
      for (int it = 0; it < outputs; ++it)
        other.RecordOutput({});
    }
  }
}

// Both copies of some pairs are at the same target, each sent by another entry.
TEST(CrashEvidence, CopiesOfADeadlyRequestAtOneTargetCountAsOne) {
  const uint64_t request = RequestTrait({"bank", "POST", "/a", "body"});
  constexpr int kPairs = 3;
  for (unsigned shared = 1; shared < 1U << kPairs; ++shared) {
    CrashEvidence other;
    for (int pair = 0; pair < kPairs; ++pair) {
      const CrashReport first = MakeCrash({{request}}, Milliseconds(4000));
      CrashReport second = MakeCrash({{request}}, Milliseconds(2));
      if ((shared >> pair & 1U) != 0) {
        second.key = first.key;
        second.suspects[0].sent_at = first.suspects[0].sent_at;
      }
      CHECK(!other.TakeDeadlyTraits());
      CHECK(other.AddCrash(first));
      CHECK(other.AddCrash(second));
      CHECK(!other.AddCrash(second));
    }
    CHECK(other.TakeDeadlyTraits().has_value());
  }
}

// Many calls end with each target, and copies are often among them.
TEST(CrashEvidence, CopiesOfAPopularRequestInLargeCrashesAreDeadly) {
  const uint64_t request = RequestTrait({"bank", "GET", "/rates", ""});
  for (int crash = 0; crash < 16; ++crash) {
    std::vector<std::vector<uint64_t>> calls(6, {request});
    for (uint64_t it = 0; it < 10; ++it)
      calls.push_back({next_call + 1000 + it});
    evidence.AddCrash(MakeCrash(calls));
    CHECK(!evidence.TakeDeadlyTraits());
  }
}

// Copies at one target are of one burst.
TEST(CrashEvidence, ManyCopiesInTwoCrashesAreDeadly) {
  const uint64_t request = RequestTrait({"bank", "GET", "/rates", ""});
  for (int crash = 0; crash < 2; ++crash) {
    evidence.AddCrash(
        MakeCrash(std::vector<std::vector<uint64_t>>(40, {request})));
    CHECK(!evidence.TakeDeadlyTraits());
  }
}

// Racks fail with copies of a sound request that comes in bursts.
TEST(CrashEvidence, SoundRequestInTwoBurstsIsNotDeadly) {
  const uint64_t request = RequestTrait({"bank", "GET", "/rates", ""});
  for (int burst = 0; burst < 2; ++burst) {
    now += Milliseconds(60'000);
    for (int it = 0; it < 8; ++it)
      evidence.AddCrash(MakeCrash({{request}}, Milliseconds(5)));
    CHECK(!evidence.TakeDeadlyTraits());
  }
  CHECK(evidence.RecordOutput({request}) == std::vector<uint64_t>({request}));
  CHECK_EQUAL(0, evidence.size());
}

// Two calls in five are one sound request, and targets fail for other reasons.
TEST(CrashEvidence, CrashesOfOtherCausesQuarantineNoPopularRequest) {
  const uint64_t popular = RequestTrait({"bank", "GET", "/rates", ""});
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    CrashEvidence fleet;
    Instant time = kStart;
    const auto draw = [&] {
      return random() % 5 < 2
                 ? popular
                 : RequestTrait({"bank", "GET", "/x",
                                 std::to_string(random() % 100'000)});
    };
    for (uint32_t target = 1; target <= 40; ++target) {
      time += Milliseconds(random() % 3 == 0 ? 2 : random() % 2000);
      CrashReport report{{target, 1}, time, {}};
      for (uint32_t it = random() % 5; it > 0; --it) {
        report.suspects.push_back(
            {draw(), next_call++, time - Milliseconds(random() % 300)});
      }
      fleet.AddCrash(report);
      if (fleet.TakeDeadlyTraits())
        FAIL(("seed " + std::to_string(seed)).c_str());
      for (uint32_t it = random() % 30; it > 0; --it)
        fleet.RecordOutput({draw()});
      fleet.OnTick(time);
    }
  }
}

// A sound request that comes often and a deadly one with its prompt's parts.
TEST(CrashEvidence, PartsAndSoundRequestsAreNotBlamedForADeadlyRequest) {
  const uint64_t sound = RequestTrait({"bank", "POST", "/a", "sound"});
  const uint64_t deadly = RequestTrait({"bank", "POST", "/a", "deadly"});
  for (int it = 0; it < 2; ++it) {
    Crash({{sound, kFirst}, {deadly, kFirst}});
    evidence.RecordOutput({sound, kFirst});
    CHECK(!evidence.TakeDeadlyTraits());
  }
  Crash({{sound, kFirst}, {deadly, kFirst}});
  CHECK(Finds({deadly}));
}

}  // namespace bbv
