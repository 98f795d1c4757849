#ifndef MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_
#define MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "bbv_config/configuration_fold.h"

namespace bbv {

// Consecutive records read from a log topic. `log_start` is the first offset
// that the log retains and `log_end` the offset after its last record.
struct LogRecords {
  uint64_t first_offset = 0;
  uint64_t log_start = 0;
  uint64_t log_end = 0;
  std::vector<std::string> records;
};

// An update for a peer with an older configuration. Contains either records
// that start at `first_offset` or a snapshot.
struct ConfigurationUpdate {
  uint64_t first_offset = 0;
  std::vector<std::string> records;
  std::string snapshot;
};

// Advances a ConfigurationFold with log records, checkpoints and updates from
// peers. Never returns to an older state.
//
// Free of side effects. Not thread safe; owned by the control thread.
class ConfigurationLog {
 public:
  // Called for each invalid record or snapshot.
  using RecordErrorHandler = std::function<void(const Error&)>;

  explicit ConfigurationLog(RecordErrorHandler on_record_error);

  // Applies records read from the log. Ignores records before the fold's
  // next_offset(). If log retention has removed records in between, restores
  // the newest checkpoint that covers the gap. Returns whether the
  // configuration changed.
  bool ApplyLogRecords(const LogRecords& records);

  // Applies an update from a peer. Ignores records and snapshots that are not
  // newer than the fold. Returns whether the configuration changed.
  bool ApplyPeerUpdate(const ConfigurationUpdate& update);

  // Returns an update that advances a peer from `from_offset` to the state of
  // this node. The update is empty if the peer is up to date.
  ConfigurationUpdate MakeUpdate(uint64_t from_offset) const;

  // Returns the offset from which to read the log next.
  uint64_t read_offset() const { return read_offset_; }

  // Returns whether the fold has ever reached the end of the log.
  bool caught_up() const { return caught_up_; }

  // Returns the number of records applied since the last checkpoint. The caller
  // must write a checkpoint once this number is large or half of the log's
  // retention time has passed.
  uint64_t records_since_checkpoint() const {
    return records_since_checkpoint_;
  }

  const ConfigurationFold& fold() const { return fold_; }

 private:
  void ApplyRecord(uint64_t offset, const std::string& record);
  // Restores the newest checkpoint that covers the gap, if there is one, and
  // applies the records after the gap.
  void ResolveGap();

  RecordErrorHandler on_record_error_;
  ConfigurationFold fold_;
  // Last applied records, sent to peers that are slightly behind.
  std::deque<std::string> recent_records_;
  uint64_t recent_records_first_offset_ = 0;
  // Records after a gap, kept until a checkpoint or a peer's update covers it.
  std::vector<std::string> records_after_gap_;
  uint64_t gap_end_offset_ = 0;
  uint64_t read_offset_ = 0;
  uint64_t records_since_checkpoint_ = 0;
  bool caught_up_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_CONFIGURATION_LOG_H_
