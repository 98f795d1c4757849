#ifndef MODULES_BBV_FLEET_CALL_DURATIONS_H_
#define MODULES_BBV_FLEET_CALL_DURATIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "bbv_core/instant.h"

namespace bbv {

// Tracks how long the recent calls of each route took.
//
// Durations are kept for one to two windows of a fixed length, so that a single
// slow call does not count for ever and routes that are gone take no memory.
// Deterministic. Not thread-safe; must be used from one thread.
class CallDurations {
 public:
  // Records that a call of `route` ended at `now`, `duration` after it arrived.
  // `now` must not decrease from call to call.
  void Record(const std::string& route, Milliseconds duration, Instant now);

  // Returns the longest duration recorded lately; nullopt if there is none.
  std::optional<Milliseconds> Longest(const std::string& route,
                                      Instant now) const;

  // Returns a duration that at least `percent` of the calls recorded lately did
  // not exceed, rounded up to a step of 250 ms; nullopt if there is none.
  // Precondition: 0 < percent <= 100.
  std::optional<Milliseconds> Percentile(const std::string& route,
                                         int percent,
                                         Instant now) const;

 private:
  // Calls counted by duration; the last step holds all longer ones.
  static constexpr std::size_t kSteps = 128;
  struct Durations {
    Milliseconds longest{0};
    std::array<uint32_t, kSteps> counts{};
  };
  using Window = std::map<std::string, Durations>;

  // Calls `visit` with the durations of `route` in each window that still
  // counts at `now`.
  template <typename Visitor>
  void VisitRecent(const std::string& route, Instant now, Visitor visit) const;

  Window current_;
  Window previous_;
  Instant current_began_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CALL_DURATIONS_H_
