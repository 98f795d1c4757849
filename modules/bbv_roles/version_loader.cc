#include "bbv_roles/version_loader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr int64_t kFirstDelayMs = 100;
constexpr uint32_t kMaxDoublings = 6;

}  // namespace

VersionLoader::VersionLoader(std::string target,
                             uint64_t seed,
                             SendOrder send_order)
    : target_(std::move(target)),
      generator_(seed),
      send_order_(std::move(send_order)) {
  assert(send_order_);
}

void VersionLoader::Reconcile(const Configuration& configuration,
                              uint64_t version,
                              Instant now) {
  if (order_outstanding_ || now < next_order_at_)
    return;
  const auto target = configuration.targets.find(target_);
  if (target == configuration.targets.end() || !target->second.is_engine())
    return;
  const auto model = configuration.models.find(target->second.model);
  if (model == configuration.models.end())
    return;
  const bool loaded =
      std::find(loaded_versions_.begin(), loaded_versions_.end(),
                model->second.version) != loaded_versions_.end();
  if (loaded)
    return;
  order_outstanding_ = true;
  send_order_({model->first, model->second.version, target->second.first_layer,
               target->second.end_layer, version});
}

void VersionLoader::HandleOrderResult(const Result<EngineState>& result,
                                      Instant now) {
  order_outstanding_ = false;
  if (result) {
    refusals_ = 0;
    loaded_versions_ = result->loaded_versions;
    LogEvent(Event::kEngineLoaded,
             {{"target", target_},
              {"versions", std::to_string(loaded_versions_.size())}});
    return;
  }
  const int64_t delay_ms = kFirstDelayMs << std::min(refusals_, kMaxDoublings);
  std::uniform_int_distribution<int64_t> jitter(delay_ms / 2, delay_ms);
  next_order_at_ = now + Milliseconds(jitter(generator_));
  ++refusals_;
  LogEvent(Event::kEngineOrderRefused,
           {{"target", target_}, {"error", result.error().ToString()}});
}

}  // namespace bbv
