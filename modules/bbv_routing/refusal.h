#ifndef MODULES_BBV_ROUTING_REFUSAL_H_
#define MODULES_BBV_ROUTING_REFUSAL_H_

#include <cstdint>

#include "bbv_core/name_table.h"
#include "bbv_core/reason.h"
#include "bbv_wire/wire_generated.h"

namespace bbv {

using Outcome = wire::Outcome;
inline constexpr NameTable<Outcome, 3> kOutcomeNames({"not-run", "ran",
                                                      "unknown"});

// Final result of a request that gets no answer. `outcome` is kNotRun only if
// it is certain that no target started the request. `retry_after_milliseconds`
// is 0 if retrying does not help.
struct Refusal {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  uint32_t retry_after_milliseconds = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_REFUSAL_H_
