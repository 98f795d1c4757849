#ifndef MODULES_BBV_FLEET_RIVAL_CLAIMS_H_
#define MODULES_BBV_FLEET_RIVAL_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_target.h"

namespace bbv {

// Listed targets whose id or address is in use by another listed target, which
// has the better claim to it. At most one process listens at an address, but a
// list may name several: the server before the present one, or a server that
// another writer has made up.
//
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class RivalClaims {
 public:
  // A claim is identified by the id and the address that it names.
  FleetTarget* Find(std::string_view id, std::string_view address) const;

  // Returns a claim whose id has the short hash `hash`, or nullptr.
  FleetTarget* FindByHash(uint32_t hash) const;

  // Returns whether any claim names `id`.
  bool HasId(std::string_view id) const;

  // Returns the claims that name the id or the address of `holder`.
  std::vector<FleetTarget*> RivalsOf(const FleetTarget& holder) const;

  // Adds a claim. If there are too many, the one that was listed the longest
  // time ago is dropped.
  void Add(std::unique_ptr<FleetTarget> claim);

  // Takes `claim` out. Precondition: it is one of the claims.
  std::unique_ptr<FleetTarget> Take(const FleetTarget* claim);

  // Drops the claims that name `id`.
  void RemoveId(std::string_view id);

  // Drops the claims that were not listed since `since`.
  void RemoveUnlistedSince(Instant since);

  bool empty() const { return claims_.empty(); }
  const std::vector<std::unique_ptr<FleetTarget>>& all() const {
    return claims_;
  }

 private:
  // Only contested targets have claims here, so there are few.
  std::vector<std::unique_ptr<FleetTarget>> claims_;
};

// Recognizes live processes whose records look older than the last one known:
// a record with a later start may have been made up. A copy of an old record
// stays as it is, whereas the heartbeat of a live process advances.
//
// Deterministic; reads no clock. Thread safety: none, owned by one thread.
class OutdatedRecords {
 public:
  // Records that `id` is listed with an outdated start. `renewed_at` is when
  // the known record with the later start was last listed. Returns whether the
  // outdated record is that of a live process, while the other is silent.
  bool ShowsLife(const std::string& id,
                 int64_t started_unix_ms,
                 int64_t heartbeat,
                 std::optional<Instant> renewed_at,
                 Instant now);

 private:
  struct Sighting {
    int64_t started_unix_ms = 0;
    int64_t heartbeat = 0;
    Instant first_at{};
  };

  std::map<std::string, Sighting, std::less<>> sightings_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RIVAL_CLAIMS_H_
