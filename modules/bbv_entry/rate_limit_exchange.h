#ifndef MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_
#define MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_membership/fleet_gossip.h"
#include "bbv_observe/decision_log.h"
#include "platform/call_codec.h"

namespace bbv {

// Keeps the rate limits that targets name in their responses, together with the
// other entries.
//
// Each entry claims the limited targets for which it has calls. The relay of
// its zone grants each target to as many entries as its limit suffices for. A
// grant is renewed with each digest of the relay and lapses without. While it
// is not known who holds a target, each entry has an equal share of its limit.
//
// Thread safety: none, the loop's thread.
class RateLimitExchange {
 public:
  // Tells the other entries of limits that have begun, changed or ended.
  using Announce =
      std::function<void(wire::RateLimitNoticeT notice, Instant now)>;

  // The pointers must outlive this object. `own` is this entry.
  RateLimitExchange(DecisionLog* log,
                    TargetRegistry* registry,
                    const MemberRecord& own,
                    Announce announce);

  // Handles the head of a response of `target` to a request that was sent at
  // `sent_at`, if that is known.
  void OnResponse(FleetTarget* target,
                  const platform::TargetNotice& notice,
                  std::optional<Instant> sent_at,
                  Instant now);

  // Records that a caller's call to `service` has arrived.
  void RecordCall(const std::string& service, Instant now);

  // Records that a call found no target because of rate limits, so that it
  // would take targets of other zones as well.
  void RecordShortage(const std::string& service, Instant now);

  // Updates this entry's shares. `entries` is the number of entries of the
  // fleet, `propagation_time` the time in which all of them learn of a change.
  void OnTick(int entries, Milliseconds propagation_time, Instant now);

  // Returns the targets that this entry claims, by short hash.
  std::vector<uint32_t> Claims(Instant now) const;

  // Returns the limits that are due to be sent again to entries that missed a
  // notice.
  std::vector<wire::RateLimitRow> TakeDueLimits(Instant now);

  // Handles limits that another entry knows; returns whether any was new.
  bool OnLimits(const std::vector<wire::RateLimitRow>& limits, Instant now);

  // Returns the entries that share the limit of each claimed target.
  std::vector<wire::RateClaimRow> Allocate(
      const GossipDelegate::ClaimsByZone& claims);

  // Handles the grants of this zone's relay.
  void OnGrants(const std::vector<wire::RateClaimRow>& grants, Instant now);

 private:
  // Grants on one target.
  struct Grant {
    int holders = 0;
    bool is_own = false;
  };

  void LogLimit(const FleetTarget& target,
                std::optional<double> before,
                std::string_view source,
                Instant now);
  void UpdateShares(Instant now);
  bool IsClaimed(const FleetTarget& target, Instant now) const;

  DecisionLog* log_;
  TargetRegistry* registry_;
  std::string own_zone_;
  uint32_t own_hash_;
  Announce announce_;
  // Until when an entry has calls for a service, and calls that would take
  // targets of any zone.
  std::map<std::string, Instant, std::less<>> called_until_;
  std::map<std::string, Instant, std::less<>> short_until_;
  std::map<uint32_t, Grant> grants_;
  Instant grants_lapse_at_{};
  int entries_ = 1;
  Milliseconds propagation_time_{};
  Instant next_update_{};
  Instant next_share_{};
  // Target after which the next row of limits is sent.
  std::string last_sent_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RATE_LIMIT_EXCHANGE_H_
