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

// One named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string, int64_t, double, bool> value;
};

// Structured log of an event loop: one JSON object a line on standard output.
//
// Lines are buffered and written by Flush() only as far as the reader takes
// them, so that logging never blocks. Lines over the buffer's bound, or over an
// event's rate, are counted and the count is logged.
// Thread safety: none, the loop's thread.
class DecisionLog {
 public:
  // `node` is named in each line.
  explicit DecisionLog(std::string node);

  // Adds a line. `now` decides the event's rate.
  void Write(Event event, Instant now, std::initializer_list<LogField> fields);

  // Writes what standard output takes without waiting.
  void Flush(Instant now);

  // Lines that were left out since the start.
  uint64_t dropped() const { return dropped_; }

 private:
  struct Rate {
    Instant second;
    int lines = 0;
    int left_out = 0;
  };

  bool Admit(Event event, Instant now);
  void Append(Event event, std::initializer_list<LogField> fields);

  std::string node_;
  std::string buffer_;
  std::map<Event, Rate> rates_;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_DECISION_LOG_H_
