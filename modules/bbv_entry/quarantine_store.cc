#include "bbv_entry/quarantine_store.h"

#include <cassert>
#include <string_view>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/crash_messages.h"

namespace bbv {
namespace {

constexpr std::string_view kKeyPrefix = "quarantine-";
constexpr Milliseconds kStoreTimeout{1500};
constexpr Milliseconds kCallInterval{500};
constexpr std::size_t kMaxRecordBytes = 4096;
constexpr int kOk = 200;

std::string KeyOf(const QuarantineRow& row) {
  return std::string(kKeyPrefix) +
         std::to_string(
             HashBytes(row.service + ' ' + FormatTraits(row.traits)));
}

}  // namespace

QuarantineStore::QuarantineStore(StoreClient* store, DecisionLog* log)
    : store_(store), log_(log) {
  assert(store != nullptr && log != nullptr);
}

bool QuarantineStore::IsKey(const std::string& key) {
  return key.starts_with(kKeyPrefix);
}

std::optional<wire::QuarantinedPartsT> QuarantineStore::OnRecord(
    const platform::KeyedRecord& record) {
  FrameReader reader(kMaxRecordBytes);
  reader.Append(record.value);
  wire::FrameT frame;
  const Result<bool> whole = reader.Next(&frame);
  auto* notice = whole && *whole ? frame.body.AsCrashNotice() : nullptr;
  if (notice == nullptr || notice->quarantines.size() != 1)
    return std::nullopt;
  stored_.insert(record.key);
  return std::move(notice->quarantines.front());
}

void QuarantineStore::OnTick(const CallQuarantine& quarantine,
                             bool is_writer,
                             Instant now) {
  if (call_in_flight_ || now < next_call_at_ || !is_writer ||
      (quarantine.active() == 0 && stored_.empty()))
    return;
  // A store that was restored from an older copy may have lost records.
  if (std::exchange(era_, store_->era()) != store_->era())
    stored_.clear();
  for (const QuarantineRow& it : quarantine.Rows()) {
    const std::string key = KeyOf(it);
    if (it.lifted != stored_.contains(key))
      continue;
    Write(it, key, now);
    return;
  }
}

void QuarantineStore::Write(const QuarantineRow& row,
                            const std::string& key,
                            Instant now) {
  std::string value;
  if (!row.lifted) {
    wire::CrashNoticeT notice;
    notice.quarantines.push_back(ToMessage(row, now));
    value = EncodeFrame(MakeFrame(std::move(notice)));
  }
  call_in_flight_ = true;
  store_->Call(
      platform::EncodeKeyedAppend(platform::kEntryTopic, key, value),
      kStoreTimeout,
      [this, key, lifted = row.lifted](const Result<StoreAnswer>& answer) {
        call_in_flight_ = false;
        if (!answer || answer->status != kOk) {
          const Instant failed_at = EventLoop::Now();
          next_call_at_ = failed_at + kCallInterval;
          log_->Write(Event::kQuarantineNotStored, failed_at, {{"key", key}});
          return;
        }
        if (lifted)
          stored_.erase(key);
        else
          stored_.insert(key);
      });
}

}  // namespace bbv
