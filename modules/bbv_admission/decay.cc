#include "bbv_admission/decay.h"

#include <cmath>

namespace bbv {

double DecayFactor(Instant from,
                   Instant to,
                   std::chrono::duration<double> time_constant) {
  const std::chrono::duration<double> passed = to - from;
  return std::exp(-passed / time_constant);
}

}  // namespace bbv
