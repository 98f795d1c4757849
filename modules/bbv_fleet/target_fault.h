#ifndef MODULES_BBV_FLEET_TARGET_FAULT_H_
#define MODULES_BBV_FLEET_TARGET_FAULT_H_

#include <optional>
#include <string>

#include "bbv_core/instant.h"

namespace bbv {

// A finding that a target may be faulty, with what it rests on.
struct TargetFault {
  std::string target_id;
  // What was observed, for the log.
  std::string evidence;
  // When this entry asked what the target left unanswered: the start of the
  // connection attempt or the sending of the status request. Nullopt if the
  // fault does not rest on a missing answer.
  std::optional<Instant> asked_at;
  // Whether another target named it, so that this entry's own connections
  // cannot be the only cause.
  bool confirmed_by_target = false;

  // Whether something received from the target at `last_contact` disproves the
  // fault: it came after the question, so that only the answer was late.
  bool IsDisprovedBy(Instant last_contact) const {
    return asked_at && last_contact > *asked_at;
  }
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_FAULT_H_
