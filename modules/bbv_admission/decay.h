#ifndef MODULES_BBV_ADMISSION_DECAY_H_
#define MODULES_BBV_ADMISSION_DECAY_H_

#include <chrono>

#include "bbv_core/instant.h"

namespace bbv {

// Returns the factor by which an exponentially decaying count falls between two
// points in time: 1 / e after `time_constant`. Thread safe.
double DecayFactor(Instant from,
                   Instant to,
                   std::chrono::duration<double> time_constant);

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_DECAY_H_
