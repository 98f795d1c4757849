#ifndef MODULES_BBV_ADMISSION_ROOM_LIMITS_H_
#define MODULES_BBV_ADMISSION_ROOM_LIMITS_H_

namespace bbv {

// How much of the targets' capacity a new call may use. The default limits
// nothing beyond the call's own objective.
struct RoomLimits {
  // Maximum prefill backlog of a hop in milliseconds; 0 for the call's own
  // objective.
  double max_backlog_ms = 0;
  // Shares of slots and memory, and of the burst that links between zones
  // allow, that the call must leave free.
  double kept_share = 0;
  double kept_link_share = 0;

  bool keeps_room() const { return kept_share > 0; }
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_ROOM_LIMITS_H_
