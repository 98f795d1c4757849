#ifndef MODULES_BBV_FLEET_TARGET_SELECTOR_H_
#define MODULES_BBV_FLEET_TARGET_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bbv_admission/room_limits.h"
#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_fleet/fleet_index.h"
#include "bbv_fleet/path_chooser.h"
#include "bbv_fleet/target_registry.h"
#include "bbv_fleet/zone_link_limiter.h"
#include "bbv_recovery/bbv_recovery.h"

namespace bbv {

// Chooses the destination of each call and accounts for the calls in flight.
//
// Engines get a path, plain services the target with the shortest expected
// wait. Deterministic except for the random numbers passed in. Thread safety:
// none, owned by the registry's thread.
class TargetSelector {
 public:
  // `registry` must outlive the selector; `zone` is that of this entry.
  TargetSelector(TargetRegistry* registry, std::string zone);

  // Returns the destination of `request` within `limits`, or nullopt with `end`
  // set. Precondition: `end` is not null.
  std::optional<CallDispatch> Select(const FleetIndex& index,
                                     const CallRequest& request,
                                     const std::vector<std::string>& excluded,
                                     uint64_t random_value,
                                     Instant now,
                                     CallEndReason* end,
                                     const RoomLimits& limits = {});

  // Returns why the last Select() for an engine found no path; kNone if it did.
  PathFailure last_failure() const { return last_failure_; }

  // Returns `current` with the hops replaced that are excluded or unusable, or
  // no path if that is not possible or if other streams are to move first.
  RerouteChoice SelectReroute(const FleetIndex& index,
                              const CallRequest& request,
                              const CallDispatch& current,
                              const StreamProgress& progress,
                              const std::vector<std::string>& excluded,
                              uint64_t random_value,
                              Instant now) const;

  // Returns the stream of `request` as RecoverySchedule takes it.
  static LostStream MakeLostStream(const FleetIndex& index,
                                   const CallRequest& request,
                                   const StreamProgress& progress);

  // Returns the part of `path` that its new hops add to their load.
  static CallDispatch NewHops(const CallDispatch& path);

  // Adds a send to the load of its targets, or removes it.
  void AddInFlight(const CallDispatch& dispatch);
  void RemoveInFlight(CallDispatch* dispatch);

  // Records that the prompt of a send was prefilled; only the first call has an
  // effect.
  void MarkPromptRead(CallDispatch* dispatch);

  // Sets the number of entries that choose from the same targets.
  void SetEntries(int entries);

 private:
  std::optional<CallDispatch> SelectPath(
      const EngineModel& model,
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      uint64_t random_value,
      Instant now,
      CallEndReason* end,
      const RoomLimits& limits);
  std::optional<CallDispatch> SelectTarget(
      const CallRequest& request,
      const std::vector<std::string>& excluded,
      uint64_t random_value,
      Instant now,
      CallEndReason* end,
      const RoomLimits& limits) const;

  // Returns why a call ends whose targets have rate limits that leave this
  // entry no request now: kNoRoom if it may soon send one.
  CallEndReason RateLimitEnd(std::string_view service, Instant now) const;

  // Returns the number of streams of all entries that have lost the hops of
  // `current` that `next` replaces, as a multiple of those of this entry.
  double LostStreamsFactor(const CallDispatch& current,
                           const CallDispatch& next) const;

  // `request` and `excluded` must outlive the query.
  PathQuery MakeQuery(const CallRequest& request,
                      const std::vector<std::string>& excluded,
                      uint64_t random_value) const;
  static CallDispatch MakeDispatch(const EngineModel& model,
                                   const EnginePath& path,
                                   const CallRequest& request);

  TargetRegistry* registry_;
  std::string zone_;
  int entries_ = 1;
  ZoneLinkLimiter zone_link_limiter_;
  PathChooser path_chooser_;
  PathFailure last_failure_ = PathFailure::kNone;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_TARGET_SELECTOR_H_
