#include "bbv_fleet/rival_claims.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr std::size_t kMaxClaims = 4096;
constexpr std::size_t kMaxSightings = 4096;
// A list that is read late may hold several heartbeats of a process that has
// ended; they arrive together.
constexpr Milliseconds kLifeProofTime{1000};

template <typename Predicate>
FleetTarget* FindClaim(const std::vector<std::unique_ptr<FleetTarget>>& claims,
                       Predicate matches) {
  const auto it =
      std::find_if(claims.begin(), claims.end(),
                   [&](const auto& claim) { return matches(claim->record); });
  return it == claims.end() ? nullptr : it->get();
}

}  // namespace

FleetTarget* RivalClaims::Find(std::string_view id,
                               std::string_view address) const {
  return FindClaim(claims_, [&](const TargetRecord& it) {
    return it.id == id && it.address == address;
  });
}

FleetTarget* RivalClaims::FindByHash(uint32_t hash) const {
  return FindClaim(claims_, [&](const TargetRecord& it) {
    return HashBytes32(it.id) == hash;
  });
}

bool RivalClaims::HasId(std::string_view id) const {
  return FindClaim(claims_, [&](const TargetRecord& it) {
           return it.id == id;
         }) != nullptr;
}

std::vector<FleetTarget*> RivalClaims::RivalsOf(
    const FleetTarget& holder) const {
  std::vector<FleetTarget*> rivals;
  for (const auto& it : claims_) {
    if (it->record.id == holder.record.id ||
        it->record.address == holder.record.address)
      rivals.push_back(it.get());
  }
  return rivals;
}

void RivalClaims::Add(std::unique_ptr<FleetTarget> claim) {
  assert(claim != nullptr);
  claims_.push_back(std::move(claim));
  if (claims_.size() <= kMaxClaims)
    return;
  claims_.erase(std::min_element(claims_.begin(), claims_.end(),
                                 [](const auto& left, const auto& right) {
                                   return left->listed_at < right->listed_at;
                                 }));
}

std::unique_ptr<FleetTarget> RivalClaims::Take(const FleetTarget* claim) {
  const auto it =
      std::find_if(claims_.begin(), claims_.end(),
                   [claim](const auto& each) { return each.get() == claim; });
  assert(it != claims_.end());
  std::unique_ptr<FleetTarget> taken = std::move(*it);
  claims_.erase(it);
  return taken;
}

void RivalClaims::RemoveId(std::string_view id) {
  std::erase_if(claims_, [id](const auto& it) { return it->record.id == id; });
}

void RivalClaims::RemoveUnlistedSince(Instant since) {
  std::erase_if(claims_,
                [since](const auto& it) { return it->listed_at < since; });
}

bool OutdatedRecords::ShowsLife(const std::string& id,
                                int64_t started_unix_ms,
                                int64_t heartbeat,
                                std::optional<Instant> renewed_at,
                                Instant now) {
  const auto it = sightings_.find(id);
  const bool is_new = it == sightings_.end() ||
                      it->second.started_unix_ms != started_unix_ms ||
                      (renewed_at && *renewed_at >= it->second.first_at);
  if (is_new) {
    if (it == sightings_.end() && sightings_.size() >= kMaxSightings)
      sightings_.clear();
    sightings_[id] = {started_unix_ms, heartbeat, now};
    return false;
  }
  if (heartbeat <= it->second.heartbeat ||
      now < it->second.first_at + kLifeProofTime)
    return false;
  sightings_.erase(it);
  return true;
}

}  // namespace bbv
