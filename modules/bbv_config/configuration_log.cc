#include "bbv_config/configuration_log.h"

#include <algorithm>
#include <utility>

namespace bbv {
namespace {

// Records kept to hand to peers that are a little behind.
constexpr std::size_t kMaximumRecentRecords = 256;

}  // namespace

ConfigurationLog::ConfigurationLog(FaultSink on_fault)
    : on_fault_(std::move(on_fault)) {}

bool ConfigurationLog::TakeFromLog(const LogRecords& records) {
  const uint64_t version_before = fold_.version();
  uint64_t offset = records.first_offset;
  for (const std::string& record : records.records) {
    if (offset == fold_.next_offset()) {
      ApplyOne(offset, record);
    } else if (offset > fold_.next_offset()) {
      if (detached_.empty())
        detached_first_offset_ = offset;
      if (offset == detached_first_offset_ + detached_.size())
        detached_.push_back(record);
    }
    ++offset;
  }
  read_offset_ = std::max(read_offset_, offset);
  BridgeGap();
  // A fresh log (nothing dropped) needs no checkpoint to be complete.
  if (fold_.next_offset() >= records.log_end)
    caught_up_ = true;
  return fold_.version() != version_before;
}

bool ConfigurationLog::TakeFromPeer(const ConfigurationUpdate& update) {
  const uint64_t version_before = fold_.version();
  if (!update.snapshot.empty()) {
    ConfigurationFold offered;
    const auto restored = offered.Restore(update.snapshot);
    if (!restored) {
      on_fault_(restored.error());
      return false;
    }
    if (offered.next_offset() <= fold_.next_offset())
      return false;
    fold_ = std::move(offered);
    recent_.clear();
  }
  uint64_t offset = update.first_offset;
  for (const std::string& record : update.records) {
    if (offset == fold_.next_offset())
      ApplyOne(offset, record);
    ++offset;
  }
  read_offset_ = std::max(read_offset_, fold_.next_offset());
  BridgeGap();
  return fold_.version() != version_before;
}

ConfigurationUpdate ConfigurationLog::MakeUpdate(uint64_t from_offset) const {
  ConfigurationUpdate update;
  if (from_offset >= fold_.next_offset())
    return update;
  if (recent_.empty() || from_offset < recent_first_offset_) {
    update.snapshot = fold_.Snapshot();
    return update;
  }
  update.first_offset = from_offset;
  update.records.assign(
      recent_.begin() +
          static_cast<std::ptrdiff_t>(from_offset - recent_first_offset_),
      recent_.end());
  return update;
}

void ConfigurationLog::ApplyOne(uint64_t offset, const std::string& record) {
  if (const auto applied = fold_.Apply(offset, record); !applied)
    on_fault_(applied.error());
  if (CheckpointSnapshot(record).empty())
    ++records_since_checkpoint_;
  else
    records_since_checkpoint_ = 0;
  if (recent_.empty())
    recent_first_offset_ = offset;
  recent_.push_back(record);
  if (recent_.size() > kMaximumRecentRecords) {
    recent_.pop_front();
    ++recent_first_offset_;
  }
}

void ConfigurationLog::BridgeGap() {
  if (detached_.empty())
    return;
  for (auto it = detached_.rbegin(); it != detached_.rend(); ++it) {
    const std::string snapshot = CheckpointSnapshot(*it);
    ConfigurationFold offered;
    if (snapshot.empty() || !offered.Restore(snapshot))
      continue;
    if (offered.next_offset() > fold_.next_offset() &&
        offered.next_offset() >= detached_first_offset_) {
      fold_ = std::move(offered);
      recent_.clear();
      break;
    }
  }
  if (fold_.next_offset() < detached_first_offset_)
    return;
  const std::vector<std::string> records = std::move(detached_);
  detached_.clear();
  uint64_t offset = detached_first_offset_;
  for (const std::string& record : records) {
    if (offset == fold_.next_offset())
      ApplyOne(offset, record);
    ++offset;
  }
}

}  // namespace bbv
