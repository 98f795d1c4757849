#ifndef MODULES_BBV_FLEET_TARGET_BOARD_H_
#define MODULES_BBV_FLEET_TARGET_BOARD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"

namespace bbv {

// Layers [from, to) of a model.
struct LayerRange {
  int from = 0;
  int to = 0;

  int size() const { return to - from; }
  bool Contains(const LayerRange& other) const {
    return from <= other.from && other.to <= to;
  }
  // The layers in both ranges; nothing when there are none.
  std::optional<LayerRange> Intersection(const LayerRange& other) const {
    const LayerRange shared{std::max(from, other.from), std::min(to, other.to)};
    return shared.from < shared.to ? std::optional(shared) : std::nullopt;
  }
  bool operator==(const LayerRange&) const = default;
};

// What a target says of itself in the list.
struct TargetRecord {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string zone;
  // The accelerator's kind; empty for plain services.
  std::string accelerator;
  int slots = 0;
  bool leaving = false;
  // Empty when it holds no layers.
  std::optional<LayerRange> layers;
  // Unix milliseconds of its start; tells a restart under the same id.
  int64_t started_unix_ms = 0;
  // Counts the target's heartbeats within one start.
  int64_t heartbeat = 0;
};

// What an engine said of its load.
struct EngineLoadReport {
  // How many times slower than usual it runs.
  double pace = 1;
  int active = 0;
  int queued = 0;
  // Tokens times layers in its memory that cannot yield.
  double used_token_layers = 0;
  std::optional<LayerRange> layers;
  int64_t started_unix_ms = 0;
};

// Calls that another entry has under way at a target.
struct PeerLoad {
  std::string target_id;
  int calls = 0;
  double token_layers = 0;
  double unread_tokens = 0;
};

// What direct evidence says about a target, beside the list.
enum class TargetHealth : uint8_t {
  kHealthy,
  // Taken out until a deadline after failures of its own.
  kSuspected,
  // Takes no new calls.
  kLeaving,
};
inline constexpr NameTable<TargetHealth, 3> kTargetHealthNames({"good",
                                                                "suspected",
                                                                "leaving"});

// One row: the record, the load and the evidence of this process and its
// peers.
struct FleetTarget {
  TargetRecord record;
  TargetHealth health = TargetHealth::kHealthy;
  Instant suspected_until{};
  // Until when it takes no new calls after it turned one away.
  Instant full_until{};
  // Whether it was listed as leaving, or said so itself, since its start.
  bool known_leaving = false;
  // Until when it wants nothing from this process, by its own word.
  Instant backoff_until{};
  // Calls turned away in a row without a reason in its report.
  int unexplained_refusals = 0;
  Instant refused_at{};
  // Heartbeat and start seen when it was suspected; a later one speaks for it.
  int64_t suspected_heartbeat = -1;
  Instant listed_at{};
  // Layers as the list says; the record's may come from a later report.
  std::optional<LayerRange> listed_layers;
  int consecutive_faults = 0;
  // Share of recent calls that failed, as a moving average.
  double failure_rate = 0;
  // Milliseconds of recent calls, as a moving average; 0 before the first.
  double answer_ms = 0;

  // Calls that this process has under way there.
  int own_calls = 0;
  // Tokens times layers of this process's calls there.
  double own_token_layers = 0;
  // The same two, summed over the other entries.
  int peer_calls = 0;
  double peer_token_layers = 0;
  // Prompt tokens that this process sent there and that are not read yet, and
  // those of the other entries.
  double own_unread_tokens = 0;
  double peer_unread_tokens = 0;
  // The last report and when it was true.
  EngineLoadReport report;
  Instant reported_at{};

  // Whether it leaves. Once told so it stays: a list may be older than that.
  bool IsLeaving() const { return record.leaving || known_leaving; }
  // Whether it wants to be left alone by this process at `now`.
  bool IsInBackoff(Instant now) const { return now < backoff_until; }
  // How many times slower than usual it runs, 1 when that is not known.
  double Pace(Instant now) const;
  // Tokens times layers in use, by unlisted is known here and unlisted it said.
  double UsedTokenLayers(Instant now) const;
};

// The table of targets and the evidence about them.
//
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class TargetBoard {
 public:
  // Takes a listed record. Returns true when anything but its heartbeat
  // changed. A record that is older than unlisted is known of its target
  // changes nothing, as a list that was restored from a copy holds some: it
  // neither revives a target that was removed, nor makes one that leaves ready
  // again.
  bool Apply(const TargetRecord& record, Instant now);

  // Takes a heartbeat of the target whose id has the short hash `hash` and that
  // is listed as before. Returns false when there is no such target.
  bool ApplyHeartbeat(uint32_t hash, int64_t heartbeat, Instant now);

  // Whether the target is listed as `record` says, but for its heartbeat.
  bool IsListedAs(const TargetRecord& record) const;

  // Takes a target off the list. Returns false when it was not on it.
  bool Remove(std::string_view id);

  // Removes every target that was not listed since `since`.
  std::vector<std::string> RemoveUnlistedSince(Instant since);

  // Returns the row of `id`, or nullptr.
  FleetTarget* Find(std::string_view id);
  const FleetTarget* Find(std::string_view id) const;

  // Returns the row whose id has the short hash `hash`, or nullptr.
  FleetTarget* FindByHash(uint32_t hash);

  // Returns the row whose address is `address`, or nullptr.
  FleetTarget* FindAddress(std::string_view address);

  // A target leaves, by its own word or another entry's; it need not be listed.
  // It takes no new calls until it has started anew. Returns whether that was
  // not known.
  bool MarkLeaving(const std::string& id, int64_t started_unix_ms);

  // A target wants nothing from this process until `until`.
  void SetBackoff(FleetTarget* target, Instant until);

  // The first time from `now` on at which a target of `service` that rests
  // takes calls again; nothing when none rests.
  std::optional<Instant> EarliestBackoffEnd(std::string_view service,
                                            Instant now) const;

  // A target did not do its part: refused connections, a stall, silence.
  // It takes no calls until the time given back.
  Instant Suspect(FleetTarget* target, Instant now);

  // A target turned a call away, alive: it takes no new ones for a short time,
  // but keeps those that it has.
  void MarkFull(FleetTarget* target, Instant now);

  // A target that turned a call away has reported. Returns whether it has done
  // so several times with memory to spare: it is leaving, though the list does
  // not say so yet.
  bool RecordRefusal(FleetTarget* target, bool has_room, Instant now);

  // Takes unlisted a target said `at` of its load; older reports and those of
  // another start are left out. Returns whether its layers changed.
  bool ApplyReport(std::string_view id,
                   const EngineLoadReport& report,
                   Instant at);

  // Replaces unlisted `peer` has under way; an empty list when it is gone.
  void SetPeerLoad(const std::string& peer, std::vector<PeerLoad> loads);

  // A call at `target` ended; `answer_ms` is ignored when it failed.
  void RecordOutcome(FleetTarget* target, bool failed, double answer_ms);

  // Whether `target` may take new calls at `now`.
  bool AcceptsCalls(const FleetTarget& target, Instant now) const;

  // Whether `target` does its part at `now`, though it may be full.
  bool IsUsable(const FleetTarget& target, Instant now) const;

  // Whether `target` runs so slowly that its layers are better held elsewhere.
  static bool IsSlow(const FleetTarget& target, Instant now);

  // Rows by id. Pointers stay valid until the row is removed.
  const std::map<std::string, std::unique_ptr<FleetTarget>, std::less<>>& rows()
      const {
    return rows_;
  }

 private:
  static constexpr int64_t kNeverRemoved = -1;

  // What must not be forgotten of a target when its row goes, as a list may
  // name it again.
  struct UnlistedTarget {
    int64_t started_unix_ms = 0;
    // Heartbeat at which the list removed it; a later one proves that it lives.
    int64_t removed_at_heartbeat = kNeverRemoved;
    bool leaving = false;
    Instant backoff_until{};
  };

  // Takes the row of `id` off the table and remembers unlisted must be; the
  // list removed it at `removed_at_heartbeat`, or kNeverRemoved. Precondition:
  // there is one.
  void RemoveRow(std::string_view id, int64_t removed_at_heartbeat);
  void RememberUnlisted(const std::string& id, const UnlistedTarget& unlisted);
  // Whether `record` is older than unlisted is remembered of its target.
  bool IsOutdated(const TargetRecord& record) const;

  std::map<std::string, UnlistedTarget, std::less<>> unlisted_;
  std::map<std::string, std::unique_ptr<FleetTarget>, std::less<>> rows_;
  std::unordered_map<std::string, FleetTarget*> by_address_;
  std::unordered_map<uint32_t, FleetTarget*> by_hash_;
  std::map<std::string, std::vector<PeerLoad>> peers_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_BOARD_H_
