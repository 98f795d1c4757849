#ifndef MODULES_BBV_ENTRY_CALL_FORMAT_H_
#define MODULES_BBV_ENTRY_CALL_FORMAT_H_

#include <chrono>
#include <string>

#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_call.h"

namespace bbv {

// Returns the hops of a path as "target=from-to ...". Thread safe.
std::string PathText(const CallDispatch& dispatch);

// Returns the time between two points in milliseconds. Thread safe.
inline double MillisecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_FORMAT_H_
