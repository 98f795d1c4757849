#ifndef MODULES_BBV_ENTRY_TARGET_MESSAGES_H_
#define MODULES_BBV_ENTRY_TARGET_MESSAGES_H_

#include <optional>

#include "bbv_fleet/target_registry.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Converts a listed target to and from the message that entries exchange. A
// message that is not well formed yields nothing. Thread safe.
wire::ListedTargetT ToMessage(const TargetRecord& record);
std::optional<TargetRecord> FromMessage(const wire::ListedTargetT& message);

// Encodes an engine report that is `age` old for the other entries. Thread
// safe.
wire::EngineRow ToMessage(const FleetTarget& target, Milliseconds age);

// Decodes the engine report in `row`. The row carries only the low 32 bits of
// the target's start time, so the full `started_unix_ms` is passed in. Thread
// safe.
EngineLoadReport FromMessage(const wire::EngineRow& row,
                             int64_t started_unix_ms);

// Value of RateLimitRow for a limit that has ended.
inline constexpr uint32_t kNoRateLimit = 0xffffffff;

// Converts what is known of a target's rate limit to and from the message that
// entries exchange. Times travel as ages, since the entries' clocks do not
// compare. Thread safe.
wire::RateLimitRow ToRateLimitMessage(const FleetTarget& target, Instant now);
TargetRateLimit::Statement FromMessage(const wire::RateLimitRow& row,
                                       Instant now);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_MESSAGES_H_
