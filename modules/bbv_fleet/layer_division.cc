#include "bbv_fleet/layer_division.h"

#include <algorithm>
#include <numeric>

namespace bbv {

std::vector<LayerRange> DivideLayers(const LayerRange& range,
                                     const std::vector<int>& capacities) {
  int remaining_capacity =
      std::accumulate(capacities.begin(), capacities.end(), 0);
  std::vector<LayerRange> parts;
  parts.reserve(capacities.size());
  int at = range.from;
  for (const int capacity : capacities) {
    const int remaining = range.to - at;
    // Rounds up, so that the remaining layers always fit the other parts.
    const int n = remaining_capacity <= 0
                      ? 0
                      : (remaining * capacity + remaining_capacity - 1) /
                            remaining_capacity;
    remaining_capacity -= capacity;
    parts.push_back({at, at + std::min(n, remaining)});
    at = parts.back().to;
  }
  return parts;
}

}  // namespace bbv
