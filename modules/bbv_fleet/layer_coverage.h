#ifndef MODULES_BBV_FLEET_LAYER_COVERAGE_H_
#define MODULES_BBV_FLEET_LAYER_COVERAGE_H_

#include <optional>
#include <vector>

#include "bbv_fleet/target_board.h"

namespace bbv {

// Counts how many targets hold each layer of a model.
//
// Thread safety: none, one thread at a time.
class LayerCoverage {
 public:
  explicit LayerCoverage(int layers) : holders_(layers, 0) {}

  // Counts one target; what its range holds beyond the model is left out.
  // Precondition: the range begins at 0 or later.
  void Add(const LayerRange& range);

  // Targets that hold `layer`. Precondition: it is one of the model's.
  int holders(int layer) const { return holders_[layer]; }

  // Whether every layer of `range` is held by `n` targets at least. Layers
  // beyond the model count as held.
  bool IsHeldBy(int n, const LayerRange& range) const;

  // Layers that no target holds.
  int CountMissing() const;

  // The first run of layers that no target holds; nothing when all are held.
  std::optional<LayerRange> FirstGap() const;

 private:
  std::vector<int> holders_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_COVERAGE_H_
