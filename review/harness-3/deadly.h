#ifndef REVIEW_HARNESS_3_DEADLY_H_
#define REVIEW_HARNESS_3_DEADLY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "floor.h"

namespace review3 {

// A request that crashes each server that begins to run it, beside sound ones.
struct DeadlyTraffic {
  // Services of the route, and the servers of each.
  std::vector<std::string> services;
  int servers_each = 3;
  // Type of the route.
  std::string type = "safe";
  // Sound requests a second, and the time between two of the deadly request.
  double sound_per_s = 8;
  int deadly_every_ms = 1000;
  int length_ms = 40'000;
  // Entries that have run before those of the case, the part of a core that
  // their machines had, and the items in a page of the store.
  int former_entries = 0;
  std::string former_core_share = "0.19";
  int page_size = 0;
  // When all entries are killed at once, after the first deadly request. They
  // start again `down_ms` later.
  std::vector<int> kills_at_ms;
  int down_ms = 500;
  // Path and query of the n-th deadly request.
  std::function<std::string(int)> target;
};

// Plays the traffic on a deployment of four entries and writes what was seen
// into `record`. Returns the exit code: the check is the rule BUDGET for "a
// request that crashes the servers that run it".
int PlayDeadlyTraffic(const DeadlyTraffic& traffic, Record* record);

}  // namespace review3

#endif  // REVIEW_HARNESS_3_DEADLY_H_
