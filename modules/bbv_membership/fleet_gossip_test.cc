#include "bbv_membership/fleet_gossip.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace bbv {
namespace {

// Keeps the frames that are sent and has nothing to tell.
class FakeDelegate final : public GossipDelegate {
 public:
  void Send(const MemberTable::Ranking& to,
            const wire::FrameT& frame) override {
    if (!to.empty())
      sent.push_back(frame);
  }
  wire::EntryStateT MakeState(Instant) override { return {}; }
  void OnZoneDigest(const std::string&,
                    const wire::ZoneDigestT&,
                    Instant) override {}
  void OnZoneLost(const std::string&) override {}
  void OnConfigurationVersion(const std::string&, uint64_t, Instant) override {}
  void OnTargetFault(const wire::TargetFaultT&, Instant) override {}
  bool OnCrashNotice(const wire::CrashNoticeT&, Instant) override {
    return false;
  }
  void OnQuarantines(const std::vector<wire::QuarantinedPartsT>&,
                     Instant) override {}
  bool OnRateLimits(const std::vector<wire::RateLimitRow>&, Instant) override {
    return false;
  }
  std::vector<wire::RateClaimRow> AllocateRateLimits(
      const ClaimsByZone&) override {
    return {};
  }

  // How many digests of `zone` were sent.
  int CountDigests(const std::string& zone) const {
    int n = 0;
    for (const wire::FrameT& frame : sent) {
      const auto* digests = frame.body.AsZoneDigests();
      if (digests == nullptr)
        continue;
      for (const wire::ZoneDigestT& it : digests->zones)
        n += it.zone == zone ? 1 : 0;
    }
    return n;
  }

  // The largest number of engine reports in a digest that was sent.
  std::size_t LargestReportCount() const {
    std::size_t n = 0;
    for (const wire::FrameT& frame : sent) {
      const auto* digests = frame.body.AsZoneDigests();
      if (digests == nullptr)
        continue;
      for (const wire::ZoneDigestT& it : digests->zones)
        n = std::max(n, it.engines.size());
    }
    return n;
  }

  std::vector<wire::FrameT> sent;
};

}  // namespace

TEST_GROUP(FleetGossip) {
  Instant now = Instant{} + std::chrono::hours(1);
  // The relay of zone a, another entry of it and the relay of zone b.
  MemberRecord own{"10.0.0.1:1", "own", "a", 0.5};
  MemberRecord neighbor{"10.0.0.2:1", "neighbor", "a", 0.1};
  MemberRecord remote{"10.0.1.1:1", "remote", "b", 0.5};
  MemberTable members{own};
  FakeDelegate delegate;
  FleetGossip gossip{&members, &delegate, Milliseconds(10'000)};

  void setup() override {
    members.AddOrUpdate(neighbor, now);
    members.AddOrUpdate(remote, now);
    members.OnTick(now);
  }
  void ReceiveDigestOfZoneB(const MemberRecord& from, int engines = 0) {
    wire::ZoneDigestT digest;
    digest.zone = "b";
    digest.engines.resize(engines);
    wire::ZoneDigestsT digests;
    digests.zones.push_back(digest);
    gossip.OnMessage(from.address, MakeFrame(std::move(digests)), now);
    gossip.OnTick(now);
  }
};

TEST(FleetGossip, ARelayForwardsADigestOfAnotherZoneToItsOwn) {
  ReceiveDigestOfZoneB(remote);
  CHECK_EQUAL(1, delegate.CountDigests("b"));
}

TEST(FleetGossip, ARelayDoesNotReturnADigestThatItsOwnZoneForwarded) {
  ReceiveDigestOfZoneB(neighbor);
  CHECK_EQUAL(0, delegate.CountDigests("b"));
}

TEST(FleetGossip, ReportsThatAnotherRelayForwardedAreNotSentAgain) {
  for (int it = 0; it < 50; ++it) {
    now += Milliseconds(200);
    ReceiveDigestOfZoneB(remote, 10);
    ReceiveDigestOfZoneB(neighbor, 10);
  }
  CHECK_EQUAL(10, static_cast<int>(delegate.LargestReportCount()));
}

}  // namespace bbv
