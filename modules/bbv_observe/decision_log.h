#ifndef MODULES_BBV_OBSERVE_DECISION_LOG_H_
#define MODULES_BBV_OBSERVE_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "bbv_core/event.h"
#include "bbv_core/instant.h"

namespace bbv {

// A named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string, int64_t, double, bool> value;
};

// Structured log of an event loop: one JSON object per line on standard output.
//
// Lines are buffered, and Flush() writes only as much as standard output
// accepts without blocking. Lines that exceed the buffer's size limit or their
// event's rate limit are dropped; the number of dropped lines is logged.
//
// Thread safety: none; used only on the loop's thread.
class DecisionLog {
 public:
  // `node` is the process's name, written in each line.
  explicit DecisionLog(std::string node);

  // Appends a line. `now` is the time for the event's rate limit.
  void Write(Event event, Instant now, std::initializer_list<LogField> fields);

  // Writes buffered lines as far as standard output accepts them without
  // blocking.
  void Flush(Instant now);

  // Lines dropped since the start.
  uint64_t dropped() const { return dropped_; }

 private:
  // Lines of one event within a window of one second.
  struct RateWindow {
    Instant started_at;
    int lines = 0;
    int left_out = 0;
  };

  // Counts a line of `event`; false if it exceeds the event's rate limit.
  bool Admit(Event event, Instant now);
  void Append(Event event, std::initializer_list<LogField> fields);

  std::string node_;
  std::string buffer_;
  std::map<Event, RateWindow> rate_windows_;
  uint64_t dropped_ = 0;
  // The value of dropped_ that was logged last.
  uint64_t reported_dropped_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_DECISION_LOG_H_
