#ifndef MODULES_BBV_FLEET_LAYER_DIVISION_H_
#define MODULES_BBV_FLEET_LAYER_DIVISION_H_

#include <vector>

#include "bbv_fleet/target_registry.h"

namespace bbv {

// Divides `range` into consecutive parts in proportion to `capacities`, in
// their order. Parts for which no layer or no capacity is left are empty.
// Thread safe.
std::vector<LayerRange> DivideLayers(const LayerRange& range,
                                     const std::vector<int>& capacities);

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_LAYER_DIVISION_H_
