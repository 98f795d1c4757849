#include <CppUTest/TestHarness.h>

#include <signal.h>

#include <atomic>
#include <set>
#include <string>
#include <thread>

#include "bbv_node/peer_network.h"
#include "free_port.h"
#include "real_floor.h"

namespace {

using bbv::Milliseconds;
using bbv::RealFloor;

// An entry that sends calls to one side and follows no configuration.
class StandinEntry final : public bbv::PeerNetworkListener {
 public:
  StandinEntry(const std::string& side, int port)
      : side_(side), network_(MakeOptions(), this) {
    CHECK_TRUE(network_.Start().has_value());
    network_.Connect(side, {"127.0.0.1", static_cast<uint16_t>(port)});
  }
  ~StandinEntry() override { network_.Stop(); }

  void PeerConnected(const bbv::NodeIdentity&) override { connected = true; }
  void PeerLost(const std::string&) override { connected = false; }
  void FrameReceived(const std::string&, bbv::wire::FrameT frame) override {
    if (const auto* heartbeat = frame.body.AsHeartbeat())
      told_leaving = told_leaving || heartbeat->leaving;
    if (const auto* answer = frame.body.AsServiceAnswer()) {
      refused += answer->outcome == bbv::wire::Outcome::kNotRun ? 1 : 0;
      ++answered;
    }
  }
  void PeerFault(const std::string&) override {}

  // Sends a call that must not run twice and has no key.
  void SendCall() {
    bbv::wire::ServiceCallT call;
    call.request = {7, ++sent};
    call.caller = sent;
    call.account = "account-0";
    call.service = "booking";
    call.method = "POST";
    call.path = "/bookings";
    call.remaining_milliseconds = 3000;
    network_.Send(side_, bbv::EncodeFrame(bbv::MakeFrame(std::move(call))));
  }

  std::atomic<bool> connected{false};
  std::atomic<bool> told_leaving{false};
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  uint64_t sent = 0;

 private:
  static bbv::PeerNetworkOptions MakeOptions() {
    bbv::PeerNetworkOptions options;
    options.identity = {"entry-standin", bbv::wire::Role::kEntry, 1};
    options.key = "test-peer-key-0001";
    options.listen_address = {"127.0.0.1",
                              static_cast<uint16_t>(bbv::FreePort())};
    return options;
  }

  const std::string side_;
  bbv::PeerNetwork network_;
};

template <typename Condition>
bool WaitFor(Condition condition) {
  for (int it = 0; it < 1000 && !condition(); ++it)
    std::this_thread::sleep_for(Milliseconds(5));
  return condition();
}

}  // namespace

// The entry cannot know yet that the side leaves.
TEST_GROUP(SideStop){};

TEST(SideStop, ACallThatCrossesTheNoticeOfAnIdleSideIsRefusedAsNotRun) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  StandinEntry entry("s0", floor.PortOf("side-s0.peer"));
  CHECK_TRUE(WaitFor([&] { return entry.connected.load(); }));
  floor.Signal("side-s0", SIGTERM);
  std::this_thread::sleep_for(Milliseconds(100));
  entry.SendCall();
  CHECK_TRUE(WaitFor([&] { return entry.answered > 0 || !entry.connected; }));
  CHECK_EQUAL(1, entry.refused.load());
  CHECK_TRUE(entry.told_leaving);
  CHECK_EQUAL(0, floor.WaitForExit("side-s0"));
}

TEST(SideStop, AllCallsSentBeforeTheNoticeIsReadAreAnswered) {
  RealFloor floor({});
  CHECK_TRUE(floor.started());
  StandinEntry entry("s0", floor.PortOf("side-s0.peer"));
  CHECK_TRUE(WaitFor([&] { return entry.connected.load(); }));
  std::thread stop([&] {
    std::this_thread::sleep_for(Milliseconds(50));
    floor.Signal("side-s0", SIGTERM);
  });
  while (!entry.told_leaving && entry.connected) {
    entry.SendCall();
    std::this_thread::sleep_for(Milliseconds(2));
  }
  stop.join();
  CHECK_EQUAL(0, floor.WaitForExit("side-s0"));
  CHECK_TRUE(WaitFor([&] { return !entry.connected; }));
  CHECK_EQUAL(static_cast<int>(entry.sent), entry.answered.load());
}
