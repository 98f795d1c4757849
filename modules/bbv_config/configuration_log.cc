#include "bbv_config/configuration_log.h"

#include <algorithm>
#include <utility>

namespace bbv {
namespace {

// Number of records retained to update peers that are slightly behind. Peers
// that are further behind receive a snapshot.
constexpr std::size_t kMaximumRecentRecords = 256;

}  // namespace

ConfigurationLog::ConfigurationLog(RecordErrorHandler on_record_error)
    : on_record_error_(std::move(on_record_error)) {}

bool ConfigurationLog::ApplyLogRecords(const LogRecords& records) {
  const uint64_t version_before = fold_.version();
  uint64_t offset = records.first_offset;
  for (const std::string& record : records.records) {
    if (offset == fold_.next_offset()) {
      ApplyRecord(offset, record);
    } else if (offset > fold_.next_offset()) {
      if (records_after_gap_.empty())
        gap_end_offset_ = offset;
      if (offset == gap_end_offset_ + records_after_gap_.size())
        records_after_gap_.push_back(record);
    }
    ++offset;
  }
  read_offset_ = std::max(read_offset_, offset);
  ResolveGap();
  // A log from which no records have been removed needs no checkpoint.
  if (fold_.next_offset() >= records.log_end)
    caught_up_ = true;
  return fold_.version() != version_before;
}

bool ConfigurationLog::ApplyPeerUpdate(const ConfigurationUpdate& update) {
  const uint64_t version_before = fold_.version();
  if (!update.snapshot.empty()) {
    ConfigurationFold offered;
    const auto restored = offered.Restore(update.snapshot);
    if (!restored) {
      on_record_error_(restored.error());
      return false;
    }
    if (offered.next_offset() <= fold_.next_offset())
      return false;
    fold_ = std::move(offered);
    recent_records_.clear();
  }
  uint64_t offset = update.first_offset;
  for (const std::string& record : update.records) {
    if (offset == fold_.next_offset())
      ApplyRecord(offset, record);
    ++offset;
  }
  read_offset_ = std::max(read_offset_, fold_.next_offset());
  ResolveGap();
  return fold_.version() != version_before;
}

ConfigurationUpdate ConfigurationLog::MakeUpdate(uint64_t from_offset) const {
  ConfigurationUpdate update;
  if (from_offset >= fold_.next_offset())
    return update;
  if (recent_records_.empty() || from_offset < recent_records_first_offset_) {
    update.snapshot = fold_.Snapshot();
    return update;
  }
  update.first_offset = from_offset;
  update.records.assign(
      recent_records_.begin() + static_cast<std::ptrdiff_t>(
                                    from_offset - recent_records_first_offset_),
      recent_records_.end());
  return update;
}

void ConfigurationLog::ApplyRecord(uint64_t offset, const std::string& record) {
  if (const auto applied = fold_.Apply(offset, record); !applied)
    on_record_error_(applied.error());
  if (CheckpointSnapshot(record).empty())
    ++records_since_checkpoint_;
  else
    records_since_checkpoint_ = 0;
  if (recent_records_.empty())
    recent_records_first_offset_ = offset;
  recent_records_.push_back(record);
  if (recent_records_.size() > kMaximumRecentRecords) {
    recent_records_.pop_front();
    ++recent_records_first_offset_;
  }
}

void ConfigurationLog::ResolveGap() {
  if (records_after_gap_.empty())
    return;
  for (auto it = records_after_gap_.rbegin(); it != records_after_gap_.rend();
       ++it) {
    const std::string snapshot = CheckpointSnapshot(*it);
    ConfigurationFold offered;
    if (snapshot.empty() || !offered.Restore(snapshot))
      continue;
    if (offered.next_offset() > fold_.next_offset() &&
        offered.next_offset() >= gap_end_offset_) {
      fold_ = std::move(offered);
      recent_records_.clear();
      break;
    }
  }
  if (fold_.next_offset() < gap_end_offset_)
    return;
  const std::vector<std::string> records = std::move(records_after_gap_);
  records_after_gap_.clear();
  uint64_t offset = gap_end_offset_;
  for (const std::string& record : records) {
    if (offset == fold_.next_offset())
      ApplyRecord(offset, record);
    ++offset;
  }
}

}  // namespace bbv
