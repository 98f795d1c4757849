#ifndef MODULES_BBV_CORE_REASON_H_
#define MODULES_BBV_CORE_REASON_H_

#include <cstdint>
#include <string_view>

#include "bbv_core/name_table.h"

namespace bbv {

// Why a request, an attempt or a call ended without a result. The numeric value
// is sent between processes, so existing values must not change; add new ones
// at the end.
enum class Reason : uint8_t {
  kNone,
  kOverloaded,
  kLeaving,
  kNotReady,
  kNoTarget,
  kDeadline,
  kTargetFault,
  kPeerLost,
  kGap,
  kStaleAttempt,
  kWrongVersion,
  kLogUnavailable,
  kClaimedElsewhere,
  kClaimLost,
  kKeyReused,
  kBadRequest,
  kUnknownRequest,
  kCancelled,
};

// Names used in metrics, log events and responses to callers.
inline constexpr NameTable<Reason, 18> kReasonNames({
    "none",
    "overloaded",
    "leaving",
    "not-ready",
    "no-target",
    "deadline",
    "target-fault",
    "peer-lost",
    "gap",
    "stale-attempt",
    "wrong-version",
    "log-unavailable",
    "claimed-elsewhere",
    "claim-lost",
    "key-reused",
    "bad-request",
    "unknown-request",
    "cancelled",
});

// Returns the reason received as `number`, or kNone if the number is unknown.
constexpr Reason ReasonFromNumber(uint8_t number) {
  return number < kReasonNames.size() ? static_cast<Reason>(number)
                                      : Reason::kNone;
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_REASON_H_
