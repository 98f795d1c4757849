#ifndef MODULES_BBV_ROLES_VERSION_LOADER_H_
#define MODULES_BBV_ROLES_VERSION_LOADER_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "bbv_config/configuration.h"
#include "bbv_core/error.h"
#include "bbv_core/instant.h"

namespace bbv {

// An order to an engine to load model weights. `fence` is a fencing token, the
// configuration version that the order is based on. Engines that honour it
// refuse orders with a lower value than one they have seen.
struct LoadOrder {
  std::string model;
  std::string version;
  uint32_t first_layer = 0;
  uint32_t end_layer = 0;
  uint64_t fence = 0;
};

// State that an engine reports.
struct EngineState {
  std::vector<std::string> loaded_versions;
};

// Makes an engine load the model version that the configuration assigns to its
// target.
//
// At most one order is outstanding. A refused order is retried with exponential
// backoff and jitter: the weight store limits the rate of loads, and the
// backoff spreads the loads of many targets so that they keep to that rate.
// Thread safety: none, owned by the control thread.
class VersionLoader {
 public:
  using SendOrder = std::function<void(const LoadOrder&)>;

  VersionLoader(std::string target, uint64_t seed, SendOrder send_order);

  // Sends an order if the engine lacks the version that `configuration` assigns
  // and no order is outstanding. `version` is the configuration version.
  void Reconcile(const Configuration& configuration,
                 uint64_t version,
                 Instant now);

  // Handles the result of an order: the engine's new state, or the error with
  // which it refused the order.
  void HandleOrderResult(const Result<EngineState>& result, Instant now);

  const std::vector<std::string>& loaded_versions() const {
    return loaded_versions_;
  }

 private:
  std::string target_;
  std::mt19937_64 generator_;
  SendOrder send_order_;
  std::vector<std::string> loaded_versions_;
  bool order_outstanding_ = false;
  uint32_t refusals_ = 0;
  Instant next_order_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ROLES_VERSION_LOADER_H_
