#ifndef MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_
#define MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// Properties that an entry announces when it starts.
struct MemberRecord {
  // "ip:port" on which it accepts connections of other entries. Identifies the
  // entry.
  std::string address;
  std::string name;
  std::string zone;
  // CPU limit, as a fraction of one core.
  double capacity = 0;

  bool operator==(const MemberRecord&) const = default;
};

// Status that an entry announces continuously.
struct MemberStatus {
  // The entry runs the planner, which assigns layers to targets.
  bool plans = false;
  // The entry is shutting down; it is relay or reader only while no other entry
  // of its zone can be.
  bool leaving = false;
  // The entry's last call to the store was answered.
  bool reads_store = true;

  bool operator==(const MemberStatus&) const = default;
};

// An entry as seen by this one.
struct Member {
  MemberRecord record;
  MemberStatus current_status;
  uint32_t hash = 0;
  // Members of a higher capacity class rank before those of a lower one.
  int capacity_class = 0;
  // When it was last heard from, directly or through a relay.
  Instant last_contact_at{};
  // When it last sent a digest of its zone.
  Instant last_digest_at{};
  // Since when it has been expected to send digests; unset while an entry
  // ranked before it is the relay.
  Instant digests_expected_since{};
  // When the relay of its zone was last heard from.
  Instant zone_last_contact_at{};
};

// The known entries, their liveness and their ranks.
//
// An entry is alive while it has been heard from recently, directly or through
// the relay of its zone. A relay that stops sending digests is skipped well
// before it is considered dead, and is reinstated with its next digest. Ranks
// depend only on local knowledge: two entries whose views differ for a moment
// may both act as relay or reader, which is harmless for every role that is
// assigned by rank. Deterministic; reads no clock. Thread safety: none, owned
// by one thread.
class MemberTable {
 public:
  // Members in order of rank.
  using Ranking = std::vector<const Member*>;

  explicit MemberTable(const MemberRecord& own);

  // Adds an entry or updates its record. Does not count as contact with a known
  // entry, nor with one that was removed for its silence.
  void AddOrUpdate(const MemberRecord& record, Instant now);

  // Records contact with an entry, directly or through a relay. Returns false
  // if the entry is unknown.
  bool RecordContact(uint32_t hash,
                     const MemberStatus& current_status,
                     Instant now);

  // Records that the entry at `address` sent a digest of this zone.
  void RecordDigest(std::string_view address, Instant now);

  // Summary of a remote zone, as announced by its relay.
  struct ZoneSummary {
    int known = 0;
    int live = 0;
    // Whether a member of the zone runs the planner.
    bool plans = false;
    Instant last_contact_at{};
  };
  void RecordZoneSummary(const std::string& zone,
                         const ZoneSummary& zone_summary);

  void SetOwnStatus(const MemberStatus& current_status) {
    own_->current_status = current_status;
  }

  // Removes entries that were silent for a long time and recomputes the ranks
  // of this zone; call often. Returns the addresses of the entries of this zone
  // that were alive at the previous call and no longer are.
  std::vector<std::string> OnTick(Instant now);

  // Live entries of this zone in the order in which they are relay or reader,
  // as of the last tick, including this one. Leaving entries come last: they
  // have a role only while no other entry can.
  const Ranking& zone_ranking() const { return zone_ranking_; }
  // Index of this entry in zone_ranking().
  std::size_t own_rank() const;
  // Rank of this entry among those of zone_ranking() that can reach the store;
  // own_rank() while none can.
  std::size_t own_reader_rank() const;
  // Whether this entry is the relay of its zone.
  bool is_relay() const { return own_rank() == 0; }

  // The `count` highest ranked live entries of another zone. Falls back to
  // entries not heard from recently if there are no others.
  Ranking HighestRankedOfZone(const std::string& zone,
                              std::size_t count,
                              Instant now) const;

  // Known entries of this zone, without this one.
  Ranking ZoneMembers() const;

  // Whether at least half of the known entries of this zone, including this
  // one, are alive and not shutting down.
  bool MostOfZoneServes(Instant now) const;

  // Zones with at least one known entry, including this entry's zone.
  std::vector<std::string> Zones() const;

  // Whether this entry is the relay of its zone and ranks first in the fleet.
  bool IsFleetLeader(Instant now) const;

  // Whether a live entry other than this one announces that it runs the
  // planner.
  bool HasOtherPlanner(Instant now) const;

  // Number of live entries in all zones, including this one.
  int live(Instant now) const;
  // Number of entries in all zones, alive or not, as announced by the relays of
  // the zones.
  int known() const;
  const Member& own() const { return *own_; }
  const Member* Find(std::string_view address) const;

 private:
  bool IsAlive(const Member& member, Instant now) const;
  bool IsInOwnZone(const Member& member) const;
  void UpdateZoneRanking(Instant now);
  // Returns the live ones of `members`, or all if none is, in order of rank,
  // leaving ones last.
  Ranking SelectCandidates(const Ranking& members, Instant now) const;

  std::map<std::string, std::unique_ptr<Member>, std::less<>> members_;
  std::unordered_map<uint32_t, Member*> by_hash_;
  // Hashes of the entries that were removed and not heard from since.
  std::unordered_set<uint32_t> removed_;
  Member* own_ = nullptr;
  Ranking zone_ranking_;
  std::map<std::string, bool, std::less<>> was_alive_;
  // Summaries announced by the relays of other zones.
  std::map<std::string, ZoneSummary> zone_summaries_;
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_MEMBER_TABLE_H_
