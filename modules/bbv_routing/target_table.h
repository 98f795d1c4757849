#ifndef MODULES_BBV_ROUTING_TARGET_TABLE_H_
#define MODULES_BBV_ROUTING_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bbv_config/configuration.h"
#include "bbv_core/instant.h"
#include "bbv_wire/wire_generated.h"

namespace bbv {

// State of a configured target as known to an entry.
struct TargetEntry {
  Target target;
  bool connected = false;
  // From the side's last heartbeat.
  bool ready = false;
  bool leaving = false;
  std::vector<std::string> loaded_versions;
  uint32_t queued = 0;
  uint32_t running = 0;
  uint32_t step_microseconds = 0;
  uint32_t limit = 0;
  // Work that this entry placed since that heartbeat minus the work that ended;
  // may be negative.
  int64_t load_delta = 0;
  // From the instance list.
  bool listed_leaving = false;
  // Work that this entry placed on the target and that has not ended yet.
  uint32_t outstanding = 0;
  // Health: after consecutive `failures` the target is ejected until
  // `ejected_until`, and then receives a reduced share of new work until
  // `slow_start_until`.
  uint32_t failures = 0;
  Instant ejected_until{};
  Instant slow_start_until{};
};

// The configured targets and everything observed about them.
//
// Thread safety: none, owned by the control thread. See TargetChooser.
class TargetTable {
 public:
  // Replaces the targets with those of `configuration`. Observations of targets
  // that remain are kept.
  void Rebuild(const Configuration& configuration);

  void SetConnected(const std::string& target, bool connected);
  void ApplyHeartbeat(const std::string& target,
                      const wire::HeartbeatT& heartbeat);

  // Replaces the state from the instance list; `leaving` contains target names.
  void ApplyInstanceList(const std::vector<std::string>& leaving);

  // Records an outcome. Consecutive faults eject the target for a time that
  // doubles with each further fault; a success resets the count.
  void RecordFault(const std::string& target, Instant now);
  void RecordSuccess(const std::string& target);

  void AddOutstanding(const std::string& target);
  void RemoveOutstanding(const std::string& target);

  // Returns the entry, or nullptr for a target that is not configured. The
  // pointer is valid until the next call to Rebuild().
  const TargetEntry* Find(const std::string& target) const;

  // Returns whether new work may be sent to `entry`: it is configured as
  // active, connected, ready, not ejected, and neither its heartbeat nor the
  // instance list says that it is leaving.
  static bool IsUsable(const TargetEntry& entry, Instant now);

  // Returns the load of the target: its last heartbeat plus the changes made by
  // this entry since.
  static int64_t Load(const TargetEntry& entry);

  // Returns whether `entry` can start more work soon, based on its last
  // heartbeat and the work placed since.
  static bool HasCapacity(const TargetEntry& entry);

  // Returns the usable targets of a model or of a service.
  std::vector<const TargetEntry*> UsableForModel(const std::string& model,
                                                 Instant now) const;
  std::vector<const TargetEntry*> UsableForService(const std::string& service,
                                                   Instant now) const;

  const std::map<std::string, TargetEntry>& entries() const { return entries_; }

 private:
  TargetEntry* FindMutable(const std::string& target);

  std::map<std::string, TargetEntry> entries_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_TARGET_TABLE_H_
