#include "real_floor.h"

#include <CppUTest/TestHarness.h>

#include <signal.h>

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "raw_caller.h"

namespace {

using bbv::CompletionAnswer;
using bbv::CountOf;
using bbv::RawCaller;
using bbv::RealFloor;
using nlohmann::json;

// Runs `work(index)` for every index below `count` on `threads` threads.
template <typename Work>
void RunParallel(int count, int threads, Work work) {
  std::atomic<int> next{0};
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int it = 0; it < threads; ++it) {
    workers.emplace_back([&] {
      for (int index = next++; index < count; index = next++)
        work(index);
    });
  }
  for (std::thread& worker : workers)
    worker.join();
}

void CheckNoFaults(const std::vector<std::string>& faults) {
  for (const std::string& fault : faults)
    UT_PRINT(fault.c_str());
  CHECK_TRUE(faults.empty());
}

void CheckRunsAtMostOnce(const RealFloor& floor) {
  for (const auto& [id, runs] : floor.ServiceRuns())
    CHECK_EQUAL(1, runs);
}

}  // namespace

TEST_GROUP(RealFloor){};

TEST(RealFloor, ThousandMixedRequestsGiveTheReferenceText) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  std::atomic<int> wrong{0};
  std::atomic<int> calls_failed{0};
  RunParallel(1000, 32, [&](int it) {
    const std::string prompt = "request " + std::to_string(it * 7919);
    const int tokens = 1 + it % 24;
    if (it % 5 == 4) {
      const auto response = floor.Call(it % 2, it % 10, "POST", "/bookings",
                                       prompt, "key-" + std::to_string(it));
      if (!response || response->status != 200) {
        ++calls_failed;
        std::fprintf(stderr, "call %d: %s\n", it,
                     response ? response->body.c_str() : "no answer");
      }
      return;
    }
    const CompletionAnswer answer =
        floor.Complete(it % 2, it % 10, prompt, tokens, it % 3 != 0);
    if (!answer.whole || answer.text != floor.ExpectedText(prompt, tokens)) {
      ++wrong;
      std::fprintf(stderr, "request %d: status %d outcome %s whole %d\n", it,
                   answer.status, answer.outcome.c_str(), answer.whole);
    }
  });
  CHECK_EQUAL(0, wrong.load());
  CHECK_EQUAL(0, calls_failed.load());
  CheckRunsAtMostOnce(floor);
  CheckNoFaults(floor.EngineTraceFaults());
}

TEST(RealFloor, KilledAndFrozenStagesLeaveAnswersWhole) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  std::atomic<int> wrong{0};
  std::thread faults([&] {
    const auto pause = [] {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    };
    pause();
    floor.Signal("side-t1-0", SIGKILL);
    pause();
    floor.Signal("engine-t2-1", SIGKILL);
    floor.Signal("side-t2-1", SIGKILL);
    floor.Start("side-t1-0");
    pause();
    floor.Signal("side-t0-0", SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    floor.Signal("side-t0-0", SIGCONT);
    floor.Start("engine-t2-1");
    floor.Start("side-t2-1");
  });
  RunParallel(120, 12, [&](int it) {
    const std::string prompt = "faulty " + std::to_string(it);
    const CompletionAnswer answer =
        floor.Complete(it % 2, it % 10, prompt, 60, true);
    const bool whole =
        answer.whole && answer.text == floor.ExpectedText(prompt, 60);
    const bool not_run = answer.status != 200 && answer.outcome == "not-run";
    if (!whole && !not_run)
      ++wrong;
  });
  faults.join();
  CHECK_EQUAL(0, wrong.load());
  CheckNoFaults(floor.EngineTraceFaults());
}

TEST(RealFloor, CallerComesBackThroughAnotherEntry) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  const std::string prompt = "will be cut off";
  constexpr int kTokens = 200;
  const CompletionAnswer begun =
      floor.Complete(0, 1, prompt, kTokens, true, {}, 20);
  CHECK_FALSE(begun.whole);
  CHECK_TRUE(begun.last_event_id >= 0);
  floor.Signal("e0", SIGKILL);
  const httplib::Headers headers = {
      {"Bluebellvalve-Request-Id", begun.request_id},
      {"Last-Event-ID", std::to_string(begun.last_event_id)}};
  const CompletionAnswer other =
      floor.Complete(1, 2, prompt, kTokens, true, headers);
  CHECK_EQUAL(404, other.status);
  const CompletionAnswer rest =
      floor.Complete(1, 1, prompt, kTokens, true, headers);
  CHECK_TRUE(rest.whole);
  STRCMP_EQUAL(floor.ExpectedText(prompt, kTokens).c_str(),
               (begun.text + rest.text).c_str());
  CheckNoFaults(floor.EngineTraceFaults());
}

TEST(RealFloor, KeyedCallsRunOnceThroughKillsAndLogOutage) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  // The same key through both entries at once, while sides are killed.
  std::thread faults([&] {
    for (int it = 0; it < 4; ++it) {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      const std::string side = "side-s" + std::to_string(it % 2);
      floor.Signal(side, SIGKILL);
      floor.Start(side);
    }
  });
  RunParallel(400, 16, [&](int it) {
    floor.Call(it % 2, 0, "POST", "/bookings", "bench",
               "shared-" + std::to_string(it / 4));
  });
  faults.join();
  CheckRunsAtMostOnce(floor);

  CHECK_TRUE(floor.Control("log", R"({"outage":true})"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const auto refused =
      floor.Call(0, 0, "POST", "/bookings", "bench", "in-outage");
  CHECK_TRUE(refused);
  CHECK_EQUAL(503, refused->status);
  STRCMP_EQUAL("not-run",
               refused->get_header_value("Bluebellvalve-Outcome").c_str());
  CHECK_FALSE(refused->get_header_value("Retry-After").empty());
  // A call without a key needs no claim.
  const auto unkeyed = floor.Call(0, 0, "POST", "/bookings", "bench");
  CHECK_TRUE(unkeyed);
  CHECK_EQUAL(200, unkeyed->status);
  CHECK_TRUE(floor.Control("log", R"({"outage":false})"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  const auto served =
      floor.Call(1, 0, "POST", "/bookings", "bench", "in-outage");
  CHECK_TRUE(served);
  CHECK_EQUAL(200, served->status);
  CheckRunsAtMostOnce(floor);
}

TEST(RealFloor, RollingRestartCutsNoRequest) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  std::atomic<bool> stopping{false};
  std::atomic<int> cut{0};
  std::atomic<int> served{0};
  std::mutex mutex;
  std::vector<std::string> cuts;
  const auto note_cut = [&](const std::string& what) {
    ++cut;
    const std::lock_guard lock(mutex);
    cuts.push_back(what);
  };
  constexpr int kCallers = 6;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  // The balancer sends callers to entries that are ready.
  std::atomic<int> stopped_entry{-1};
  const auto choose_entry = [&](int caller) {
    return stopped_entry == caller % 2 ? 1 - caller % 2 : caller % 2;
  };
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&, it] {
      for (int n = 0; !stopping; ++n) {
        const int entry = choose_entry(it);
        const std::string prompt =
            "rolling " + std::to_string(it) + "/" + std::to_string(n);
        const CompletionAnswer answer =
            floor.Complete(entry, it, prompt, 20, true);
        if (answer.whole && answer.text == floor.ExpectedText(prompt, 20))
          ++served;
        else if (answer.outcome != "not-run" || answer.status == 200)
          note_cut("completion at entry " + std::to_string(entry) +
                   ", status " + std::to_string(answer.status) + ", outcome " +
                   answer.outcome + ", last event " +
                   std::to_string(answer.last_event_id));
        const int next = choose_entry(it);
        const auto call = floor.Call(next, it, "POST", "/bookings", prompt);
        if (!call) {
          note_cut("call at entry " + std::to_string(next) + ": " +
                   httplib::to_string(call.error()));
        } else if (call->status != 200 &&
                   call->get_header_value("Bluebellvalve-Outcome") !=
                       "not-run") {
          note_cut("call at entry " + std::to_string(next) + ", status " +
                   std::to_string(call->status));
        }
      }
    });
  }
  for (const std::string& name : floor.ProcessNames()) {
    const bool entry = name[0] == 'e' && name[1] != 'n';
    if (!entry && !name.starts_with("side-"))
      continue;
    if (entry)
      stopped_entry = name[1] - '0';
    floor.Signal(name, SIGTERM);
    CHECK_EQUAL(0, floor.WaitForExit(name));
    floor.Start(name);
    CHECK_TRUE(floor.WaitReady(name));
    stopped_entry = -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  for (const std::string& it : cuts)
    UT_PRINT(it.c_str());
  CHECK_EQUAL(0, cut.load());
  CHECK_TRUE(served > 0);
  CheckNoFaults(floor.EngineTraceFaults());
  CheckRunsAtMostOnce(floor);
}

// A stopping entry ends its last request and the caller sends the next one at
// once, on a new connection, as it may until the balancer has noticed.
TEST(RealFloor, AStoppingEntryAnswersCallersThatComeRightAfterItsLastRequest) {
  RealFloor floor({.step_us = 20'000});
  CHECK_TRUE(floor.started());
  std::thread stop([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    floor.Signal("e0", SIGTERM);
  });
  // Lasts longer than the time in which requests are still taken.
  const CompletionAnswer answer = floor.Complete(0, 0, "last", 60, true);
  stop.join();
  CHECK_TRUE(answer.whole);
  constexpr int kCalls = 10;
  for (int it = 0; it < kCalls; ++it) {
    const auto call = floor.Call(0, 0, "POST", "/bookings", "next");
    CHECK_TRUE(call);
    CHECK_EQUAL(503, call->status);
    STRCMP_EQUAL("not-run",
                 call->get_header_value("Bluebellvalve-Outcome").c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  CHECK_EQUAL(0, floor.WaitForExit("e0"));
}

TEST(RealFloor, OneOfTwoRacingOperatorsWins) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  const auto make_plan = [&](int entry, const std::string& weight) {
    const json body = {{"verb", "share"}, {"arguments", {"account-1", weight}}};
    const auto plan =
        floor.Operate(entry, "POST", "/operator/plans", body.dump());
    return json::parse(plan->body)["plan"].get<std::string>();
  };
  const std::string plans[] = {make_plan(0, "5"), make_plan(1, "7")};
  int statuses[2] = {0, 0};
  std::string bodies[2];
  RunParallel(2, 2, [&](int it) {
    const auto response = floor.Operate(
        it, "POST", "/operator/plans/" + plans[it] + "/confirm", "");
    statuses[it] = response->status;
    bodies[it] = response->body;
  });
  CHECK_EQUAL(200 + 409, statuses[0] + statuses[1]);
  const int loser = statuses[0] == 409 ? 0 : 1;
  CHECK_TRUE(bodies[loser].find(plans[1 - loser]) != std::string::npos);
}

TEST(RealFloor, BadInputGetsAClearAnswer) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  const int port = floor.PortOf("e0.http");
  httplib::Client client("127.0.0.1", port);
  const httplib::Headers account = {
      {"Authorization", "Bearer key-of-account-0"}};
  const auto post = [&](const httplib::Headers& headers,
                        const std::string& body) {
    const auto response =
        client.Post("/v1/completions", headers, body, "application/json");
    CHECK_TRUE(response);
    STRCMP_EQUAL("not-run",
                 response->get_header_value("Bluebellvalve-Outcome").c_str());
    return response->status;
  };
  CHECK_EQUAL(401, post({}, "{}"));
  CHECK_EQUAL(401, post({{"Authorization", "Bearer nobody"}}, "{}"));
  CHECK_EQUAL(400, post(account, "{"));
  CHECK_EQUAL(400, post(account, "{\"prompt\":\"\xff\xfe\"}"));
  CHECK_EQUAL(404, post(account, R"({"model":"other","prompt":"a"})"));
  CHECK_EQUAL(400, post(account, R"({"model":"assistant","prompt":7})"));
  CHECK_EQUAL(
      400,
      post(account, R"({"model":"assistant","prompt":"a","max_tokens":0})"));
  CHECK_EQUAL(413, post(account, std::string(2 << 20, 'x')));
  CHECK_TRUE(floor.Complete(0, 0, "after", 3, false).whole);
  CHECK_TRUE(floor.Metrics("e0").find("bbv_client_faults_total") !=
             std::string::npos);
}

TEST(RealFloor, AnHttp10CallerGetsNoStreamThatCouldLookComplete) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  const std::string body =
      R"({"model":"assistant","prompt":"a","stream":true})";
  RawCaller caller(floor.PortOf("e0.http"));
  CHECK_TRUE(
      caller.Send("POST /v1/completions HTTP/1.0\r\n"
                  "Authorization: Bearer key-of-account-0\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body));
  const std::string& received = caller.Receive(5000);
  CHECK_EQUAL(1, CountOf(received, "HTTP/1.1 505 "));
  CHECK_EQUAL(1, CountOf(received, "Bluebellvalve-Outcome: not-run"));
  CHECK_EQUAL(0, CountOf(received, "Transfer-Encoding"));
}
