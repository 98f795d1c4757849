#ifndef MODULES_BBV_OBSERVE_LOSS_TABLE_H_
#define MODULES_BBV_OBSERVE_LOSS_TABLE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace bbv {

// Counts the requests that entries' logs tell to have been refused, failed,
// late or left by their callers, by reason, service, entry and span of time.
//
// Entries bound their lines, so that what was left out is counted as well; a
// reason's share is then that of the lines that stand. Lines that are not JSON
// objects are passed over, and whatever stands before the object on its line.
// Thread safety: none.
class LossTable {
 public:
  // `span_ms` is the length of each span of time. Precondition: above 0.
  explicit LossTable(int64_t span_ms);

  // Takes the log of one or more processes.
  void Read(std::istream* log);

  // Requests counted.
  int64_t total() const { return total_; }

  // Returns tables of counts, the largest first, spans in their order.
  std::string ToText() const;

  // Returns the same as one JSON object.
  std::string ToJson() const;

 private:
  using Counts = std::map<std::string, int64_t>;

  int64_t span_ms_;
  int64_t total_ = 0;
  Counts reasons_;
  Counts services_;
  Counts entries_;
  // Counts by reason of each span, by its start.
  std::map<int64_t, Counts> spans_;
  // Lines that each entry has left out so far.
  Counts left_out_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_LOSS_TABLE_H_
