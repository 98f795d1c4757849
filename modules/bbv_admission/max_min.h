#ifndef MODULES_BBV_ADMISSION_MAX_MIN_H_
#define MODULES_BBV_ADMISSION_MAX_MIN_H_

#include <vector>

namespace bbv {

// What one user of a shared capacity asks for.
struct CapacityClaim {
  double demand = 0;
  // Above 0.
  double weight = 1;
};

// Returns the level of the weighted max-min division of `capacity`: each user
// gets the smaller of its demand and its weight times the level, and no user
// can get more without taking from one that has less for its weight. If all
// demands fit, the level is that of the largest demand for its weight plus an
// equal part of what is left. Returns 0 without claims. Preconditions:
// capacity >= 0; no demand is below 0. Thread safe.
double MaxMinLevel(std::vector<CapacityClaim> claims, double capacity);

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_MAX_MIN_H_
