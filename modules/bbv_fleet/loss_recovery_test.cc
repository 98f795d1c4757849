#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"

using bbv::CallDispatch;
using bbv::Instant;
using bbv::Milliseconds;

namespace {

constexpr int kEntries = 6;
constexpr int kStreamsPerEntry = 50;
constexpr int kPriorities = 3;
constexpr Milliseconds kObjective{250};
constexpr Milliseconds kSilentBeforeLoss{100};
constexpr Milliseconds kCallerPatience{1700};
constexpr Milliseconds kTick{10};
const char* const kLost = "lost";

// A stream that has lost a hop.
struct Stream {
  bbv::CallRequest request;
  CallDispatch path;
  // What it adds to the load of its replacement.
  CallDispatch reserved;
  std::vector<std::string> excluded;
  Instant search_at{};
  // When its replacement will have prefilled it.
  Instant resumes_at{};
  bool is_moved = false;
};

// An entry and its streams.
struct Entry {
  bbv::TargetRegistry registry;
  std::unique_ptr<bbv::TargetSelector> selector;
  std::vector<Stream> streams;
};

// What the streams of all entries met.
struct Outcome {
  // Streams in time by priority.
  std::map<int, int> in_time;
  int in_time_total = 0;
  Instant last_resumed{};
  // When each replacement had prefilled all of its streams.
  std::map<std::string, Instant> busy_until;
};

}  // namespace

// The loss of one target that 300 streams of six entries use. Replacements of
// different speeds prefill in the order of arrival; the entries do not hear
// from each other meanwhile.
TEST_GROUP(LossRecovery) {
  bbv::EngineModel model = bbv_test::MakeModel();
  bbv::ServiceRoute route;
  bbv::FleetAccount accounts[kPriorities];
  std::vector<Entry> entries = std::vector<Entry>(kEntries);
  Instant start = Instant() + Milliseconds(10'000);
  // Tokens per millisecond of each replacement.
  std::map<std::string, double> rates;
  std::map<std::string, Instant> busy_until;
  // Rejects every changed path.
  std::string refusing;
  // Fails at this time.
  std::string failing;
  Instant fails_at{};
  bool is_scheduled = true;

  void setup() override {
    model.layers = 8;
    model.kv_bytes_per_token = 40'000;
    model.read_tokens_per_ms = 600;
    route.kind = bbv::CallKind::kStream;
    route.event_gap_objective_ms = kObjective.count();
    for (int it = 0; it < kPriorities; ++it)
      accounts[it].priority = it;
    AddTarget("first", "large", {0, 4});
    AddTarget(kLost, "large", {4, 8});
    AddTarget("fast", "large", {4, 8});
    AddTarget("medium", "middle", {4, 8});
    AddTarget("slow", "small", {4, 8});
    for (Entry& it : entries)
      AddStreams(&it);
    TellPeers();
  }

  void AddTarget(const std::string& id, const std::string& kind,
                 bbv::LayerRange layers) {
    bbv::TargetRecord record = bbv_test::MakeRecord(id, "engine", "a");
    record.accelerator = kind;
    record.layers = layers;
    record.slots = 1000;
    for (Entry& it : entries)
      it.registry.Apply(record, start);
    rates[id] = model.read_tokens_per_ms / (model.FindKind(kind)->read_factor *
                                            layers.size() / model.layers);
  }

  void AddStreams(Entry * entry) {
    entry->selector =
        std::make_unique<bbv::TargetSelector>(&entry->registry, "a");
    entry->selector->SetEntries(kEntries);
    for (int it = 0; it < kStreamsPerEntry; ++it) {
      Stream stream;
      stream.request.service = "engine";
      stream.request.route = &route;
      stream.request.account = &accounts[it % kPriorities];
      stream.request.priority = it % kPriorities;
      stream.request.prompt_tokens = 200 + 29 * it;
      stream.request.output_tokens = 150;
      stream.path.target_id = "first";
      stream.path.hop_ids = {"first", kLost};
      stream.path.layers = {{0, 4}, {4, 8}};
      stream.path.tokens = stream.request.prompt_tokens + 150;
      entry->selector->AddInFlight(stream.path);
      entry->streams.push_back(stream);
    }
  }

  void TellPeers() {
    for (Entry& it : entries) {
      constexpr int kPeerStreams = (kEntries - 1) * kStreamsPerEntry;
      it.registry.SetPeerLoad("peers", {{"first", kPeerStreams, 0, 0},
                                        {kLost, kPeerStreams, 0, 0}});
    }
  }

  bbv::StreamProgress ProgressOf(const Stream&) const {
    const Instant last = start - kSilentBeforeLoss;
    return {10, last + kObjective, true};
  }

  void Lose(const std::string& id, Instant now) {
    for (Entry& entry : entries) {
      entry.registry.Suspect(entry.registry.Find(id), now);
      for (Stream& it : entry.streams) {
        if (it.path.hop_ids.back() != id ||
            (it.is_moved && it.resumes_at <= now))
          continue;
        entry.selector->RemoveInFlight(&it.reserved);
        it.reserved = {};
        it.is_moved = false;
        it.search_at = now;
        it.excluded = {id};
      }
    }
  }

  void Move(Entry * entry, Stream * stream, Instant now) {
    const bbv::FleetIndex index = MakeIndex();
    for (;;) {
      const bbv::RerouteChoice choice = entry->selector->SelectReroute(
          index, stream->request, stream->path, ProgressOf(*stream),
          stream->excluded, stream->request.prompt_tokens, now);
      if (choice.search_again_at)
        stream->search_at = *choice.search_again_at;
      if (!choice.path)
        return;
      const std::string& id = choice.path->hop_ids.back();
      if (id != refusing) {
        Prefill(entry, stream, *choice.path, now);
        return;
      }
      stream->excluded.push_back(id);
      entry->registry.MarkFull(entry->registry.Find(id), now);
    }
  }

  void Prefill(Entry * entry, Stream * stream, const CallDispatch& path,
               Instant now) {
    stream->path = path;
    stream->is_moved = true;
    const std::string& id = path.hop_ids.back();
    const double tokens = stream->request.prompt_tokens + 11;
    const Milliseconds prefill(static_cast<int64_t>(tokens / rates[id]) + 1);
    stream->resumes_at = std::max(busy_until[id], now) + prefill;
    busy_until[id] = stream->resumes_at;
    if (!is_scheduled)
      return;
    stream->reserved = bbv::TargetSelector::NewHops(path);
    entry->selector->AddInFlight(stream->reserved);
  }

  bbv::FleetIndex MakeIndex() const {
    bbv::FleetConfiguration configuration;
    configuration.services = {{"engine", 1000, model}};
    return bbv::FleetIndex(configuration);
  }

  void Tick(Entry * entry, Instant now) {
    const bbv::FleetIndex index = MakeIndex();
    std::vector<std::pair<bbv::LostStream, Stream*>> waiting;
    for (Stream& it : entry->streams) {
      if (it.is_moved && it.resumes_at <= now)
        entry->selector->MarkPromptRead(&it.reserved);
      if (!it.is_moved && it.search_at <= now) {
        waiting.emplace_back(bbv::TargetSelector::MakeLostStream(
                                 index, it.request, ProgressOf(it)),
                             &it);
      }
    }
    if (is_scheduled) {
      std::stable_sort(waiting.begin(), waiting.end(),
                       [now](const auto& left, const auto& right) {
                         return bbv::RecoverySchedule::IsMoreUrgent(
                             left.first, right.first, now);
                       });
    }
    for (const auto& [lost, it] : waiting)
      Move(entry, it, now);
  }

  Outcome Play() {
    Lose(kLost, start);
    for (Instant now = start; now < start + kCallerPatience; now += kTick) {
      if (!failing.empty() && now == fails_at)
        Lose(failing, now);
      for (Entry& it : entries)
        Tick(&it, now);
    }
    Outcome outcome;
    for (const Entry& entry : entries) {
      for (const Stream& it : entry.streams) {
        CHECK(it.is_moved);
        outcome.last_resumed = std::max(outcome.last_resumed, it.resumes_at);
        if (it.resumes_at > ProgressOf(it).event_deadline)
          continue;
        ++outcome.in_time[*it.request.account->priority];
        ++outcome.in_time_total;
      }
    }
    outcome.busy_until = busy_until;
    return outcome;
  }

  // Moves the streams in no order, all at once and without a record of what
  // they add to the load of their replacements.
  void PlayUnscheduled() {
    is_scheduled = false;
    route.event_gap_objective_ms = 0;
  }

  void CheckNoneStarves(const Outcome& outcome) {
    CHECK(outcome.last_resumed <= start - kSilentBeforeLoss + kCallerPatience);
  }
};

TEST(LossRecovery, MovesTheUrgentStreamsInTimeOverAllReplacements) {
  const Outcome outcome = Play();
  // What all replacements prefill together until the deadline is a third of the
  // streams' tokens: that of the most urgent class.
  constexpr int kPerPriority = kEntries * kStreamsPerEntry / kPriorities;
  CHECK(outcome.in_time.at(0) >= kPerPriority * 8 / 10);
  CHECK(outcome.in_time_total >= 80);
  CheckNoneStarves(outcome);
  // No replacement is idle while another has several times the objective left.
  for (const char* left : {"fast", "medium", "slow"}) {
    for (const char* right : {"fast", "medium", "slow"}) {
      CHECK(outcome.busy_until.at(left) <=
            outcome.busy_until.at(right) + kObjective);
    }
  }
}

TEST(LossRecovery, AllAtOnceServesNoClassWellAndOneReplacementOnly) {
  PlayUnscheduled();
  const Outcome outcome = Play();
  CHECK(outcome.in_time_total < 80);
  CHECK_EQUAL(1, static_cast<int>(outcome.busy_until.size()));
}

TEST(LossRecovery, StreamsOfAReplacementThatFailsAreScheduledAgain) {
  failing = "fast";
  fails_at = start + Milliseconds(60);
  CheckNoneStarves(Play());
  for (const Entry& entry : entries) {
    for (const Stream& it : entry.streams)
      CHECK(it.path.hop_ids.back() != "fast" || it.resumes_at <= fails_at);
  }
}

TEST(LossRecovery, StreamsThatAReplacementRefusesMoveToAnother) {
  refusing = "fast";
  const Outcome outcome = Play();
  CHECK(outcome.in_time_total > 0);
  CHECK_EQUAL(0, static_cast<int>(outcome.busy_until.count("fast")));
}

TEST(LossRecovery, AnEntryThatKnowsNothingOfItsPeersSpreadsItsOwnStreams) {
  for (Entry& it : entries)
    it.registry.SetPeerLoad("peers", {});
  const Outcome outcome = Play();
  CHECK(outcome.in_time.at(0) > outcome.in_time.at(2));
  CHECK_EQUAL(3, static_cast<int>(outcome.busy_until.size()));
  CheckNoneStarves(outcome);
}
