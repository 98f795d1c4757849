#include "bbv_fleet/crash_evidence.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bbv {
namespace {

// Fewest independent crashes that make a trait deadly, and the number with
// which rivals do not delay the verdict any more.
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kDecisiveCrashes = 6;
// Highest chance, see ChanceIfSound(), with which a trait is held to be deadly
// after kMinCrashes. Each further crash multiplies it, up to a limit: while
// targets go on ending, waiting costs more callers than a wrong verdict.
constexpr double kMaxChance = 0.0002;
constexpr double kChanceGrowthPerCrash = 5;
constexpr double kMaxChanceLimit = 0.03;
// Shares of the calls for which the probability is computed, and the largest
// share that calls with one and the same request are assumed to have: where
// targets crash before any call has output, nothing else tells a deadly request
// from a popular one.
constexpr int kPopularitySteps = 200;
constexpr double kMaxRequestPopularity = 0.5;
// Copies of a request at one target that count: further ones are taken for one
// burst.
constexpr std::size_t kMaxCopiesOfCrash = 2;
// Retention of accusations; deadly requests may be minutes apart.
constexpr Milliseconds kAccusationLifetime{600'000};
constexpr Milliseconds kExpiryInterval{1000};
constexpr std::size_t kMaxAccusedTraits = 8192;
constexpr std::size_t kMaxAccusationsOfTrait = 16;
constexpr std::size_t kMaxCrashes = 512;
constexpr std::size_t kMaxSilentCallsOfCrash = 64;
// Successive crashes that accuse a trait from which on they are kept: one call
// may be behind all of them, and the next one comes after a restart.
constexpr std::size_t kMinKeptCrashes = 2;
// A call is repeated within a millisecond of a crash, and the times that other
// entries tell are less exact.
constexpr Milliseconds kRepeatTolerance{20};

double BinomialCoefficient(double n, double k) {
  return std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) -
                  std::lgamma(n - k + 1));
}

// Returns how probable it is that at least `copies` of `calls` hold a trait
// that the share `popularity` of all calls has.
double ChanceOfCopies(std::size_t calls, int copies, double popularity) {
  const auto n = static_cast<double>(calls);
  double fewer = 0;
  for (int it = 0; it < copies; ++it) {
    fewer += BinomialCoefficient(n, it) * std::pow(popularity, it) *
             std::pow(1 - popularity, n - it);
  }
  return std::max(0.0, 1 - fewer);
}

// Returns the limit of the chance for `draws` calls that crashes ended.
double AcceptedChance(std::size_t draws) {
  const auto further = static_cast<double>(draws - kMinCrashes);
  return std::min(kMaxChanceLimit,
                  kMaxChance * std::pow(kChanceGrowthPerCrash, further));
}

double MaxPopularity(uint64_t trait) {
  return IsRequestTrait(trait) ? kMaxRequestPopularity : 1;
}

}  // namespace

bool CrashEvidence::AddCrash(const CrashReport& report) {
  bool is_new = false;
  SilentCalls& silent = silent_calls_[report.key];
  silent.crashed_at = report.crashed_at;
  const auto add_silent_call = [&silent](uint32_t call) {
    if (silent.calls.size() < kMaxSilentCallsOfCrash)
      silent.calls.insert(call);
  };
  for (const CrashSuspect& it : report.suspects) {
    add_silent_call(it.call);
    is_new |= Accuse(it.trait, {report.key,
                                report.crashed_at,
                                it.sent_at,
                                it.call,
                                outputs_ - report.outputs_since,
                                {it.call}});
  }
  std::for_each(report.silent_calls.begin(), report.silent_calls.end(),
                add_silent_call);
  has_news_ |= is_new;
  revision_ += is_new ? 1 : 0;
  LimitMemory();
  return is_new;
}

bool CrashEvidence::Accuse(uint64_t trait, const Accusation& accusation) {
  Accusations& list = accusations_[trait];
  const auto same = std::find_if(
      list.begin(), list.end(),
      [&](const Accusation& it) { return it.key == accusation.key; });
  if (same != list.end())
    return MergeAccusation(accusation, &*same);
  const auto later =
      std::find_if(list.begin(), list.end(), [&](const Accusation& it) {
        return it.crashed_at > accusation.crashed_at;
      });
  list.insert(later, accusation);
  if (list.size() > kMaxAccusationsOfTrait)
    list.erase(list.begin());
  return true;
}

bool CrashEvidence::MergeAccusation(const Accusation& accusation,
                                    Accusation* known) {
  bool is_new = false;
  if (known->copies.size() < kMaxCopiesOfCrash)
    is_new = known->copies.insert(accusation.call).second;
  // The call sent last tells most about crashes before this one.
  if (accusation.sent_at <= known->sent_at)
    return is_new;
  known->sent_at = accusation.sent_at;
  known->call = accusation.call;
  return true;
}

template <typename Predicate>
void CrashEvidence::RemoveAccusations(Predicate predicate) {
  std::size_t removed = 0;
  for (auto& [trait, list] : accusations_) {
    removed += std::erase_if(list, [&, trait = trait](const Accusation& it) {
      return predicate(trait, it);
    });
  }
  revision_ += removed > 0 ? 1 : 0;
  std::erase_if(accusations_, [](const auto& it) { return it.second.empty(); });
}

void CrashEvidence::WithdrawCrash(const CrashKey& key) {
  RemoveAccusations(
      [&key](uint64_t, const Accusation& it) { return it.key == key; });
}

std::vector<uint64_t> CrashEvidence::RecordOutput(
    const std::vector<uint64_t>& traits) {
  outputs_ += entries_;
  std::vector<uint64_t> cleared;
  if (accusations_.empty())
    return cleared;
  for (const uint64_t it : traits) {
    if (ClearTrait(it))
      cleared.push_back(it);
  }
  return cleared;
}

bool CrashEvidence::ClearTrait(uint64_t trait) {
  if (accusations_.erase(trait) == 0)
    return false;
  ++revision_;
  // Parts that were deadly together with this one are judged again without it.
  has_news_ |= std::erase_if(verdicts_, [trait](const auto& it) {
                 return std::binary_search(it.begin(), it.end(), trait);
               }) > 0;
  return true;
}

CrashEvidence::Accusations CrashEvidence::SuccessiveCrashes(
    const Accusations& accusations,
    Milliseconds tolerance) {
  Accusations successive;
  for (const Accusation& it : accusations) {
    if (successive.empty() ||
        it.sent_at + tolerance > successive.back().crashed_at)
      successive.push_back(it);
  }
  return successive;
}

std::vector<CrashKey> CrashEvidence::IndependentCrashes(
    const Accusations& accusations) {
  std::vector<CrashKey> keys;
  std::set<uint32_t> calls;
  for (const Accusation& it : SuccessiveCrashes(accusations, Milliseconds(0))) {
    keys.push_back(it.key);
    calls.insert(it.call);
  }
  if (calls.size() < 2 && keys.size() > 1)
    return {};
  return keys;
}

std::vector<CrashReport> CrashEvidence::KeptCrashes() const {
  std::map<CrashKey, CrashReport> reports;
  Instant first = Instant::max();
  for (const auto& [trait, list] : accusations_) {
    if (list.size() < kMinKeptCrashes ||
        SuccessiveCrashes(list, kRepeatTolerance).size() < kMinKeptCrashes)
      continue;
    first = std::min(first, list.front().crashed_at);
    AddSuspects(trait, list, outputs_, &reports);
  }
  if (reports.empty())
    return {};
  std::vector<CrashReport> kept;
  for (const auto& [key, silent] : silent_calls_) {
    if (silent.crashed_at < first)
      continue;
    CrashReport& report = kept.emplace_back(std::move(reports[key]));
    report.key = key;
    report.crashed_at = silent.crashed_at;
    report.silent_calls.assign(silent.calls.begin(), silent.calls.end());
  }
  std::sort(kept.begin(), kept.end(),
            [](const CrashReport& left, const CrashReport& right) {
              return left.crashed_at < right.crashed_at;
            });
  if (kept.size() > kMaxKeptCrashes)
    kept.erase(kept.begin(), kept.end() - kMaxKeptCrashes);
  return kept;
}

void CrashEvidence::AddSuspects(uint64_t trait,
                                const Accusations& accusations,
                                double outputs,
                                std::map<CrashKey, CrashReport>* reports) {
  for (const Accusation& it : accusations) {
    CrashReport& report = (*reports)[it.key];
    report.outputs_since =
        std::max(report.outputs_since, outputs - it.outputs_before);
    for (const uint32_t call : it.copies)
      report.suspects.push_back({trait, call, it.sent_at});
  }
}

std::vector<CrashEvidence::Draw> CrashEvidence::MakeDraws(
    uint64_t trait,
    const Accusations& accusations,
    const std::vector<CrashKey>& independent) {
  std::vector<Draw> draws;
  // Copies of one request are chosen one by one, while many calls of one client
  // may share a part.
  if (IsRequestTrait(trait)) {
    for (const Accusation& it : accusations)
      draws.push_back({it.key, static_cast<int>(it.copies.size())});
  } else {
    for (const CrashKey& it : independent)
      draws.push_back({it});
  }
  return draws;
}

std::size_t CrashEvidence::CountCopies(const std::vector<Draw>& draws) {
  std::size_t copies = 0;
  for (const Draw& it : draws)
    copies += static_cast<std::size_t>(it.copies);
  return copies;
}

int CrashEvidence::CrashCount(uint64_t trait) const {
  const auto it = accusations_.find(trait);
  return it == accusations_.end()
             ? 0
             : static_cast<int>(IndependentCrashes(it->second).size());
}

double CrashEvidence::ChanceIfSound(const Accusations& accusations,
                                    const std::vector<Draw>& draws,
                                    double max_popularity) const {
  const auto first = silent_calls_.find(draws.front().key);
  if (first == silent_calls_.end())
    return 1;
  // Crashes that accuse the trait, but not independently, prove nothing.
  const auto independent_crashes = std::count_if(
      silent_calls_.begin(), silent_calls_.end(), [&](const auto& it) {
        return it.second.crashed_at >= first->second.crashed_at &&
               (!IsAccusedBy(accusations, it.first) ||
                std::any_of(draws.begin(), draws.end(), [&](const Draw& draw) {
                  return draw.key == it.first;
                }));
      });
  const double selections =
      BinomialCoefficient(static_cast<double>(independent_crashes),
                          static_cast<double>(draws.size()));
  const double outputs = outputs_ - accusations.front().outputs_before;
  double highest = 0;
  for (int step = 1; step < kPopularitySteps; ++step) {
    // Share of all calls that hold the trait.
    const double popularity = max_popularity * step / kPopularitySteps;
    double chance = selections * std::pow(1 - popularity, outputs);
    for (const Draw& it : draws) {
      const auto silent = silent_calls_.find(it.key);
      if (silent == silent_calls_.end())
        continue;
      chance *=
          ChanceOfCopies(silent->second.calls.size(), it.copies, popularity);
    }
    highest = std::max(highest, chance);
  }
  return highest;
}

bool CrashEvidence::IsAccusedBy(const Accusations& accusations,
                                const CrashKey& key) {
  return std::any_of(accusations.begin(), accusations.end(),
                     [&key](const Accusation& it) { return it.key == key; });
}

bool CrashEvidence::IsAccusedByAll(uint64_t trait,
                                   const std::vector<CrashKey>& keys) const {
  const auto row = accusations_.find(trait);
  if (row == accusations_.end())
    return false;
  return std::all_of(keys.begin(), keys.end(), [&row](const CrashKey& it) {
    return IsAccusedBy(row->second, it);
  });
}

std::vector<uint64_t> CrashEvidence::TraitsAccusedByAll(
    const std::vector<CrashKey>& keys) const {
  std::vector<uint64_t> traits;
  for (const auto& [trait, list] : accusations_) {
    if (IsAccusedByAll(trait, keys))
      traits.push_back(trait);
  }
  std::sort(traits.begin(), traits.end());
  return traits;
}

std::vector<CrashEvidence::Candidate> CrashEvidence::FindCandidates() const {
  std::vector<Candidate> candidates;
  for (const auto& [trait, list] : accusations_) {
    if (list.size() < kMinCrashes)
      continue;
    std::vector<CrashKey> crashes = IndependentCrashes(list);
    if (crashes.size() < kMinCrashes)
      continue;
    const std::vector<Draw> draws = MakeDraws(trait, list, crashes);
    if (ChanceIfSound(list, draws, MaxPopularity(trait)) <=
        AcceptedChance(CountCopies(draws)))
      candidates.push_back({trait, std::move(crashes)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.crashes.size() != right.crashes.size()
                         ? left.crashes.size() > right.crashes.size()
                         : left.trait < right.trait;
            });
  return candidates;
}

bool CrashEvidence::HasRival(const std::vector<Candidate>& candidates,
                             const Candidate& best) const {
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& it) {
        return it.crashes.size() == best.crashes.size() &&
               !IsAccusedByAll(it.trait, best.crashes) &&
               std::any_of(it.crashes.begin(), it.crashes.end(),
                           [&](const CrashKey& key) {
                             return IsAccusedByAll(best.trait, {key});
                           });
      });
}

std::optional<DeadlyTraits> CrashEvidence::TakeDeadlyTraits() {
  if (!has_news_)
    return std::nullopt;
  for (const std::vector<uint64_t>& it : verdicts_)
    RemoveExplained(it);
  const std::vector<Candidate> candidates = FindCandidates();
  for (const Candidate& best : candidates) {
    if (best.crashes.size() < kDecisiveCrashes && HasRival(candidates, best))
      continue;
    DeadlyTraits verdict{TraitsAccusedByAll(best.crashes),
                         static_cast<int>(best.crashes.size())};
    if (verdicts_.insert(verdict.traits).second)
      return verdict;
  }
  has_news_ = false;
  return std::nullopt;
}

void CrashEvidence::RemoveExplained(const std::vector<uint64_t>& traits) {
  const auto first = accusations_.find(traits.front());
  if (first == accusations_.end())
    return;
  std::set<CrashKey> explained;
  for (const Accusation& it : first->second) {
    if (std::all_of(traits.begin(), traits.end(), [&](uint64_t trait) {
          return IsAccusedByAll(trait, {it.key});
        }))
      explained.insert(it.key);
  }
  RemoveAccusations([&](uint64_t trait, const Accusation& it) {
    return explained.contains(it.key) &&
           !std::binary_search(traits.begin(), traits.end(), trait);
  });
}

void CrashEvidence::LimitMemory() {
  if (silent_calls_.size() > kMaxCrashes) {
    silent_calls_.erase(std::min_element(
        silent_calls_.begin(), silent_calls_.end(),
        [](const auto& left, const auto& right) {
          return left.second.crashed_at < right.second.crashed_at;
        }));
  }
  if (accusations_.size() <= kMaxAccusedTraits)
    return;
  std::vector<Instant> newest;
  newest.reserve(accusations_.size());
  for (const auto& [trait, list] : accusations_)
    newest.push_back(list.back().crashed_at);
  const auto middle =
      newest.begin() + static_cast<std::ptrdiff_t>(newest.size() / 2);
  std::nth_element(newest.begin(), middle, newest.end());
  // Parts that several crashes accuse are kept.
  std::erase_if(accusations_, [limit = *middle](const auto& it) {
    return it.second.size() == 1 && it.second.back().crashed_at <= limit;
  });
}

void CrashEvidence::OnTick(Instant now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryInterval;
  // Output since the last crash may have completed the evidence.
  has_news_ |= !accusations_.empty();
  RemoveAccusations([now](uint64_t, const Accusation& it) {
    return now >= it.crashed_at + kAccusationLifetime;
  });
  std::erase_if(silent_calls_, [now](const auto& it) {
    return now >= it.second.crashed_at + kAccusationLifetime;
  });
}

}  // namespace bbv
