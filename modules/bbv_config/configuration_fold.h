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

// A set of changes proposed by an operator. `versions_read` holds the version
// of each entity that the plan was computed from, for optimistic concurrency
// control; see ConfigurationFold::EntityVersion().
struct Plan {
  std::string id;
  std::string summary;
  std::vector<EntityChange> changes;
  std::map<EntityKey, uint64_t> versions_read;
};

// The outcome of a plan. For a rejected plan, `decided_by` explains the reason:
// a conflicting plan that was confirmed first, or an error in the plan itself.
// For a confirmed plan, it is the id of the plan.
struct PlanOutcome {
  PlanState state = PlanState::kPending;
  std::string decided_by;
};

// Return the log records of a plan, of the confirmation of plan `id`, and of a
// checkpoint that contains `snapshot`. Thread safe.
std::string MakePlanRecord(const Plan& plan);
std::string MakeConfirmRecord(const std::string& id);
std::string MakeCheckpointRecord(const std::string& snapshot);

// Returns the snapshot in `record` if it is a checkpoint, otherwise an empty
// string. Thread safe.
std::string CheckpointSnapshot(const std::string& record);

// The state machine that derives the current configuration from the log records
// by applying them in offset order.
//
// A confirmation takes effect only if no entity that its plan was computed from
// has changed since. If two operators make conflicting changes, the one
// confirmed first takes effect on every node and the other is rejected.
// Deterministic and free of side effects. ConfigurationLog handles gaps,
// retention and updates from peers. Not thread safe; owned by the control
// thread.
class ConfigurationFold {
 public:
  // Applies the record at `offset`. Precondition: offset == next_offset().
  // Returns an error (operation kConfiguration) if the record is invalid. Every
  // node skips such a record in the same way.
  Result<void> Apply(uint64_t offset, const std::string& record);

  // Serializes the complete state.
  std::string Snapshot() const;

  // Replaces the state by `snapshot`. Returns an error (operation
  // kConfiguration) and leaves the state unchanged if the snapshot is invalid.
  Result<void> Restore(const std::string& snapshot);

  const Configuration& configuration() const { return configuration_; }
  uint64_t next_offset() const { return next_offset_; }

  // Returns the offset of the last record that changed the configuration plus
  // one, or 0 if no record has changed it.
  uint64_t version() const { return version_; }

  // Returns a hash of the configuration and its version, with which nodes
  // compare their configurations.
  uint64_t digest() const { return digest_; }

  // Returns the offset of the last record that changed the entity plus one, or
  // 0 if no record has changed it.
  uint64_t EntityVersion(const EntityKey& key) const;

  // Returns the plan with this id, or nullptr if it is unknown. The pointer is
  // valid until the next non-const call.
  const Plan* FindPlan(const std::string& id) const;

  // Returns the outcome of the plan with this id, or nullptr if it is unknown.
  // The pointer is valid until the next non-const call.
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
