#include "scenario.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace bbv {
namespace {

using Words = std::vector<std::string>;

constexpr int kDefaultRunMs = 30'000;
constexpr uint32_t kFaultWindowMs = 6000;

int Number(const std::string& word) {
  return std::stoi(word);
}

void RunLogCommand(VirtualFloor* floor, const std::string& what) {
  if (what == "outage")
    floor->SetLogOutage(true);
  else if (what == "back")
    floor->SetLogOutage(false);
  else if (what == "lose")
    floor->LoseLogAnswers(1);
  else if (what == "delay")
    floor->DelayLogAppends(1);
  else
    throw std::invalid_argument("log " + what);
}

// Undoes every fault that lasts: dead, frozen and cut-off nodes, log outage.
void Mend(VirtualFloor* floor) {
  const auto names = floor->NodeNames();
  for (const std::string& left : names) {
    for (const std::string& right : names)
      floor->Heal(left, right);
    floor->Thaw(left);
    floor->Restart(left);
  }
  floor->SetLogOutage(false);
}

struct CommandRow {
  std::size_t words;
  std::function<void(VirtualFloor*, const Words&)> run;
};

const std::map<std::string, CommandRow>& Commands() {
  using Floor = VirtualFloor;
  using W = Words;
  static const std::map<std::string, CommandRow> kCommands = {
      {"request",
       {3, [](Floor* f,
              const W& w) { f->StartRequest(w[1], w[2], Number(w[3])); }}},
      {"resume",
       {2, [](Floor* f, const W& w) { f->ResumeRequest(w[1], w[2]); }}},
      {"call",
       {3,
        [](Floor* f, const W& w) { f->StartCall(w[1], w[2], w[3], false); }}},
      {"read",
       {2, [](Floor* f, const W& w) { f->StartCall(w[1], w[2], "-", true); }}},
      {"kill", {1, [](Floor* f, const W& w) { f->Kill(w[1]); }}},
      {"kill-target", {1, [](Floor* f, const W& w) { f->KillTarget(w[1]); }}},
      {"restart", {1, [](Floor* f, const W& w) { f->Restart(w[1]); }}},
      {"freeze", {1, [](Floor* f, const W& w) { f->Freeze(w[1]); }}},
      {"thaw", {1, [](Floor* f, const W& w) { f->Thaw(w[1]); }}},
      {"cut", {2, [](Floor* f, const W& w) { f->Cut(w[1], w[2]); }}},
      {"heal", {2, [](Floor* f, const W& w) { f->Heal(w[1], w[2]); }}},
      {"silence", {2, [](Floor* f, const W& w) { f->Silence(w[1], w[2]); }}},
      {"repeat", {2, [](Floor* f, const W& w) { f->Repeat(w[1], w[2]); }}},
      {"log", {1, [](Floor* f, const W& w) { RunLogCommand(f, w[1]); }}},
      {"lose-answer",
       {1, [](Floor* f, const W& w) { f->LoseTargetAnswers(w[1], 1); }}},
      {"refuse-call",
       {1, [](Floor* f, const W& w) { f->RefuseTargetCall(w[1]); }}},
      {"stop", {1, [](Floor* f, const W& w) { f->StopNode(w[1]); }}},
      {"leave",
       {2,
        [](Floor* f, const W& w) {
          f->ListLeaving(w[1], Milliseconds(Number(w[2])));
        }}},
      {"plan",
       {3,
        [](Floor* f, const W& w) {
          f->PlanIntent(w[1], w[2], W(w.begin() + 3, w.end()));
        }}},
      {"confirm",
       {2, [](Floor* f, const W& w) { f->ConfirmPlan(w[1], w[2]); }}},
      {"forbid",
       {1,
        [](Floor* f, const W& w) {
          f->judge().ForbidNewWork(w[1], f->now() + Milliseconds(3000));
        }}},
      {"trim",
       {1, [](Floor* f,
              const W& w) { f->TrimLog(kConfigurationStream, Number(w[1])); }}},
      {"mend", {0, [](Floor* f, const W&) { Mend(f); }}},
  };
  return kCommands;
}

Words Split(const std::string& line) {
  std::istringstream in(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; in >> word;)
    words.push_back(word);
  return words;
}

// Returns what is, for comparison with the last word of an expectation.
std::string Observe(VirtualFloor* floor, const Words& words) {
  if (words[1] == "request")
    return floor->judge().RequestState(VirtualFloor::RequestIdOf(words[2]));
  if (words[1] == "call")
    return floor->judge().CallState(words[2]);
  if (words[1] == "runs")
    return std::to_string(floor->judge().RunCount(floor->CallIdOf(words[2])));
  if (words[1] == "plan")
    return floor->PlanStateOn(words[2], words[3]);
  if (words[1] == "agree")
    return floor->ConfigurationsAgree() ? "agree" : "differ";
  throw std::invalid_argument("expect " + words[1]);
}

void RunLines(const std::vector<Words>& lines,
              VirtualFloor* floor,
              std::vector<std::string>* faults) {
  const Instant start = floor->now();
  int run_ms = kDefaultRunMs;
  for (const Words& words : lines) {
    if (words[0] == "run") {
      run_ms = Number(words.at(1));
    } else if (words[0] == "at") {
      const auto row = Commands().find(words.at(2));
      if (row == Commands().end() || words.size() < row->second.words + 3)
        throw std::invalid_argument("at ... " + words.at(2));
      const Words command(words.begin() + 2, words.end());
      floor->At(start + Milliseconds(Number(words[1])),
                [floor, command, row] { row->second.run(floor, command); });
    }
  }
  floor->RunUntil(start + Milliseconds(run_ms));
  floor->judge().Finish();
  for (const Words& words : lines) {
    if (words[0] != "expect")
      continue;
    const std::string seen = Observe(floor, words);
    if (seen == words.back())
      continue;
    std::string line;
    for (const std::string& word : words)
      line.append(word).append(" ");
    faults->push_back(line.append("but saw ").append(seen));
  }
}

}  // namespace

ScenarioResult RunScenario(const std::string& script,
                           const FloorShape& shape,
                           uint64_t seed) {
  VirtualFloor floor(shape, seed);
  ScenarioResult result;
  std::vector<Words> lines;
  std::istringstream in(script);
  for (std::string line; std::getline(in, line);) {
    if (Words words = Split(line); !words.empty())
      lines.push_back(words);
  }
  try {
    RunLines(lines, &floor, &result.faults);
  } catch (const std::exception& error) {
    result.faults.push_back(std::string("malformed: ") + error.what());
  }
  const auto& violations = floor.judge().violations();
  result.faults.insert(result.faults.begin(), violations.begin(),
                       violations.end());
  return result;
}

namespace {

// Fault and work kinds by weight: work first, so that faults meet some.
std::string MakeCommand(const CommandSeed& seed, std::size_t index) {
  static const std::array<std::string, 8> kTargets = {
      "t0-0", "t0-1", "t1-0", "t1-1", "t2-0", "t2-1", "s0", "s1"};
  static const std::array<std::string, 10> kNodes = {
      "t0-0", "t0-1", "t1-0", "t1-1", "t2-0", "t2-1", "s0", "s1", "e0", "e1"};
  const std::string entry = "e" + std::to_string(seed.first % 2);
  const std::string& target = kTargets[seed.first % kTargets.size()];
  const std::string& node = kNodes[seed.first % kNodes.size()];
  const std::string& peer = kNodes[seed.second % kNodes.size()];
  const std::string name = std::to_string(index);
  const std::string key = "k" + std::to_string(seed.second % 4);
  const std::string link = node == peer ? "" : " " + node + " " + peer;
  const std::string request_of =
      "r" + std::to_string(seed.second % (index + 1));
  switch (seed.kind % 34) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:  // clang-format off
      return "request r" + name + " " + entry + " " + std::to_string(1 + seed.second % 40);
    case 6: case 7: case 8: case 9: case 10:
      return "call c" + name + " " + entry + " " + key;
    case 11: return "call c" + name + " " + entry + " -";
    case 12: return "read c" + name + " " + entry;
    case 13: return "kill " + node;
    case 14: return "kill-target " + target;
    case 15: case 16: return "restart " + node;
    case 17: return "freeze " + node;
    case 18: case 19: return "thaw " + node;
    case 20: return link.empty() ? "mend" : "cut" + link;
    case 21: return link.empty() ? "mend" : "heal" + link;
    case 22: return link.empty() ? "mend" : "silence" + link;
    case 23: return seed.first % 2 == 0 ? "log outage" : "log back";
    case 24: return seed.first % 2 == 0 ? "log lose" : "log delay";
    case 25: return "lose-answer " + target;
    case 26: return "refuse-call " + kTargets[6 + seed.first % 2];
    case 27: return "resume " + request_of + " " + entry;
    case 28: return "plan p" + name + " " + entry + " share workshop " + std::to_string(1 + seed.second % 9);
    case 29: return "stop " + target;
    case 30: return "plan p" + name + " " + entry + (seed.second % 2 == 0 ? " drain " : " undrain ") + target;
    case 31: case 32: return link.empty() ? "mend" : "repeat" + link;
    default: return "confirm p" + std::to_string(seed.second % (index + 1)) + " " + entry;
  }  // clang-format on
}

}  // namespace

std::string MakeScript(const std::vector<CommandSeed>& seeds) {
  std::string script;
  for (std::size_t it = 0; it < seeds.size(); ++it) {
    script += "at " + std::to_string(seeds[it].time % kFaultWindowMs) + " " +
              MakeCommand(seeds[it], it) + "\n";
  }
  script += "at 6500 mend\nrun 32000\nexpect agree\n";
  return script;
}

std::vector<std::string> RunFaultScripts(uint64_t first_seed,
                                         uint64_t count,
                                         int threads) {
  std::atomic<uint64_t> next{first_seed};
  std::mutex mutex;
  std::vector<std::string> failed;
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int it = 0; it < threads; ++it) {
    workers.emplace_back([&] {
      for (uint64_t seed = next++; seed < first_seed + count; seed = next++) {
        const auto result =
            RunScenario(MakeScript(DrawCommands(seed)), {}, seed);
        if (result.faults.empty())
          continue;
        const std::scoped_lock lock(mutex);
        failed.push_back("seed " + std::to_string(seed) + ": " +
                         result.faults.front());
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
  return failed;
}

std::vector<CommandSeed> DrawCommands(uint64_t seed) {
  std::mt19937_64 generator(seed);
  std::uniform_int_distribution<uint32_t> count(10, 50);
  std::uniform_int_distribution<uint32_t> any;
  std::vector<CommandSeed> commands(count(generator));
  for (CommandSeed& command : commands)
    command = {any(generator), any(generator), any(generator), any(generator)};
  return commands;
}

}  // namespace bbv
