#include "bbv_membership/member_table.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

MemberRecord MakeRecord(int number, const std::string& zone, double capacity) {
  const std::string address = "127.0.0.1:" + std::to_string(7000 + number);
  return {address, "entry-" + std::to_string(number), zone, capacity};
}

// A zone of four entries as seen by entry 0. Entry 3 has the largest capacity.
class FourEntryZone {
 public:
  FourEntryZone() : table_(MakeRecord(0, "a", 0.1)) {
    for (int it = 1; it < 4; ++it)
      table_.AddOrUpdate(MakeRecord(it, "a", it == 3 ? 0.5 : 0.1), now_);
    table_.OnTick(now_);
  }

  MemberTable& table() { return table_; }
  Instant now() const { return now_; }

  // Advances time by `time` while the entries listed in `reachable` are heard
  // from. Entry 3 also sends digests if it is among them.
  void Advance(Milliseconds time, const std::vector<int>& reachable) {
    const Instant end = now_ + time;
    while (now_ < end) {
      now_ += Milliseconds(100);
      for (const int it : reachable) {
        const std::string address = MakeRecord(it, "a", 0).address;
        table_.RecordContact(HashBytes32(address), {}, now_);
        if (it == 3)
          table_.RecordDigest(address, now_);
      }
      table_.OnTick(now_);
    }
  }

  std::string First() { return table_.zone_ranking().front()->record.name; }

 private:
  Instant now_ = Instant{} + std::chrono::hours(1);
  MemberTable table_;
};

}  // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, EntriesThatAllCannotReadTheStoreAreNotAllItsFirstReader) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(1000), {1, 2, 3});
  const std::size_t rank = zone.table().own_rank();
  CHECK_TRUE(rank > 0);
  MemberStatus cut_off;
  cut_off.reads_store = false;
  for (const int it : {1, 2, 3}) {
    zone.table().RecordContact(HashBytes32(MakeRecord(it, "a", 0).address),
                               cut_off, zone.now());
  }
  zone.table().SetOwnStatus(cut_off);
  CHECK_EQUAL(rank, zone.table().own_reader_rank());
}

TEST(MemberTable, LargestInstanceRelaysForItsZone) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  CHECK_EQUAL(std::string("entry-3"), zone.First());
  CHECK_FALSE(zone.table().is_relay());
  CHECK_EQUAL(4, static_cast<int>(zone.table().zone_ranking().size()));
}

TEST(MemberTable, RelayWithoutDigestsIsSkippedBeforeItIsDead) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  zone.Advance(Milliseconds(1000), {1, 2});
  CHECK_TRUE(zone.First() != "entry-3");
  CHECK_EQUAL(4, zone.table().live(zone.now()));
  zone.Advance(Milliseconds(2000), {1, 2});
  CHECK_EQUAL(3, zone.table().live(zone.now()));
}

TEST(MemberTable, ReturningRelayIsReinstated) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  zone.Advance(Milliseconds(5000), {1, 2});
  zone.Advance(Milliseconds(200), {1, 2, 3});
  CHECK_EQUAL(std::string("entry-3"), zone.First());
}

TEST(MemberTable, LeavingEntryIsNotEligible) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  MemberStatus leaving;
  leaving.leaving = true;
  zone.table().RecordContact(HashBytes32(MakeRecord(3, "a", 0).address),
                             leaving, zone.now());
  zone.table().OnTick(zone.now());
  CHECK_TRUE(zone.First() != "entry-3");
  // It is still alive.
  CHECK_EQUAL(4, zone.table().live(zone.now()));
}

TEST(MemberTable, EntriesThatCannotReachTheStoreAreNotReaders) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  const std::size_t rank = zone.table().own_reader_rank();
  MemberStatus disconnected;
  disconnected.reads_store = false;
  zone.table().RecordContact(HashBytes32(MakeRecord(3, "a", 0).address),
                             disconnected, zone.now());
  CHECK_EQUAL(rank - 1, zone.table().own_reader_rank());
}

TEST(MemberTable, IsolatedEntryIsRelay) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(6000), {});
  CHECK_TRUE(zone.table().is_relay());
  CHECK_EQUAL(1, zone.table().live(zone.now()));
  zone.Advance(Milliseconds(30'000), {});
  CHECK_EQUAL(1, zone.table().known());
}

// The store keeps the records of entries that are gone for good.
TEST(MemberTable, EntryThatIsGoneIsNotAliveWhenItsRecordIsReadAgain) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(1000), {1, 2, 3});
  zone.Advance(Milliseconds(34'000), {1, 2});
  CHECK(zone.table().Find(MakeRecord(3, "a", 0).address) == nullptr);
  const std::size_t reader_rank = zone.table().own_reader_rank();
  for (int reads = 0; reads < 3; ++reads) {
    zone.table().AddOrUpdate(MakeRecord(3, "a", 0.5), zone.now());
    for (int it = 0; it < 30; ++it) {
      zone.Advance(Milliseconds(100), {1, 2});
      CHECK_EQUAL(3, zone.table().live(zone.now()));
      CHECK_EQUAL(reader_rank, zone.table().own_reader_rank());
    }
    // It can be reached, in case only the network was at fault.
    CHECK_EQUAL(3U, zone.table().ZoneMembers().size());
    zone.Advance(Milliseconds(32'000), {1, 2});
  }
  zone.table().AddOrUpdate(MakeRecord(3, "a", 0.5), zone.now());
  zone.Advance(Milliseconds(100), {1, 2, 3});
  CHECK_EQUAL(4, zone.table().live(zone.now()));
  CHECK_EQUAL(std::string("entry-3"), zone.First());
}

TEST(MemberTable, AllEntriesComputeTheSameRanking) {
  std::vector<std::string> firsts;
  for (int self = 0; self < 20; ++self) {
    const Instant now = Instant{} + std::chrono::hours(1);
    MemberTable table(MakeRecord(self, "a", 0.2));
    for (int it = 0; it < 20; ++it)
      table.AddOrUpdate(MakeRecord(it, "a", 0.2), now);
    table.OnTick(now);
    firsts.push_back(table.zone_ranking().front()->record.name);
  }
  CHECK_EQUAL(20, std::count(firsts.begin(), firsts.end(), firsts.front()));
}

TEST(MemberTable, HighestRankedOfOtherZoneIsTheLargest) {
  const Instant now = Instant{} + std::chrono::hours(1);
  MemberTable table(MakeRecord(0, "a", 0.2));
  for (int it = 1; it < 9; ++it)
    table.AddOrUpdate(MakeRecord(it, "b", it == 5 ? 0.5 : 0.1), now);
  const auto first = table.HighestRankedOfZone("b", 2, now);
  CHECK_EQUAL(2, static_cast<int>(first.size()));
  CHECK_EQUAL(std::string("entry-5"), first.front()->record.name);
}

TEST(MemberTable, MostOfAZoneServesUntilHalfOfItLeavesOrIsSilent) {
  FourEntryZone zone;
  zone.Advance(Milliseconds(3000), {1, 2, 3});
  CHECK_TRUE(zone.table().MostOfZoneServes(zone.now()));
  MemberStatus leaving;
  leaving.leaving = true;
  zone.table().SetOwnStatus(leaving);
  zone.table().RecordContact(HashBytes32(MakeRecord(3, "a", 0).address),
                             leaving, zone.now());
  CHECK_TRUE(zone.table().MostOfZoneServes(zone.now()));
  zone.table().RecordContact(HashBytes32(MakeRecord(2, "a", 0).address),
                             leaving, zone.now());
  CHECK_FALSE(zone.table().MostOfZoneServes(zone.now()));
  zone.table().SetOwnStatus({});
  CHECK_TRUE(zone.table().MostOfZoneServes(zone.now()));
  zone.Advance(Milliseconds(4000), {});
  CHECK_FALSE(zone.table().MostOfZoneServes(zone.now()));
}

}  // namespace bbv
