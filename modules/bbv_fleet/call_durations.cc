#include "bbv_fleet/call_durations.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kWindow{60'000};
constexpr Milliseconds kStep{250};

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
  Durations& durations = current_[route];
  durations.longest = std::max(durations.longest, duration);
  const auto step = static_cast<std::size_t>(duration / kStep);
  ++durations.counts[std::min(step, kSteps - 1)];
}

template <typename Visitor>
void CallDurations::VisitRecent(const std::string& route,
                                Instant now,
                                Visitor visit) const {
  const auto visit_window = [&](const Window& window) {
    const auto it = window.find(route);
    if (it != window.end())
      visit(it->second);
  };
  if (now < current_began_ + 2 * kWindow)
    visit_window(current_);
  if (now < current_began_ + kWindow)
    visit_window(previous_);
}

std::optional<Milliseconds> CallDurations::Longest(const std::string& route,
                                                   Instant now) const {
  std::optional<Milliseconds> longest;
  VisitRecent(route, now, [&](const Durations& it) {
    longest = std::max(longest.value_or(it.longest), it.longest);
  });
  return longest;
}

std::optional<Milliseconds> CallDurations::Percentile(const std::string& route,
                                                      int percent,
                                                      Instant now) const {
  assert(percent > 0 && percent <= 100);
  std::array<uint64_t, kSteps> counts{};
  uint64_t calls = 0;
  VisitRecent(route, now, [&](const Durations& it) {
    for (std::size_t step = 0; step < kSteps; ++step) {
      counts[step] += it.counts[step];
      calls += it.counts[step];
    }
  });
  if (calls == 0)
    return std::nullopt;
  const uint64_t wanted = (calls * static_cast<uint64_t>(percent) + 99) / 100;
  uint64_t seen = 0;
  std::size_t step = 0;
  while (step + 1 < kSteps && (seen += counts[step]) < wanted)
    ++step;
  if (step + 1 == kSteps)
    return Longest(route, now);
  return kStep * static_cast<int64_t>(step + 1);
}

}  // namespace bbv
