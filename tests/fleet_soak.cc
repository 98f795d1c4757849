#include "fleet_soak.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace bbv {
namespace {

using std::chrono::milliseconds;

constexpr int kEntries = 3;
constexpr int kEngines = 8;
constexpr int kServices = 2;
constexpr int kCallers = 8;
constexpr int kFaults = 14;
constexpr int kInjectionMs = 6000;
// stop_timeout_s in the entries' settings, and the tolerance for process start
// and exit.
constexpr int kStopLimitMs = 8000;
constexpr int kStopToleranceMs = 700;
// Time after the last fault within which all entries must serve again.
constexpr int kRecoveryTimeoutMs = 12'000;
// [retries] in the entries' settings, and max_attempts in the configuration.
constexpr double kRetryShare = 0.2;
constexpr int kRetryExtra = 100;
constexpr int kRetryWindowMs = 10'000;
constexpr int kMaxAttempts = 2;
// Calls that a caller makes to one entry before it moves on to the next.
constexpr int kCallsPerEntry = 15;
constexpr int kCallDeadlineMs = 4000;

}  // namespace

FleetSoak::FleetSoak(uint64_t seed)
    : random_(seed),
      options_([] {
        standins::FleetTargets::Options options;
        options.engines = kEngines;
        options.services = kServices;
        options.events = 60;
        options.event_ms = 8;
        options.work_ms = 15;
        options.proxied = true;
        return options;
      }()),
      floor_(kEntries, options_) {}

std::vector<std::string> FleetSoak::Run() {
  if (!floor_.Start()) {
    ReportViolation("could not start: " + floor_.Output(0));
    return violations_;
  }
  start_time_ = Clock::now();
  ScheduleFaults();
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int it = 0; it < kCallers; ++it)
    callers.emplace_back([this, it] { RunCaller(it); });
  InjectFaults();
  CheckRecovery();
  calling_ = false;
  for (std::thread& it : callers)
    it.join();
  CheckOutcomes();
  return violations_;
}

void FleetSoak::ReportViolation(const std::string& fault) {
  const std::lock_guard lock(mutex_);
  violations_.push_back(fault);
}

void FleetSoak::AddAction(int at_ms, std::function<void()> action) {
  actions_.push_back({start_time_ + milliseconds(at_ms), std::move(action)});
}

void FleetSoak::ScheduleFaults() {
  for (int it = 0; it < kFaults; ++it)
    ScheduleRandomFault(static_cast<int>(random_() % kInjectionMs));
  std::stable_sort(
      actions_.begin(), actions_.end(),
      [](const Step& left, const Step& right) { return left.at < right.at; });
}

void FleetSoak::ScheduleRandomFault(int at_ms) {
  const int end_ms = at_ms + 150 + static_cast<int>(random_() % 1800);
  const int entry = static_cast<int>(random_() % kEntries);
  const int target = static_cast<int>(random_() % (kEngines + kServices));
  const auto fault = static_cast<standins::LinkFault>(1 + random_() % 3);
  switch (random_() % 11) {
    case 0:
      AddAction(at_ms, [this, entry] { StopEntry(entry, SIGKILL); });
      break;
    case 1:
      AddAction(at_ms, [this, entry] { StopEntry(entry, SIGTERM); });
      break;
    case 2:
      AddAction(at_ms, [this, entry] {
        stop_disturbed_[entry] = true;
        if (floor_.IsRunning(entry))
          floor_.Signal(entry, SIGSTOP);
      });
      AddAction(end_ms, [this, entry] {
        if (floor_.IsRunning(entry))
          floor_.Signal(entry, SIGCONT);
      });
      break;
    case 3:
      AddAction(at_ms, [this, entry] {
        if (floor_.IsRunning(entry))
          floor_.Signal(entry, SIGHUP);
      });
      break;
    case 4:
      AddAction(at_ms, [this] { floor_.store().SetOutage(true); });
      AddAction(end_ms, [this] { floor_.store().SetOutage(false); });
      break;
    case 5:
      AddAction(at_ms, [this] {
        floor_.store().Compact("keyed.op");
        floor_.store().Compact("keyed.servers");
      });
      break;
    case 6:
      AddAction(at_ms, [this, entry, fault] {
        floor_.store_proxy(entry).SetFault(fault);
      });
      AddAction(end_ms, [this, entry] {
        floor_.store_proxy(entry).SetFault(standins::LinkFault::kNone);
      });
      break;
    case 7:
      AddAction(at_ms, [this, target, fault] {
        floor_.targets().proxy(target).SetFault(fault);
      });
      AddAction(end_ms, [this, target] {
        floor_.targets().proxy(target).SetFault(standins::LinkFault::kNone);
      });
      break;
    case 8:
      AddAction(at_ms, [this, target] {
        floor_.targets().proxy(target).ResetConnections();
      });
      break;
    case 9:
      AddAction(at_ms, [this, target] {
        // Half of the memory of the other engines is enough to make up for one
        // lost engine, but not for two.
        if (target < kEngines && !std::exchange(crashed_, true))
          floor_.targets().Crash(target);
      });
      break;
    default:
      AddAction(at_ms, [this] {
        floor_.store().Put("keyed.op", "config",
                           floor_.targets().MakeConfiguration(++version_));
      });
  }
}

void FleetSoak::StopEntry(int entry, int signal) {
  if (!floor_.IsRunning(entry))
    return;
  if (signal == SIGKILL)
    stop_disturbed_[entry] = true;
  stopped_at_.try_emplace(entry, Clock::now());
  floor_.Signal(entry, signal);
}

void FleetSoak::RestartExitedEntries() {
  const auto now = Clock::now();
  for (int it = 0; it < kEntries; ++it) {
    int code = 0;
    if (floor_.IsRunning(it) && floor_.HasExited(it, &code)) {
      const bool stop_requested = stopped_at_.contains(it);
      const bool stop_was_disturbed = stop_disturbed_[it];
      if (!stop_requested || (!stop_was_disturbed && code != 0)) {
        ReportViolation("entry " + std::to_string(it) + " exited with " +
                        std::to_string(code) + ": " + floor_.Output(it));
      }
      const auto limit = milliseconds(kStopLimitMs + kStopToleranceMs);
      if (stop_requested && !stop_was_disturbed &&
          now > stopped_at_[it] + limit)
        ReportViolation("entry " + std::to_string(it) +
                        " exceeded the stop timeout");
      starts_at_[it] = now + milliseconds(random_() % 800);
      stopped_at_.erase(it);
      stop_disturbed_[it] = false;
    }
    const auto start = starts_at_.find(it);
    if (start != starts_at_.end() && now >= start->second) {
      floor_.StartEntry(it);
      starts_at_.erase(start);
    }
  }
}

void FleetSoak::InjectFaults() {
  for (const Step& it : actions_) {
    while (Clock::now() < it.at) {
      RestartExitedEntries();
      std::this_thread::sleep_for(milliseconds(10));
    }
    it.action();
  }
}

void FleetSoak::RunCaller(int caller) {
  int entry = caller % kEntries;
  int number = 0;
  while (calling_) {
    // Reuses one connection for all calls to the entry, until a call fails.
    httplib::Client client("127.0.0.1", floor_.callers_port(entry));
    client.set_keep_alive(true);
    client.set_connection_timeout(1);
    client.set_read_timeout(5);
    for (int it = 0; it < kCallsPerEntry && calling_; ++it) {
      Outcome outcome = CallOnce(&client, caller, ++number);
      const bool aborted = outcome.status == 0;
      const std::lock_guard lock(mutex_);
      outcomes_.push_back(std::move(outcome));
      if (aborted)
        break;
    }
    entry = (entry + 1) % kEntries;
    std::this_thread::sleep_for(milliseconds(20));
  }
}

FleetSoak::Outcome FleetSoak::CallOnce(httplib::Client* client,
                                       int caller,
                                       int number) {
  Outcome outcome;
  outcome.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
  outcome.kind = number % 2 == 0   ? CallKind::kStream
                 : number % 4 == 1 ? CallKind::kSafe
                                   : CallKind::kUnsafe;
  const httplib::Headers headers = MakeCallHeaders(outcome.id, kCallDeadlineMs);
  std::string text;
  const auto append = [&text](const char* data, std::size_t n) {
    text.append(data, n);
    return true;
  };
  const char* path = outcome.kind == CallKind::kSafe ? "/safe/x" : "/unsafe/x";
  const httplib::Result result =
      outcome.kind == CallKind::kStream
          ? client->Get("/stream/x", headers, append)
          : client->Post(path, headers, "body", "text/plain");
  if (outcome.kind == CallKind::kStream)
    outcome.stream.events = ParseEventIds(text);
  if (!result)
    return outcome;
  outcome.status = result->status;
  outcome.body = result->body;
  outcome.stream.whole = result->status == 200;
  outcome.stream.signature = result->get_header_value("X-Response-Signature");
  const std::string echoed = result->get_header_value("X-Attempt-Id");
  if (result->status == 200 && echoed != outcome.id)
    ReportViolation(outcome.id + " received the answer to " + echoed);
  return outcome;
}

void FleetSoak::CheckRecovery() {
  const auto deadline = Clock::now() + milliseconds(kRecoveryTimeoutMs);
  const std::string own = "/version-" + std::to_string(version_) + "/x";
  int number = 0;
  for (int entry = 0; entry < kEntries;) {
    RestartExitedEntries();
    const std::string id = "r" + std::to_string(++number);
    const bool served =
        floor_.IsRunning(entry) && !stopped_at_.contains(entry) &&
        floor_.IsReady(entry) && floor_.Stream(entry, id).whole && [&] {
          const auto answer = floor_.Call(entry, own, id + "-own");
          return answer && answer->status == 200;
        }();
    if (served) {
      ++entry;
      continue;
    }
    if (Clock::now() >= deadline) {
      ReportViolation("entry " + std::to_string(entry) +
                      " does not serve again in time: " + floor_.Output(entry));
      return;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  if (!floor_.targets().HoldsAllLayers())
    ReportViolation("layers are missing after recovery");
}

void FleetSoak::CheckStream(const Outcome& outcome) {
  const std::vector<int>& events = outcome.stream.events;
  for (std::size_t it = 0; it < events.size(); ++it) {
    if (events[it] != static_cast<int>(it) + 1) {
      ReportViolation(outcome.id + " received event " +
                      std::to_string(events[it]) + " at place " +
                      std::to_string(it + 1));
      return;
    }
  }
  const bool has_all_events =
      static_cast<int>(events.size()) == options_.events;
  if (outcome.stream.whole && !has_all_events)
    ReportViolation(outcome.id + " was completed without all events");
}

void FleetSoak::CheckOutcomes() {
  const std::map<std::string, int> runs = floor_.targets().ExecutionCounts();
  double repeats = 0;
  int served = 0;
  std::map<int, int> statuses;
  for (const Outcome& it : outcomes_) {
    const auto row = runs.find(it.id);
    const int ran = row == runs.end() ? 0 : row->second;
    repeats += std::max(0, ran - 1);
    served += it.status == 200 ? 1 : 0;
    ++statuses[it.status];
    const std::string prefix =
        it.id + ", status " + std::to_string(it.status) + ": ";
    if (it.kind == CallKind::kUnsafe && ran > 1)
      ReportViolation(prefix + "unsafe call ran " + std::to_string(ran) +
                      " times");
    if (it.kind != CallKind::kUnsafe && ran > kMaxAttempts)
      ReportViolation(prefix + "ran " + std::to_string(ran) + " times");
    const bool promised_not_run =
        it.status == 503 || it.status == 429 || it.status == 421;
    if (it.kind == CallKind::kUnsafe && promised_not_run && ran > 0)
      ReportViolation(prefix +
                      "ran although its caller was told that it did not");
    if (it.status >= 400 && it.status < 500 && it.status != 429)
      ReportViolation(prefix + "valid call was refused");
    if (it.status == 200 && it.stream.signature.empty())
      ReportViolation(prefix + "no signature");
    if (it.kind == CallKind::kStream)
      CheckStream(it);
    else if (it.status == 200 && it.body != "done for account")
      ReportViolation(prefix + "unexpected body " + it.body);
  }
  const auto passed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - start_time_);
  const auto windows = passed.count() / kRetryWindowMs + 1;
  const auto calls = static_cast<double>(outcomes_.size());
  if (repeats > kRetryShare * calls + kRetryExtra * windows)
    ReportViolation("retry budget exceeded, repeats: " +
                    std::to_string(repeats));
  summary_ = std::to_string(outcomes_.size()) + " calls;";
  for (const auto& [status, n] : statuses) {
    summary_ += ' ' + (status == 0 ? "cut" : std::to_string(status)) + ' ' +
                std::to_string(n);
  }
  summary_ += "; " + std::to_string(static_cast<int>(repeats)) + " repeats, " +
              std::to_string(floor_.targets().PathChangeCount()) +
              " changed paths";
  if (served == 0)
    ReportViolation("no call was served");
}

}  // namespace bbv
