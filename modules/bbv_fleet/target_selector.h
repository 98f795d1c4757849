#ifndef MODULES_BBV_FLEET_TARGET_SELECTOR_H_
#define MODULES_BBV_FLEET_TARGET_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_fleet/crossing_limit.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_fleet/fleet_index.h"
#include "bbv_fleet/path_chooser.h"
#include "bbv_fleet/target_board.h"

namespace bbv {

// Chooses where a call goes and accounts for what is under way there.
//
// Engines get a path, plain services the target with the least expected wait.
// Deterministic but for the draws it is handed. Thread safety: none, owned by
// the board's thread.
class TargetSelector {
 public:
  // `board` must outlive the selector; `zone` is this entry's own.
  TargetSelector(TargetBoard* board, std::string zone);

  // Returns where to send `request`, or nothing with `end` set.
  // Precondition: `end` is not null.
  std::optional<CallDispatch> Select(const FleetIndex& index,
                                     const CallRequest& request,
                                     const std::vector<std::string>& excluded,
                                     uint64_t draw,
                                     Instant now,
                                     CallEnd* end);

  // Why the last Select() for an engine found no path; kNone when it did.
  PathFailure last_failure() const { return last_failure_; }

  // Returns `current` with hops replaced that are excluded or cannot be used,
  // or nothing when that cannot be done.
  std::optional<CallDispatch> SelectMend(
      const FleetIndex& index,
      const CallRequest& request,
      const CallDispatch& current,
      const std::vector<std::string>& excluded,
      uint64_t draw,
      Instant now) const;

  // Counts a send as under way, or no longer.
  void Begin(const CallDispatch& dispatch);
  void Finish(CallDispatch* dispatch);

  // Counts the prompt of a send as read, once.
  void MarkRead(CallDispatch* dispatch);

  // Sets how many entries choose from the same targets.
  void SetEntries(int entries);

 private:
  std::optional<CallDispatch> SelectPath(
      const EngineModel& model,
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      uint64_t draw,
      Instant now,
      CallEnd* end);
  std::optional<CallDispatch> SelectTarget(
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      uint64_t draw,
      Instant now,
      CallEnd* end) const;

  // `request` and `excluded` must outlive the query.
  PathQuery MakeQuery(const CallRequest& request,
                      const std::vector<std::string>& excluded,
                      uint64_t draw) const;
  static CallDispatch MakeDispatch(const EngineModel& model,
                                   const EnginePath& path,
                                   const CallRequest& request);

  TargetBoard* board_;
  std::string zone_;
  int entries_ = 1;
  ZoneLinkLimiter crossings_;
  PathChooser paths_;
  PathFailure last_failure_ = PathFailure::kNone;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_SELECTOR_H_
