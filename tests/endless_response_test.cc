#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "background_callers.h"
#include "fleet_floor.h"

namespace bbv {
namespace {

constexpr std::chrono::milliseconds kCallInterval{50};
constexpr std::chrono::seconds kObserved{8};
constexpr int kMemoryMb = 160;
constexpr int kDescriptors = 4096;
// Part of the calls with a sound target that must be served, in percent.
constexpr int kServedPercent = 90;
// Most of a core that the entry may use, in percent.
constexpr int kProcessorPercent = 50;

std::string Repeated(const std::string& text, int n) {
  std::string all;
  for (int it = 0; it < n; ++it)
    all += text;
  return all;
}

}  // namespace

// Targets that send bytes without end, which bring their calls no further.
TEST_GROUP(EndlessResponse) {
  standins::FleetTargets::Options options;
  std::unique_ptr<FleetFloor> floor;

  void teardown() override {
    floor.reset();
  }
  // Lets all engines and `faulty` plain targets of three answer with `piece`
  // without end, and checks that the entry lives, within its memory and with
  // time to spare, and that calls with a sound target are served.
  void CheckEntryServes(const std::string& piece, int faulty = 1) {
    options.services = 3;
    floor = std::make_unique<FleetFloor>(1, options);
    floor->SetInstance(kMemoryMb, kDescriptors);
    if (!floor->Start())
      FAIL(("could not start: " + floor->Output(0)).c_str());
    for (int it = 0; it < options.engines + faulty; ++it)
      floor->targets().SendEndlessResponses(it, piece);
    const double used_before = floor->ProcessorSeconds(0);
    BackgroundCallers streams(kCallInterval, [this](int n) {
      return floor->Stream(0, "stream" + std::to_string(n)).whole;
    });
    BackgroundCallers calls(kCallInterval, [this](int n) {
      const auto answer = floor->Call(0, "/safe/x", "call" + std::to_string(n));
      return answer && answer->status == 200;
    });
    std::this_thread::sleep_for(kObserved);
    const double used = floor->ProcessorSeconds(0) - used_before;
    const int ended = calls.ended();
    const int served = calls.served();
    CHECK(floor->IsRunning(0));
    const std::string figures =
        std::to_string(served) + " of " + std::to_string(ended) + " served, " +
        std::to_string(used) + " s of processor, " +
        std::to_string(floor->PeakMemory(0) >> 20U) + " MB";
    const auto expected = kObserved / kCallInterval;
    const bool has_sound_target = faulty < options.services;
    if (ended < expected * kServedPercent / 100 ||
        (has_sound_target && served * 100 < ended * kServedPercent) ||
        used * 100 >
            static_cast<double>(kProcessorPercent * kObserved.count()) ||
        floor->PeakMemory(0) >= std::size_t{kMemoryMb} << 20U)
      FAIL(figures.c_str());
  }
};

// Guards against an entry that keeps or reads them all: comments end no event.
TEST(EndlessResponse, CommentsWithoutAnEvent) {
  CheckEntryServes(Repeated(": \n\n", 256));
}

TEST(EndlessResponse, EventsWithOneNumber) {
  CheckEntryServes(Repeated("id: 1\ndata: x\n\n", 256));
}

TEST(EndlessResponse, ChunksOfOneByte) {
  CheckEntryServes("x");
}

TEST(EndlessResponse, LargeChunksWithoutAnEvent) {
  CheckEntryServes({});
}

TEST(EndlessResponse, LargeChunksOfAllTargets) {
  CheckEntryServes({}, 3);
}

TEST(EndlessResponse, ChunksOfOneByteOfAllTargets) {
  CheckEntryServes("x", 3);
}

}  // namespace bbv
