#include "bbv_fleet/layer_coverage.h"

#include <algorithm>
#include <cassert>

namespace bbv {

void LayerCoverage::Add(const LayerRange& range) {
  assert(range.from >= 0);
  if (range.to > static_cast<int>(holders_.size()))
    return;
  for (int it = range.from; it < range.to; ++it)
    ++holders_[it];
}

bool LayerCoverage::IsHeldBy(int n, const LayerRange& range) const {
  const int end = std::min(range.to, static_cast<int>(holders_.size()));
  for (int it = range.from; it < end; ++it) {
    if (holders_[it] < n)
      return false;
  }
  return true;
}

int LayerCoverage::CountMissing() const {
  return static_cast<int>(std::count(holders_.begin(), holders_.end(), 0));
}

std::optional<LayerRange> LayerCoverage::FirstGap() const {
  const auto start = std::find(holders_.begin(), holders_.end(), 0);
  if (start == holders_.end())
    return std::nullopt;
  const auto end =
      std::find_if(start, holders_.end(), [](int n) { return n > 0; });
  return LayerRange{static_cast<int>(start - holders_.begin()),
                    static_cast<int>(end - holders_.begin())};
}

}  // namespace bbv
