#ifndef MODULES_BBV_ENTRY_TARGET_MESSAGES_H_
#define MODULES_BBV_ENTRY_TARGET_MESSAGES_H_

#include "bbv_fleet/target_board.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// A listed target as entries tell it each other, and back. Thread safe.
wire::ListedTargetT ToMessage(const TargetRecord& record);
TargetRecord FromMessage(const wire::ListedTargetT& message);

// A report of an engine as entries tell it each other, `age` old. Thread safe.
wire::EngineRow ToMessage(const FleetTarget& target, Milliseconds age);

// The report in `row` of a target that started at `started_unix_ms`, of which
// the row holds the low half only. Thread safe.
EngineLoadReport FromMessage(const wire::EngineRow& row,
                             int64_t started_unix_ms);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_MESSAGES_H_
