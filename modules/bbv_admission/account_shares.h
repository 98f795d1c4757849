#ifndef MODULES_BBV_ADMISSION_ACCOUNT_SHARES_H_
#define MODULES_BBV_ADMISSION_ACCOUNT_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bbv_admission/account_demand.h"
#include "bbv_core/instant.h"

namespace bbv {

// Keeps a client account that sends much from crowding out the others of its
// group at all entries.
//
// Entries tell each other their demand. Only while accounts that have less than
// their share do not get what they ask for, the accounts that have taken more
// than theirs yield: each entry gives up its part of what the others lack, and
// no account gets less than its share. Shares are the weighted max-min division
// of what all accounts have taken lately, by tokens. With one account, or
// without unmet demand, nothing yields.
//
// Not connected yet: no call asks it and no message carries its reports, see
// docs/design/account-shares.md. Reports that are older than kMaxReportAge do
// not count. An entry without any divides what it sees itself.
//
// Deterministic. Not thread-safe; must be used from one thread. `now` must not
// decrease from call to call.
class AccountShares {
 public:
  // Limits on the rows that an entry, and the sum over a zone, may report.
  static constexpr std::size_t kMaxOwnRows = 6;
  static constexpr std::size_t kMaxZoneRows = 8;
  // Age at which a report no longer counts.
  static constexpr Milliseconds kMaxReportAge{2500};

  // The reports of `peer`, one zone or entry, ceased or began to count.
  struct PeerChange {
    std::string peer;
    bool is_silent = false;
    Milliseconds age{};
  };
  // An account at this entry begins or ceases to yield.
  struct YieldChange {
    DemandKey key;
    bool yields = false;
    // Tokens per second that it may take at this entry, and its share at all
    // entries together.
    double limit = 0;
    double share = 0;
    // Tokens that others lack.
    double unmet = 0;
  };

  DemandMeter* meter() { return &meter_; }

  // Sets the weight of an account; 1 if it was not set. Precondition: above 0.
  void SetWeight(uint32_t account, double weight);

  // Sets the demand that `peer` reports, without that of this entry.
  void SetPeerDemand(const std::string& peer, DemandTable rows, Instant now);

  // Returns the rows to report; empty if neither this entry nor one that it
  // hears of has unmet demand.
  DemandTable Report(Instant now);

  // Recalculates the shares when that is due. Call often.
  void OnTick(Instant now);

  // Whether a call has to leave the capacity to others for now. It may wait and
  // ask again. Does not depend on how often it is asked.
  bool Yields(const DemandKey& key, Instant now) const;

  // Records a call that is sent to a target.
  void RecordTaken(const DemandKey& key, double tokens, Instant now);

  // Returns this entry's part, from 0 to 1, of the capacity that the calls of
  // `group` may use: its part of what all entries are asked for.
  double OwnPart(const DemandGroup& group) const;

  // Return what changed since the last time, for the log.
  std::vector<PeerChange> TakePeerChanges();
  std::vector<YieldChange> TakeYieldChanges();

 private:
  struct Peer {
    DemandTable rows;
    Instant reported_at{};
    bool is_silent = false;
  };
  // Token bucket of an account that yields at this entry. Calls of any size
  // pass while it is not overdrawn.
  struct Limit {
    double per_second = 0;
    double balance = 0;
    Instant updated_at{};
  };
  using Rows = std::vector<DemandTable::value_type>;

  void DropSilentPeers(Instant now);
  void DivideGroup(const Rows& rows, Instant now);
  double WeightOf(uint32_t account) const;
  double Level(const Rows& rows) const;
  void SetLimit(const DemandKey& key, double per_second, Instant now);
  static double Balance(const Limit& limit, Instant now);
  bool HasUnmet(const DemandTable& rows) const;

  DemandMeter meter_;
  std::map<uint32_t, double> weights_;
  std::map<std::string, Peer> peers_;
  // At the last division: own demand and that of all entries.
  DemandTable own_;
  DemandTable sums_;
  std::map<DemandKey, Limit> limits_;
  // Yielding accounts of the division under way.
  std::map<DemandKey, YieldChange> yielding_;
  Instant next_division_{};
  std::vector<PeerChange> peer_changes_;
  std::vector<YieldChange> yield_changes_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_ACCOUNT_SHARES_H_
