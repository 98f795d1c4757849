#ifndef MODULES_BBV_OBSERVE_LOSS_TABLE_H_
#define MODULES_BBV_OBSERVE_LOSS_TABLE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace bbv {

// Counts the lost requests in entries' logs: those refused, failed, late or
// abandoned by their callers. Groups them by reason, service, entry and time.
//
// Entries limit the rate of their log lines. The table therefore also counts
// the dropped lines; the shares of the reasons cover only the lines present. A
// prefix before the JSON object of a line is ignored, as are lines without an
// object. Thread safety: none.
class LossTable {
 public:
  // `span_ms` is the length of a time span. Precondition: above 0.
  explicit LossTable(int64_t span_ms);

  // Adds the lines of a log, which may be of several processes.
  void Read(std::istream* log);

  // Number of lost requests.
  int64_t total() const { return total_; }

  // Returns the tables, sorted by descending count; time spans by start.
  std::string ToText() const;

  // Returns the same data as a JSON object.
  std::string ToJson() const;

 private:
  using Counts = std::map<std::string, int64_t>;

  int64_t span_ms_;
  int64_t total_ = 0;
  Counts reasons_;
  Counts services_;
  Counts entries_;
  // Counts by reason, for each time span by its start in milliseconds.
  std::map<int64_t, Counts> spans_;
  // Number of dropped log lines by entry.
  Counts dropped_lines_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_LOSS_TABLE_H_
