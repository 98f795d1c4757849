#include "bbv_fleet/loss_watch.h"

namespace bbv {
namespace {

// Time for which a target must be unusable before its layers are taken over.
constexpr Milliseconds kLossPatience{200};

}  // namespace

bool TargetLossDetector::IsLost(const std::string& id,
                                const FleetTarget& target,
                                bool usable,
                                Instant now) {
  if (usable) {
    missing_since_.erase(id);
    return false;
  }
  const auto [it, added] = missing_since_.try_emplace(id, now);
  if (added)
    last_loss_ = now;
  return target.IsLeaving() || now >= it->second + kLossPatience;
}

void TargetLossDetector::ForgetUnlisted(const TargetBoard& board) {
  std::erase_if(missing_since_, [&board](const auto& it) {
    return board.Find(it.first) == nullptr;
  });
}

}  // namespace bbv
