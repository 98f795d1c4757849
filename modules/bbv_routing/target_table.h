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

// What an entry knows of one configured target.
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
  // Work load_delta from here since that heartbeat less work that ended; may be
  // negative.
  int64_t load_delta = 0;
  // From the instance list.
  bool listed_leaving = false;
  // Work that this entry has load_delta here and not seen end.
  uint32_t outstanding = 0;
  // Health: ejected until this instant after `failures` in a row; full share
  // of new work again from `slow_start_until` on.
  uint32_t failures = 0;
  Instant ejected_until{};
  Instant slow_start_until{};
};

// The configured targets with everything observed about them.
//
// Thread safety: none, owned by the control thread. See TargetChooser.
class TargetTable {
 public:
  // Takes over the targets of `configuration`; observations of targets that
  // stay are kept.
  void Rebuild(const Configuration& configuration);

  void SetConnected(const std::string& target, bool connected);
  void ApplyHeartbeat(const std::string& target,
                      const wire::HeartbeatT& heartbeat);

  // Replaces what the instance list says; `leaving` are names of targets.
  void ApplyInstanceList(const std::vector<std::string>& leaving);

  // Counts an outcome. A run of faults ejects the target for a while that
  // doubles with each further fault; a success ends the run.
  void RecordFault(const std::string& target, Instant now);
  void RecordSuccess(const std::string& target);

  void AddOutstanding(const std::string& target);
  void RemoveOutstanding(const std::string& target);

  // Returns the entry, or nullptr for a target that is not configured. Valid
  // until the next Rebuild().
  const TargetEntry* Find(const std::string& target) const;

  // Returns whether new work may go to `entry`: configured active, connected,
  // ready, not leaving by any account and not ejected.
  static bool IsUsable(const TargetEntry& entry, Instant now);

  // Returns the work at the target: by its last heartbeat and what changed from
  // here since.
  static int64_t Load(const TargetEntry& entry);

  // Returns whether `entry` can begin more work soon, by its last heartbeat and
  // what was load_delta since.
  static bool HasCapacity(const TargetEntry& entry);

  // Returns the usable targets of a model, or of a service.
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
