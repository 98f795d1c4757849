#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "crowd.h"
#include "fleet_floor.h"
#include "raw_caller.h"

using bbv::Crowd;
using bbv::CrowdText;
using bbv::FleetFloor;
using bbv::RawCaller;

namespace {

constexpr int kMemoryMb = 64;
// Leaves 300 connections to callers.
constexpr int kDescriptors = 800;
constexpr std::size_t kMemoryBytes = std::size_t{kMemoryMb} * 1'000'000;
constexpr int kCallers = 400;
// More than SmallHttpServer admits.
constexpr int kStatusCallers = 100;
constexpr int kPeers = 60;
constexpr int kAttempts = 20;
constexpr int kAnswerTimeoutMs = 20'000;
constexpr const char* kBodyLimit = R"("max_body_bytes":100000)";

std::string Head(int caller, const std::string& lines) {
  return "POST /unsafe/x HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: c-" +
         std::to_string(caller) + "\r\nX-Key: key\r\nX-Deadline-Ms: 20000\r\n" +
         lines + "\r\n";
}

std::string ChunkedHead(int caller) {
  return Head(caller, "Transfer-Encoding: chunked\r\n");
}

std::string LengthHead(int caller, std::size_t length) {
  return Head(caller, "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string Chunk(std::size_t bytes, const std::string& extension = {}) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx", bytes);
  return size + extension + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

}  // namespace

// Callers of one entry that stay within no limit. However they behave, the
// entry lives within its memory and descriptors and answers ordinary requests.
TEST_GROUP(CallerCrowd) {
  bbv::standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void setup() override {
    options.services = 3;
  }
  void teardown() override {
    floor.reset();
  }

  void StartFleet(const char* body_limit = kBodyLimit) {
    floor = std::make_unique<FleetFloor>(1, options);
    floor->SetInstance(kMemoryMb, kDescriptors);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    std::string configuration = floor->targets().MakeConfiguration(2);
    const std::size_t at = configuration.find(kBodyLimit);
    CHECK(at != std::string::npos);
    floor->store().Put(
        "keyed.op", "config",
        configuration.replace(at, std::string(kBodyLimit).size(), body_limit));
    while (floor->Metrics(0).find("configuration_version\"} 2") ==
           std::string::npos)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  // Whether one of a few tries of `request` is answered with 200.
  static bool IsAnswered(int port, const std::string& request) {
    for (int it = 0; it < kAttempts; ++it) {
      RawCaller caller(port);
      caller.Send(request);
      if (caller.Receive(kAnswerTimeoutMs, "\r\n\r\n")
              .starts_with("HTTP/1.1 200"))
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  // Checks an entry whose crowd is still connected.
  void CheckEntry() {
    const bool is_answered =
        IsAnswered(floor->callers_port(0),
                   bbv::RequestText("/unsafe/x", "ordinary", {}, "small"));
    const bool is_checked = IsAnswered(
        floor->readiness_port(0), "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    const bool is_read = IsAnswered(floor->metrics_port(0),
                                    "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    int code = 0;
    CHECK_FALSE(floor->HasExited(0, &code));
    const std::size_t memory = floor->PeakMemory(0);
    const std::size_t descriptors = floor->OpenDescriptors(0);
    const std::string seen = "memory " + std::to_string(memory) +
                             ", descriptors " + std::to_string(descriptors) +
                             ", answered " + std::to_string(is_answered) +
                             ", checked " + std::to_string(is_checked) +
                             ", read " + std::to_string(is_read);
    CHECK_TRUE_TEXT(memory < kMemoryBytes && descriptors < kDescriptors &&
                        is_answered && is_checked && is_read,
                    seen.c_str());
  }

  void Play(int port, int callers, const std::function<CrowdText(int)>& text) {
    Crowd crowd(port);
    crowd.Send(callers, text);
    CheckEntry();
  }
};

TEST(CallerCrowd, ManyChunkedBodiesInLargeChunks) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{ChunkedHead(it), Chunk(49'000), 2, "0\r\n\r\n"};
  });
}

TEST(CallerCrowd, ManyChunkedBodiesInChunksOfOneByteWithExtensionsAndTrailers) {
  StartFleet();
  const std::string chunk = Chunk(1, ";e=" + std::string(2000, 'e'));
  std::string trailers;
  for (int it = 0; it < 3; ++it)
    trailers +=
        "X-T-" + std::to_string(it) + ": " + std::string(3000, 't') + "\r\n";
  Play(floor->callers_port(0), kCallers, [&](int it) {
    return CrowdText{ChunkedHead(it), chunk, 100, "0\r\n" + trailers};
  });
}

TEST(CallerCrowd, ManyChunkedBodiesThatStopJustShortOfTheirEnd) {
  StartFleet();
  const std::string last = Chunk(49'000);
  Play(floor->callers_port(0), kCallers, [&](int it) {
    return CrowdText{ChunkedHead(it), Chunk(49'000), 1,
                     last.substr(0, last.size() - 4)};
  });
}

TEST(CallerCrowd, BodiesFarOverTheLimitAnnounced) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        LengthHead(it, 900'000'000), std::string(16'000, 'x'), 60, {}};
  });
}

TEST(CallerCrowd, ChunksFarOverTheLimitAnnounced) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        ChunkedHead(it) + "3fffffff\r\n", std::string(16'000, 'x'), 60, {}};
  });
}

TEST(CallerCrowd, BodiesFarOverTheLimitJustSent) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{ChunkedHead(it), Chunk(16'000), 60, {}};
  });
}

TEST(CallerCrowd, HeadsOfManySmallFieldsWithoutTheirBodies) {
  StartFleet();
  std::string fields;
  for (int it = 0; it < 3000; ++it)
    fields += "a:\r\n";
  Play(floor->callers_port(0), kCallers, [&](int it) {
    return CrowdText{
        Head(it, fields + "Transfer-Encoding: chunked\r\n"), {}, 0, {}};
  });
}

TEST(CallerCrowd, HalfHeads) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        Head(it, "X-Long: " + std::string(12'000, 'h')), {}, 0, {}};
  });
}

TEST(CallerCrowd, RequestsPipelinedWithoutReadingAnswers) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        {}, bbv::RequestText("/safe/x", "p-" + std::to_string(it)), 1600, {}};
  });
}

TEST(CallerCrowd, RefusedRequestsPipelinedWithoutReadingAnswers) {
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        {}, bbv::RequestText("/none/x", "p-" + std::to_string(it)), 1600, {}};
  });
}

TEST(CallerCrowd, PlainAnswersNeverRead) {
  options.plain_padding = 400'000;
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{
        bbv::RequestText("/safe/x", "a-" + std::to_string(it)), {}, 0, {}};
  });
}

TEST(CallerCrowd, StreamsNeverRead) {
  options.padding = 50'000;
  StartFleet();
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{bbv::RequestText("/stream/x", "s-" + std::to_string(it),
                                      "X-Token-Counts: 100,50\r\n"),
                     {},
                     0,
                     {}};
  });
}

TEST(CallerCrowd, BodiesOfFourMegabytes) {
  StartFleet(R"("max_body_bytes":4194304)");
  Play(floor->callers_port(0), kCallers, [](int it) {
    return CrowdText{ChunkedHead(it), Chunk(40'000), 99, {}};
  });
}

TEST(CallerCrowd, HalfFramesAtThePortForPeers) {
  StartFleet();
  Play(floor->peers_port(0), kPeers, [](int) {
    return CrowdText{
        std::string("\0\0\x80\0", 4), std::string(16'000, 'x'), 200, {}};
  });
}

TEST(CallerCrowd, SilentConnectionsAtThePortForPeers) {
  StartFleet();
  Play(floor->peers_port(0), kDescriptors + 100, [](int) {
    return CrowdText{"\1", {}, 0, {}};
  });
}

TEST(CallerCrowd, BodiesAtThePortOfStatusChecks) {
  StartFleet();
  Play(floor->readiness_port(0), kStatusCallers, [](int it) {
    return CrowdText{ChunkedHead(it), Chunk(16'000), 200, {}};
  });
}

TEST(CallerCrowd, HalfHeadsAtThePortOfStatusChecks) {
  StartFleet();
  Play(floor->readiness_port(0), kStatusCallers, [](int it) {
    return CrowdText{
        Head(it, "X-Long: " + std::string(12'000, 'h')), {}, 0, {}};
  });
}

TEST(CallerCrowd, RequestsPipelinedAtThePortOfMetrics) {
  StartFleet();
  Play(floor->metrics_port(0), kStatusCallers, [](int) {
    return CrowdText{{}, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 3000, {}};
  });
}

TEST(CallerCrowd, HalfHeadsAtThePortOfMetrics) {
  StartFleet();
  Play(floor->metrics_port(0), kStatusCallers, [](int it) {
    return CrowdText{
        Head(it, "X-Long: " + std::string(12'000, 'h')), {}, 0, {}};
  });
}
