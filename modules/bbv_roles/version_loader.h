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

// An order to an engine to load weights. `fence` is the configuration version
// it rests on; engines that honour it refuse an order with a lower one.
struct LoadOrder {
  std::string model;
  std::string version;
  uint32_t first_layer = 0;
  uint32_t end_layer = 0;
  uint64_t fence = 0;
};

// What an engine says that it holds.
struct EngineState {
  std::vector<std::string> loaded_versions;
};

// Brings one engine to the version that the configuration wants.
//
// One order at a time; a refused one (the weight store allows only so many
// loads) is repeated after an exponential delay with jitter, so that the loads
// of many targets fall into waves that the store's rate allows.
// Thread safety: none, owned by the control thread.
class VersionLoader {
 public:
  using SendOrder = std::function<void(const LoadOrder&)>;

  VersionLoader(std::string target, uint64_t seed, SendOrder send_order);

  // Looks at the wanted state under configuration version `version`.
  void Reconcile(const Configuration& configuration,
                 uint64_t version,
                 Instant now);

  // The answer to an order: what the engine holds now, or why it refused.
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
