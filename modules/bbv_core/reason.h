#ifndef MODULES_BBV_CORE_REASON_H_
#define MODULES_BBV_CORE_REASON_H_

#include <cstdint>
#include <string_view>

#include "bbv_core/name_table.h"

namespace bbv {

// Why a request, an attempt or a call ended without its answer. Travels
// between processes as its number: append only.
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

// Names used in metrics, log events and answers to callers.
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

// Returns the reason that arrived as `number`, kNone for an unknown one.
constexpr Reason ReasonFromNumber(uint8_t number) {
  return number < kReasonNames.size() ? static_cast<Reason>(number)
                                      : Reason::kNone;
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_REASON_H_
