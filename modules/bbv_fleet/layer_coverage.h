#ifndef MODULES_BBV_FLEET_LAYER_COVERAGE_H_
#define MODULES_BBV_FLEET_LAYER_COVERAGE_H_

#include <optional>
#include <vector>

#include "bbv_fleet/target_registry.h"

namespace bbv {

// Counts the targets that hold each layer of a model. Not thread-safe.
class LayerCoverage {
 public:
  explicit LayerCoverage(int layers) : holders_(layers, 0) {}

  // Adds a target that holds `range`. A range beyond the end of the model is
  // not of this model and counts for nothing. Precondition: the range starts at
  // 0 or later.
  void Add(const LayerRange& range);

  // Returns the number of targets that hold `layer`. Precondition: `layer` is a
  // layer of the model.
  int holders(int layer) const { return holders_[layer]; }

  // Returns whether at least `n` targets hold every layer of `range`. Layers
  // beyond the end of the model count as held.
  bool IsHeldBy(int n, const LayerRange& range) const;

  // Returns the number of layers that no target holds.
  int CountMissing() const;

  // Returns the first contiguous range of layers that no target holds, or
  // nullopt if every layer is held.
  std::optional<LayerRange> FirstGap() const;

 private:
  std::vector<int> holders_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_COVERAGE_H_
