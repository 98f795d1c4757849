#ifndef MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "bbv_config/configuration_fold.h"

namespace bbv {

// Consecutive records of a stream. `log_start` is the first offset that the
// log still holds; `log_end` the offset after the last record in it.
struct LogRecords {
  uint64_t first_offset = 0;
  uint64_t log_start = 0;
  uint64_t log_end = 0;
  std::vector<std::string> records;
};

// What a node hands to a peer that is behind: records or a snapshot.
struct ConfigurationUpdate {
  uint64_t first_offset = 0;
  std::vector<std::string> records;
  std::string snapshot;
};

// Brings the fold forward from the log, from checkpoints and from peers; it
// never goes back.
//
// Pure. Thread safety: none, owned by the control thread.
class ConfigurationLog {
 public:
  // Called for each record that cannot be read.
  using RecordErrorHandler = std::function<void(const Error&)>;

  explicit ConfigurationLog(RecordErrorHandler on_record_error);

  // Takes records read from the log. Records before next_offset() are ignored.
  // Past a gap (retention dropped what came between) the newest checkpoint
  // that bridges it is used. Returns whether the configuration changed.
  bool TakeFromLog(const LogRecords& records);

  // Takes what a peer handed over; anything that is not ahead of the fold is
  // ignored. Returns whether the configuration changed.
  bool TakeFromPeer(const ConfigurationUpdate& update);

  // Returns what brings a peer at `from_offset` up to this node's state.
  ConfigurationUpdate MakeUpdate(uint64_t from_offset) const;

  // Returns the offset to read the log from next.
  uint64_t read_offset() const { return read_offset_; }

  // Returns whether the fold has reached the end of the log once.
  bool caught_up() const { return caught_up_; }

  // Returns records folded since the last checkpoint seen; the caller writes a
  // checkpoint when this grows large or half the retention has passed.
  uint64_t records_since_checkpoint() const {
    return records_since_checkpoint_;
  }

  const ConfigurationFold& fold() const { return fold_; }

 private:
  void ApplyRecord(uint64_t offset, const std::string& record);
  void ResolveGap();

  RecordErrorHandler on_record_error_;
  ConfigurationFold fold_;
  std::deque<std::string> recent_records_;
  uint64_t recent_records_first_offset_ = 0;
  // Records after a gap, kept until a checkpoint bridges it.
  std::vector<std::string> records_after_gap_;
  uint64_t gap_end_offset_ = 0;
  uint64_t read_offset_ = 0;
  uint64_t records_since_checkpoint_ = 0;
  bool caught_up_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_
