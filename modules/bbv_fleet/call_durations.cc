#include "bbv_fleet/call_durations.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kWindow{60'000};

}  // namespace

void CallDurations::Record(const std::string& route,
                           Milliseconds duration,
                           Instant now) {
  assert(duration >= Milliseconds(0));
  if (now >= current_began_ + kWindow) {
    previous_ = std::exchange(current_, {});
    if (now >= current_began_ + 2 * kWindow)
      previous_.clear();
    current_began_ = now;
  }
  Milliseconds& longest = current_[route];
  longest = std::max(longest, duration);
}

std::optional<Milliseconds> CallDurations::Longest(const std::string& route,
                                                   Instant now) const {
  std::optional<Milliseconds> longest;
  const auto add = [&](const Window& window) {
    const auto it = window.find(route);
    if (it != window.end())
      longest = std::max(longest.value_or(it->second), it->second);
  };
  if (now < current_began_ + 2 * kWindow)
    add(current_);
  if (now < current_began_ + kWindow)
    add(previous_);
  return longest;
}

}  // namespace bbv
