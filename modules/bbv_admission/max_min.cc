#include "bbv_admission/max_min.h"

#include <algorithm>
#include <cassert>

namespace bbv {

double MaxMinLevel(std::vector<CapacityClaim> claims, double capacity) {
  assert(capacity >= 0);
  std::sort(claims.begin(), claims.end(),
            [](const CapacityClaim& left, const CapacityClaim& right) {
              return left.demand * right.weight < right.demand * left.weight;
            });
  double weights = 0;
  for (const CapacityClaim& it : claims) {
    assert(it.demand >= 0 && it.weight > 0);
    weights += it.weight;
  }
  const double all_weights = weights;
  double level = 0;
  for (const CapacityClaim& it : claims) {
    level = capacity / weights;
    // From here on each claim gets the level.
    if (it.demand > it.weight * level)
      return level;
    level = it.demand / it.weight;
    capacity -= it.demand;
    weights -= it.weight;
  }
  return claims.empty() ? 0 : level + capacity / all_weights;
}

}  // namespace bbv
