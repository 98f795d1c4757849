#ifndef MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_
#define MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// What an entry says of itself when it starts.
struct MemberRecord {
  // "ip:port" at which it listens to other entries; its identity.
  std::string address;
  std::string name;
  std::string zone;
  // Share of a processor core that it may use.
  double capacity = 0;

  bool operator==(const MemberRecord&) const = default;
};

// What an entry says of itself all the time.
struct MemberStatus {
  // It places layers.
  bool plans = false;
  // It is stopping and takes no duty.
  bool leaving = false;
  // Its last call to the store was answered.
  bool reads_store = true;

  bool operator==(const MemberStatus&) const = default;
};

// One entry as another one sees it.
struct Member {
  MemberRecord record;
  MemberStatus current_status;
  uint32_t hash = 0;
  // Larger instances are in higher classes and do duties first.
  int capacity_class = 0;
  // When it was last heard, itself or through a relay that heard it.
  Instant last_heard_at{};
  // When it last sent a digest of its zone.
  Instant last_digest_at{};
  // Since when it has been expected to send digests.
  Instant digests_expected_since{};
  // When the relay of its zone was last heard.
  Instant zone_last_heard_at{};
};

// The entries that are known, which of them live, and their ranks.
//
// An entry is alive while it was heard lately, directly or through the relay of
// its zone. One that should relay and sends no digests is passed over long
// before it counts as dead, and is back with its next digest. Ranks follow
// from what is known here alone; two entries that rank differently for a
// moment do a duty twice, which no duty ranked here is harmed by.
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class MemberTable {
 public:
  // Members in the order of their ranks.
  using Ranking = std::vector<const Member*>;

  explicit MemberTable(const MemberRecord& own);

  // Adds an entry, or takes what it says anew. Does not count as hearing it.
  void AddOrUpdate(const MemberRecord& record, Instant now);

  // An entry was heard, itself or through a relay that heard it. Returns false
  // for one that is not known.
  bool RecordContact(uint32_t hash,
                     const MemberStatus& current_status,
                     Instant now);

  // The entry at `address` has sent a digest of this zone.
  void RecordDigest(std::string_view address, Instant now);

  // What the relay of another zone tells of the entries there.
  struct ZoneSummary {
    int known = 0;
    int live = 0;
    // Whether one of them plans.
    bool plans = false;
    Instant last_heard_at{};
  };
  void RecordZoneSummary(const std::string& zone,
                         const ZoneSummary& zone_summary);

  void SetOwnStatus(const MemberStatus& current_status) {
    own_->current_status = current_status;
  }

  // Forgets entries that were silent for long and finds the ranks of this zone
  // anew; call often. Returns the entries of this zone that were alive
  // before and are not now.
  std::vector<std::string> OnTick(Instant now);

  // Entries of this zone that take duties, this one included, as of the last
  // tick.
  const Ranking& zone_ranking() const { return zone_ranking_; }
  // Place of this entry in it; its size when this one takes no duties.
  std::size_t own_rank() const;
  // The same among those that reach the store.
  std::size_t own_reader_rank() const;
  // The entry that relays for this zone.
  bool is_relay() const { return own_rank() == 0; }

  // The first `count` entries of another zone that take duties; entries not
  // heard of lately when there are no others.
  Ranking HighestRankedOfZone(const std::string& zone,
                              std::size_t count,
                              Instant now) const;

  // Known entries of this zone but this one.
  Ranking ZoneMembers() const;

  // Zones that have known entries, this one's included.
  std::vector<std::string> Zones() const;

  // Whether this entry relays for its zone, and no living entry of the fleet
  // that takes duties ranks before it.
  bool IsFleetLeader(Instant now) const;

  // Whether a living entry other than this one says that it plans.
  bool HasOtherPlanner(Instant now) const;

  // Living entries of all zones, this one included.
  int live(Instant now) const;
  // Entries of all zones, alive or not, as their relays know them.
  int known() const;
  const Member& own() const { return *own_; }
  const Member* Find(std::string_view address) const;

 private:
  bool IsAlive(const Member& member, Instant now) const;
  bool IsInOwnZone(const Member& member) const;
  bool IsEligible(const Member& member, Instant now) const;
  void UpdateZoneRanking(Instant now);

  std::map<std::string, std::unique_ptr<Member>, std::less<>> members_;
  std::unordered_map<uint32_t, Member*> by_hash_;
  Member* own_ = nullptr;
  Ranking zone_ranking_;
  std::map<std::string, bool, std::less<>> was_alive_;
  // What the other zones' relays said.
  std::map<std::string, ZoneSummary> zone_summaries_;
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_
