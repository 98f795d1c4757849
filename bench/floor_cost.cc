// Cost of real processes on loopback: added latency, processor time a request
// and a token, memory of an open request, and what an idle node spends.
//
// usage: floor_cost --scenario=steps|requests|idle|keys

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>

#include <atomic>
#include <cstdlib>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench_support.h"
#include "real_floor.h"

ABSL_FLAG(std::string, scenario, "steps", "steps, requests, idle or keys");

namespace {

using bbv::RealFloor;
using Clock = std::chrono::steady_clock;
using Row = nlohmann::ordered_json;

double Seconds(Clock::time_point since) {
  return std::chrono::duration<double>(Clock::now() - since).count();
}

// Returns a figure of a node's metrics by its `name` label, 0 for none.
double Figure(RealFloor* floor,
              const std::string& process,
              const std::string& name) {
  std::istringstream text(floor->Metrics(process));
  const std::string wanted = "{name=\"" + name + "\"} ";
  for (std::string line; std::getline(text, line);) {
    const std::size_t at = line.find(wanted);
    if (at != std::string::npos)
      return std::atof(line.c_str() + at + wanted.size());
  }
  return 0;
}

// Runs `work(caller)` over and over on `callers` threads for `seconds`; the
// number of runs.
template <typename Work>
int RunFor(int callers, double seconds, Work work) {
  std::atomic<int> runs{0};
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (int it = 0; it < callers; ++it) {
    threads.emplace_back([&, it] {
      while (Seconds(start) < seconds) {
        work(it);
        ++runs;
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return runs;
}

// Steps a second and core of a side at several numbers of sequences; engines
// take no time, so that the side is what is measured.
std::vector<Row> RunSteps() {
  std::vector<Row> rows;
  constexpr double kSeconds = 4;
  constexpr int kTokens = 200;
  for (const int sequences : {1, 16, 128, 512}) {
    RealFloor::Shape shape;
    shape.stages = 2;
    shape.replicas = 1;
    shape.services = 0;
    shape.layers = 2;
    shape.step_us = sequences >= 128 ? 2000 : 0;
    shape.maximum_running = 600;
    RealFloor floor(shape);
    const double steps = Figure(&floor, "side-t0-0", "steps");
    const double cpu = Figure(&floor, "side-t0-0", "cpu_seconds");
    const double entry_cpu = Figure(&floor, "e0", "cpu_seconds") +
                             Figure(&floor, "e1", "cpu_seconds");
    const auto start = Clock::now();
    std::atomic<int> tokens{0};
    RunFor(sequences, kSeconds, [&](int caller) {
      if (floor.Complete(caller % 2, caller % 10, "steps", kTokens, true).whole)
        tokens += kTokens;
    });
    const double elapsed = Seconds(start);
    const double ran = Figure(&floor, "side-t0-0", "steps") - steps;
    const double used = Figure(&floor, "side-t0-0", "cpu_seconds") - cpu;
    const double entry_used = Figure(&floor, "e0", "cpu_seconds") +
                              Figure(&floor, "e1", "cpu_seconds") - entry_cpu;
    Row row;
    row["sequences"] = sequences;
    row["steps/s"] = ran / elapsed;
    row["side cores"] = used / elapsed;
    row["steps/s/core"] = ran / used;
    row["entry us/token"] = entry_used * 1e6 / std::max(tokens.load(), 1);
    row["between tokens us"] =
        elapsed * 1e6 * sequences / std::max(tokens.load(), 1);
    rows.push_back(row);
  }
  return rows;
}

// Requests of one token, and the memory of many open ones.
std::vector<Row> RunRequests() {
  RealFloor::Shape shape;
  shape.stages = 1;
  shape.replicas = 1;
  shape.layers = 1;
  shape.step_us = 0;
  RealFloor floor(shape);
  constexpr double kSeconds = 4;
  Row row;
  const double cpu = Figure(&floor, "e0", "cpu_seconds");
  const auto start = Clock::now();
  const int runs = RunFor(16, kSeconds, [&](int caller) {
    floor.Complete(0, caller % 10, "one", 1, false);
  });
  row["requests/s"] = runs / Seconds(start);
  row["entry us/request"] =
      (Figure(&floor, "e0", "cpu_seconds") - cpu) * 1e6 / runs;
  const auto one = Clock::now();
  constexpr int kOneByOne = 300;
  for (int it = 0; it < kOneByOne; ++it)
    floor.Complete(0, 0, "one", 1, false);
  row["one token alone us"] = Seconds(one) * 1e6 / kOneByOne;
  const auto call = Clock::now();
  for (int it = 0; it < kOneByOne; ++it)
    floor.Call(0, 0, "GET", "/benches", "");
  row["call alone us"] = Seconds(call) * 1e6 / kOneByOne;
  floor.Control("engine-t0-0", R"({"stall_ms":200})");
  const double memory = Figure(&floor, "e0", "peak_memory_bytes");
  constexpr int kOpen = 400;
  RunFor(kOpen, 1.0,
         [&](int caller) { floor.Complete(0, caller % 10, "open", 10, true); });
  row["entry bytes/open request"] =
      (Figure(&floor, "e0", "peak_memory_bytes") - memory) / kOpen;
  row["entry bytes at start"] = memory;
  return {row};
}

// What an idle entry spends for its peers.
std::vector<Row> RunIdle() {
  std::vector<Row> rows;
  for (const int peers : {5, 20, 80}) {
    RealFloor::Shape shape;
    shape.entries = 1;
    shape.stages = 1;
    shape.layers = 1;
    shape.replicas = peers;
    shape.services = 0;
    RealFloor floor(shape);
    constexpr int kSeconds = 8;
    const double cpu = Figure(&floor, "e0", "cpu_seconds");
    const double bytes = Figure(&floor, "e0", "control_bytes_sent");
    const double side_cpu = Figure(&floor, "side-t0-0", "cpu_seconds");
    const double side_bytes = Figure(&floor, "side-t0-0", "control_bytes_sent");
    const auto start = Clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
    const double elapsed = Seconds(start);
    Row row;
    row["peers"] = peers;
    row["entry core %"] =
        (Figure(&floor, "e0", "cpu_seconds") - cpu) * 100 / elapsed;
    row["entry bytes/s"] =
        (Figure(&floor, "e0", "control_bytes_sent") - bytes) / elapsed;
    row["entry MB"] = Figure(&floor, "e0", "peak_memory_bytes") / 1e6;
    row["side core %"] =
        (Figure(&floor, "side-t0-0", "cpu_seconds") - side_cpu) * 100 / elapsed;
    row["side bytes/s"] =
        (Figure(&floor, "side-t0-0", "control_bytes_sent") - side_bytes) /
        elapsed;
    row["side MB"] = Figure(&floor, "side-t0-0", "peak_memory_bytes") / 1e6;
    rows.push_back(row);
  }
  return rows;
}

// Appends to the log for each keyed call at several rates.
std::vector<Row> RunKeys() {
  std::vector<Row> rows;
  RealFloor::Shape shape;
  shape.stages = 0;
  shape.replicas = 0;
  RealFloor floor(shape);
  const auto appends = [&] {
    return Figure(&floor, "side-s0", "claim_appends") +
           Figure(&floor, "side-s1", "claim_appends");
  };
  std::atomic<int> next{0};
  for (const int rate : {1, 10, 100, 1000}) {
    constexpr double kSeconds = 4;
    const double before = appends();
    const int callers = std::min(rate, 64);
    const auto start = Clock::now();
    std::atomic<int> sent{0};
    const int runs = RunFor(callers, kSeconds, [&](int caller) {
      // Each caller keeps to its part of the rate.
      const int number = sent++;
      std::this_thread::sleep_until(
          start +
          std::chrono::microseconds(static_cast<int64_t>(number * 1e6 / rate)));
      floor.Call(caller % 2, 0, "POST", "/bookings", "k",
                 "key-" + std::to_string(next++));
    });
    const double elapsed = Seconds(start);
    Row row;
    row["keyed calls/s"] = runs / elapsed;
    row["appends/s"] = (appends() - before) / elapsed;
    row["appends/call"] = (appends() - before) / runs;
    rows.push_back(row);
  }
  return rows;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  FLAGS_minloglevel = google::GLOG_ERROR;
  const std::string scenario = absl::GetFlag(FLAGS_scenario);
  if (scenario == "steps")
    bbv::PrintRows(RunSteps());
  else if (scenario == "requests")
    bbv::PrintRows(RunRequests());
  else if (scenario == "idle")
    bbv::PrintRows(RunIdle());
  else if (scenario == "keys")
    bbv::PrintRows(RunKeys());
  else
    return 2;
  return 0;
}
