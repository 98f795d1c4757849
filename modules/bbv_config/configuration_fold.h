#ifndef MODULES_BBV_CONFIG_CONFIGURATION_FOLD_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_FOLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bbv_config/configuration.h"
#include "bbv_core/error.h"
#include "bbv_core/name_table.h"

namespace bbv {

enum class PlanState : uint8_t { kPending, kConfirmed, kRejected };
inline constexpr NameTable<PlanState, 3> kPlanStateNames({"pending",
                                                          "confirmed",
                                                          "rejected"});

// A plan: the changes that an operator asked for and the version (offset of
// the last change) of each entity that the plan was computed from.
struct Plan {
  std::string id;
  std::string summary;
  std::vector<EntityChange> changes;
  std::map<EntityKey, uint64_t> versions_read;
};

// What became of a plan. `decided_by` explains a rejection: the plan that
// changed an entity first, or the fault in the plan itself.
struct PlanOutcome {
  PlanState state = PlanState::kPending;
  std::string decided_by;
};

// Returns the log record of a plan, of the confirmation of the plan `id`, and
// of a checkpoint that carries `snapshot`. Thread safe.
std::string MakePlanRecord(const Plan& plan);
std::string MakeConfirmRecord(const std::string& id);
std::string MakeCheckpointRecord(const std::string& snapshot);

// Returns the snapshot in `record` when that is a checkpoint, else "".
// Thread safe.
std::string CheckpointSnapshot(const std::string& record);

// Folds log records, in offset order, into the configuration in force.
//
// A confirmation takes effect only when nothing that its plan read has changed
// since; so of two racing operators exactly one wins, on every node alike.
// Pure and deterministic. Thread safety: none, owned by the control thread.
// See ConfigurationLog for gaps, retention and peers.
class ConfigurationFold {
 public:
  // Applies the record at `offset`. Precondition: offset == next_offset().
  // A record that cannot be read is skipped, alike on every node, and
  // returned as an error (step kConfiguration).
  Result<void> Apply(uint64_t offset, const std::string& record);

  // Returns the whole state as text; Restore() takes it back.
  std::string Snapshot() const;
  Result<void> Restore(const std::string& snapshot);

  const Configuration& configuration() const { return configuration_; }
  uint64_t next_offset() const { return next_offset_; }

  // Returns the offset of the last record that changed the configuration plus
  // one; 0 when none did.
  uint64_t version() const { return version_; }

  // Returns a hash of the configuration, to compare nodes by.
  uint64_t digest() const { return digest_; }

  // Returns the offset of the entity's last change plus one, 0 for none.
  uint64_t EntityVersion(const EntityKey& key) const;

  // Returns the plan with this id, or nullptr; the pointer is valid until the
  // next call that is not const.
  const Plan* FindPlan(const std::string& id) const;

  // Returns what became of the plan; nullptr for an unknown one.
  const PlanOutcome* FindOutcome(const std::string& id) const;

 private:
  struct PlanEntry {
    Plan plan;
    PlanOutcome outcome;
    uint64_t offset = 0;
  };

  Result<void> ApplyRecord(uint64_t offset, const nlohmann::json& record);
  Result<void> ApplyPlan(uint64_t offset, const nlohmann::json& record);
  Result<void> ApplyConfirm(uint64_t offset, const nlohmann::json& record);
  std::string FindConflict(const Plan& plan) const;
  void CommitPlan(uint64_t offset, Configuration changed, const Plan& plan);
  void EvictOldPlans();
  void UpdateDigest();

  struct EntityVersionEntry {
    uint64_t version = 0;
    std::string plan;
  };

  Configuration configuration_;
  std::map<EntityKey, EntityVersionEntry> versions_;
  std::map<std::string, PlanEntry> plans_;
  uint64_t next_offset_ = 0;
  uint64_t version_ = 0;
  uint64_t digest_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_FOLD_H_
