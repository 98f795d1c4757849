#ifndef MODULES_BBV_ENTRY_CRASH_MESSAGES_H_
#define MODULES_BBV_ENTRY_CRASH_MESSAGES_H_

#include <string>

#include "bbv_fleet/call_quarantine.h"
#include "bbv_fleet/crash_detector.h"
#include "bbv_fleet/crash_evidence.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Returns what this entry saw of a crash, in the form that evidence is given.
// Thread safe.
CrashReport ToReport(const TargetCrash& crash);

// Converts a crash to and from the message that entries exchange. Times travel
// as ages, since the entries' clocks do not compare. Thread safe.
wire::TargetCrashT ToMessage(const std::string& service,
                             const CrashReport& report,
                             Instant now);
CrashReport FromMessage(const wire::TargetCrashT& message, Instant now);

// Converts a quarantine to and from the message that entries exchange. Thread
// safe.
wire::QuarantinedPartsT ToMessage(const QuarantineRow& row, Instant now);
QuarantineRow FromMessage(const wire::QuarantinedPartsT& message, Instant now);

// Whether a received quarantine is well formed. Thread safe.
bool IsValid(const wire::QuarantinedPartsT& message);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CRASH_MESSAGES_H_
