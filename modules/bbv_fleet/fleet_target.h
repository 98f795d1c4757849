#ifndef MODULES_BBV_FLEET_FLEET_TARGET_H_
#define MODULES_BBV_FLEET_FLEET_TARGET_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"
#include "bbv_fleet/target_rate_limit.h"

namespace bbv {

// Layers [from, to) of a model.
struct LayerRange {
  int from = 0;
  int to = 0;

  int size() const { return to - from; }
  bool Contains(const LayerRange& other) const {
    return from <= other.from && other.to <= to;
  }
  // Returns the layers in both ranges, or nullopt if they do not overlap.
  std::optional<LayerRange> Intersection(const LayerRange& other) const {
    const LayerRange shared{std::max(from, other.from), std::min(to, other.to)};
    return shared.from < shared.to ? std::optional(shared) : std::nullopt;
  }
  bool operator==(const LayerRange&) const = default;
};

// Entries exchange layers as 16-bit numbers and heartbeats as 32-bit numbers.
inline constexpr int kMaxLayers = 0xffff;
inline constexpr int64_t kMaxHeartbeat = 0xffffffff;

// Record that a target publishes about itself in the target list.
struct TargetRecord {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string zone;
  // Kind of the accelerator; empty for plain services.
  std::string accelerator;
  int slots = 0;
  bool leaving = false;
  // Empty if it holds no layers.
  std::optional<LayerRange> layers;
  // Start time in Unix milliseconds; distinguishes restarts under the same id.
  int64_t started_unix_ms = 0;
  // Number of the heartbeat since the last start.
  int64_t heartbeat = 0;
};

// Returns whether the fields of a record from another process are within their
// ranges: texts are short, the id is printable (it is sent in header fields),
// the address is valid and the layers are a range. Thread safe.
bool IsWellFormed(const TargetRecord& record);

// Load that an engine reported.
struct EngineLoadReport {
  // Slowdown factor: how many times slower than usual the engine runs.
  double pace = 1;
  int active = 0;
  int queued = 0;
  // Tokens times layers of KV cache that cannot be evicted.
  double used_token_layers = 0;
  std::optional<LayerRange> layers;
  int64_t started_unix_ms = 0;
};

// In-flight calls of another entry at a target.
struct PeerLoad {
  std::string target_id;
  int calls = 0;
  double token_layers = 0;
  double unread_tokens = 0;
};

// Health of a target as observed directly, in addition to the list.
enum class TargetHealth : uint8_t {
  kHealthy,
  // Excluded until a deadline after failures of its own.
  kSuspected,
  // Accepts no new calls.
  kLeaving,
};
inline constexpr NameTable<TargetHealth, 3> kTargetHealthNames({"good",
                                                                "suspected",
                                                                "leaving"});

// State of a target: its record, its load and what this process and its peers
// have observed.
struct FleetTarget {
  TargetRecord record;
  TargetHealth health = TargetHealth::kHealthy;
  Instant suspected_until{};
  // The target gets no new calls until this time, after it rejected one.
  Instant full_until{};
  // Whether the target was listed as leaving, or announced it itself, since its
  // start.
  bool known_leaving = false;
  // This process sends nothing to the target until this time, as the target
  // requested.
  Instant backoff_until{};
  // Limit on the requests of all entries, as named by the target.
  TargetRateLimit rate_limit;
  // Consecutive rejected calls that the target's report does not explain.
  int unexplained_refusals = 0;
  Instant refused_at{};
  // Heartbeat at the time of the suspicion; a later one shows that the target
  // is alive.
  int64_t suspected_heartbeat = -1;
  // Whether the target left a question unanswered in its suspicion, and whether
  // it has answered one since, which shows the same as a later heartbeat.
  bool is_silent = false;
  bool has_answered_again = false;
  Instant listed_at{};
  // When a process at the address of the record last stated that it is not this
  // target; the epoch if none has.
  Instant refuted_at{};
  // Whether another listed target claims the id or the address, and no answer
  // has shown yet which of them is right.
  bool is_contested = false;
  // When bytes of any answer of the target last reached this process.
  Instant heard_at{};
  // Layers according to the list; those of `record` may come from a later
  // report.
  std::optional<LayerRange> listed_layers;
  int consecutive_faults = 0;
  // Moving average of the share of recent calls that failed.
  double failure_rate = 0;
  // Moving average of the duration of recent calls in milliseconds; 0 before
  // the first one.
  double answer_ms = 0;

  // In-flight calls of this process at the target.
  int own_calls = 0;
  // Tokens times layers of these calls.
  double own_token_layers = 0;
  // The same two values, summed over the other entries.
  int peer_calls = 0;
  double peer_token_layers = 0;
  // Prompt tokens sent by this process that are not prefilled yet, and those of
  // the other entries.
  double own_unread_tokens = 0;
  double peer_unread_tokens = 0;
  // Tokens that other entries are expected to have sent at the same time as
  // this one, after a fault that all of them noticed.
  double expected_peer_tokens = 0;
  // The last report and the time at which it was valid.
  EngineLoadReport report;
  Instant reported_at{};

  // Returns whether the target is leaving. Once known, this holds until the
  // next start, because a list may be older than the announcement.
  bool IsLeaving() const { return record.leaving || known_leaving; }
  // Returns whether this process must leave the target alone at `now`.
  bool IsInBackoff(Instant now) const { return now < backoff_until; }
  // Returns whether this process may send any request to the target at `now`.
  bool AcceptsRequests(Instant now) const {
    return !IsInBackoff(now) && rate_limit.HasAllowance(now);
  }
  // Returns the tokens that are not prefilled yet: those of this process, and
  // those that other entries have told of or are expected to have sent.
  double UnreadTokens() const {
    return own_unread_tokens +
           std::max(peer_unread_tokens, expected_peer_tokens);
  }
  // Returns the slowdown factor last reported, or 1 if it is not known.
  double Pace(Instant now) const;
  // Returns the tokens times layers in use: the larger of the calls known here
  // and the target's recent report.
  double UsedTokenLayers(Instant now) const;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_FLEET_TARGET_H_
