#include "bbv_fleet/target_loss_detector.h"

namespace bbv {
namespace {

// How long a target must be unusable before its layers are reassigned.
constexpr Milliseconds kLossTimeout{200};

}  // namespace

bool TargetLossDetector::IsLost(const std::string& id,
                                const FleetTarget& target,
                                bool usable,
                                Instant now) {
  if (usable) {
    unusable_since_.erase(id);
    return false;
  }
  const auto [it, added] = unusable_since_.try_emplace(id, now);
  if (added)
    last_loss_ = now;
  return target.IsLeaving() || now >= it->second + kLossTimeout;
}

void TargetLossDetector::RemoveUnlisted(const TargetRegistry& registry) {
  std::erase_if(unusable_since_, [&registry](const auto& it) {
    return registry.Find(it.first) == nullptr;
  });
}

}  // namespace bbv
