#ifndef MODULES_BBV_FLEET_TARGET_REGISTRY_H_
#define MODULES_BBV_FLEET_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_target.h"
#include "bbv_fleet/rival_claims.h"

namespace bbv {

// One target took the id or the address of another one over.
struct ClaimChange {
  // The target that is in use from now on, and its address.
  std::string target_id;
  std::string address;
  // The target that is no longer in use, and its address.
  std::string displaced_id;
  std::string displaced_address;
  // Whether an answer has refuted the displaced target.
  bool was_refuted = false;
};

// Table of the targets and of the observations about them.
//
// At most one target is in use for each id and each address. If the list names
// several, those of services that the configuration names go first, then those
// that no answer has refuted, then the one that started last. The others are
// kept as long as they are listed, and replace it when it is refuted or gone.
//
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class TargetRegistry {
 public:
  // Sets the services that the configuration names. A record of any other
  // service takes no address from their targets: it may come from another
  // writer. Returns the ids of their targets that are no longer in use, because
  // their address turns out to be claimed by one that started later.
  std::vector<std::string> SetServices(
      std::set<std::string, std::less<>> services);

  // Applies a listed record. Returns true if anything but its heartbeat
  // changed and the target is in use. A record that is older than the known
  // state of its target is ignored, because a list restored from a backup
  // contains such records: it neither brings back a removed target nor makes a
  // leaving one ready again.
  bool Apply(const TargetRecord& record, Instant now);

  // Applies a heartbeat of the target whose id has the short hash `hash` and
  // whose record is otherwise unchanged. Returns false if there is no such
  // target.
  bool ApplyHeartbeat(uint32_t hash, int64_t heartbeat, Instant now);

  // Returns whether the target is listed as in `record`, ignoring the
  // heartbeat, and no other record names its id.
  bool IsListedAs(const TargetRecord& record) const;

  // Records that a process at the address of `target` stated that it is another
  // one. If another target claims the address or the id, it is in use from now
  // on. Returns whether that is so.
  bool Refute(FleetTarget* target, Instant now);

  // Records that `target` answered as itself: it is not contested any more
  // until another claim is listed.
  void Confirm(FleetTarget* target);

  // Returns whether the list names several targets for an id or an address.
  bool has_rivals() const { return !rivals_.empty(); }

  // Returns whether another listed target of a named service claims the id or
  // the address of `target`, which is in use.
  bool HasNamedRival(const FleetTarget& target) const;

  // Returns whether another listed target claims the address of `target`.
  bool HasRivalAtAddress(const FleetTarget& target) const;

  // Returns the changes since the last call, in their order.
  std::vector<ClaimChange> TakeClaimChanges() {
    return std::exchange(claim_changes_, {});
  }

  // Removes a target that is no longer listed. Returns false if there is none.
  bool Remove(std::string_view id);

  // Removes every target that was not listed since `since` and returns their
  // ids.
  std::vector<std::string> RemoveUnlistedSince(Instant since);

  // Returns the row of `id`, or nullptr.
  FleetTarget* Find(std::string_view id);
  const FleetTarget* Find(std::string_view id) const;

  // Returns the row whose id has the short hash `hash`, or nullptr.
  FleetTarget* FindByHash(uint32_t hash);

  // Returns the row whose address is `address`, or nullptr.
  FleetTarget* FindAddress(std::string_view address);

  // Returns the target that answers at `address`: the row, or the target that
  // started last of those that are not listed any more. What it states about
  // itself also holds once it is listed again. Null if there is none; valid
  // until the next call that changes the list.
  FleetTarget* FindAnswering(std::string_view address);

  // Records that a target announced that it is leaving, to this or another
  // entry; it need not be listed. It gets no new calls until its next start.
  // Returns whether this was not known before.
  bool MarkLeaving(const std::string& id, int64_t started_unix_ms);

  // Stops sending to a target until `until`, as it requested.
  void SetBackoff(FleetTarget* target, Instant until);

  // Returns the earliest time from `now` on at which a target of `service` that
  // is in backoff accepts calls again; nullopt if none is in backoff.
  std::optional<Instant> EarliestBackoffEnd(std::string_view service,
                                            Instant now) const;

  // Returns the earliest time at which this process may send a request to a
  // usable target of `service` that has a rate limit; nullopt if there is none.
  std::optional<Instant> EarliestAllowance(std::string_view service,
                                           Instant now) const;

  // Records a fault of a target: refused connections, a stall or silence. It
  // gets no calls until the returned time.
  Instant Suspect(FleetTarget* target, Instant now);

  // Records whether a suspected target has answered a question. The first
  // answer after an unanswered one shows that it goes on: it gets calls again
  // once the time returned by Suspect() has come. A target that has answered
  // all along is suspected for another reason, which an answer does not refute.
  // Does nothing if the target is not suspected.
  void RecordCheck(FleetTarget* target, bool answered);

  // Records that a target rejected a call but is alive: it gets no new calls
  // for a short time and keeps those that it has.
  void MarkFull(FleetTarget* target, Instant now);

  // Records the report of a target that rejected a call. Returns whether it has
  // rejected several calls in a row although it had free memory: it is then
  // leaving, though the list does not say so yet.
  bool RecordRefusal(FleetTarget* target, bool has_capacity, Instant now);

  // Applies a load report that was valid `at`. Reports older than the last one
  // and those of another start are ignored. Returns whether the target's layers
  // changed.
  bool ApplyReport(std::string_view id,
                   const EngineLoadReport& report,
                   Instant at);

  // Replaces the in-flight calls of `peer`; pass an empty list when it is gone.
  void SetPeerLoad(const std::string& peer, std::vector<PeerLoad> loads);

  // Returns whether any peer has told of its in-flight calls.
  bool HasPeerLoads() const { return !peers_.empty(); }

  // Records the end of a call at `target`; `answer_ms` is ignored if it failed.
  void RecordOutcome(FleetTarget* target, bool failed, double answer_ms);

  // Returns whether `target` accepts new calls at `now`.
  bool AcceptsCalls(const FleetTarget& target, Instant now) const;

  // Returns whether `target` is suspected and has shown no sign of life since.
  static bool LacksSignOfLife(const FleetTarget& target);

  // Returns whether `target` is working at `now`, though it may be full.
  bool IsUsable(const FleetTarget& target, Instant now) const;

  // Returns whether `target` is so slow that other targets should hold its
  // layers.
  static bool IsSlow(const FleetTarget& target, Instant now);

  // Rows by id. Pointers stay valid until the row is removed.
  const std::map<std::string, std::unique_ptr<FleetTarget>, std::less<>>& rows()
      const {
    return rows_;
  }

 private:
  static constexpr int64_t kNeverRemoved = -1;

  // State that is kept for a target without a row, because a list may name it
  // again.
  struct UnlistedTarget {
    FleetTarget target;
    // Heartbeat at which the list removed it; a later one proves that it is
    // alive.
    int64_t removed_at_heartbeat = kNeverRemoved;
  };

  // Removes the row of `id` and keeps its state in `unlisted_`.
  // `removed_at_heartbeat` is the heartbeat at which the list removed it, or
  // kNeverRemoved. Precondition: the row exists.
  void RemoveRow(std::string_view id, int64_t removed_at_heartbeat);
  void RememberUnlisted(const std::string& id, UnlistedTarget unlisted);
  // Whether the configuration names the service of `record`.
  bool IsNamed(const TargetRecord& record) const;
  // Returns whether `record` is older than the known state of its target.
  // `claim` is the target, or nullptr if no listed record names both its id and
  // its address.
  bool IsOutdated(const TargetRecord& record,
                  const FleetTarget* claim,
                  Instant now);
  // Returns a new target as `record`, with the state that was kept for it.
  std::unique_ptr<FleetTarget> MakeTarget(const TargetRecord& record);
  // Applies a record to its claim. Returns whether anything but its heartbeat
  // changed.
  bool UpdateTarget(FleetTarget* target,
                    const TargetRecord& record,
                    Instant now);
  FleetTarget* FindClaim(std::string_view id, std::string_view address);
  // Whether `left` has the better claim to what both name.
  bool Outranks(const FleetTarget& left, const FleetTarget& right) const;
  // Returns the targets in use whose id or address `claim` names. Targets of
  // services that the configuration does not name get no calls, so several may
  // share an address.
  std::vector<FleetTarget*> HoldersAgainst(const FleetTarget& claim);
  // Puts each claim to use that outranks all targets in use against it.
  void SettleClaims();
  void PutToUse(const FleetTarget* claim);
  // Displaces the targets whose address one of a named service holds.
  void DisplaceSharedAddresses();
  void RecordChange(const FleetTarget& target, const FleetTarget& displaced);
  void Displace(const FleetTarget* holder);
  // Marks the targets in use that the new or changed `claim` contests, and
  // itself if it is in use and contested.
  void MarkContested(const FleetTarget& claim);
  // Removes the address and the hash of `target` from the look-up tables.
  void Unlink(const FleetTarget& target);

  std::set<std::string, std::less<>> services_;
  std::map<std::string, UnlistedTarget, std::less<>> unlisted_;
  std::map<std::string, std::unique_ptr<FleetTarget>, std::less<>> rows_;
  std::unordered_map<std::string, FleetTarget*> by_address_;
  std::unordered_map<uint32_t, FleetTarget*> by_hash_;
  std::map<std::string, std::vector<PeerLoad>> peers_;
  RivalClaims rivals_;
  OutdatedRecords outdated_;
  std::vector<ClaimChange> claim_changes_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_REGISTRY_H_
