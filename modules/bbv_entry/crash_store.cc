#include "bbv_entry/crash_store.h"

#include <cassert>
#include <string_view>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/crash_messages.h"

namespace bbv {
namespace {

constexpr std::string_view kQuarantinePrefix = "quarantine-";
constexpr std::string_view kEvidencePrefix = "evidence-";
constexpr Milliseconds kStoreTimeout{1500};
constexpr Milliseconds kCallInterval{500};
// Shortest time between two records of evidence, and the time after which
// unchanged evidence is written again, with the output seen since.
constexpr Milliseconds kEvidenceInterval{100};
constexpr Milliseconds kEvidenceRenewInterval{5000};
constexpr std::size_t kMaxRecordBytes = 64U << 10U;
// Suspects in one record: the store charges for bytes.
constexpr std::size_t kMaxSuspectsOfRecord = 512;
constexpr int kOk = 200;

std::string KeyOf(const QuarantineRow& row) {
  return std::string(kQuarantinePrefix) +
         std::to_string(
             HashBytes(row.service + ' ' + FormatTraits(row.traits)));
}

std::string EvidenceKeyOf(const std::string& service) {
  return std::string(kEvidencePrefix) + std::to_string(HashBytes(service));
}

// Returns the crashes, the latest first, up to kMaxSuspectsOfRecord suspects.
wire::CrashNoticeT MakeNotice(const std::string& service,
                              const std::vector<CrashReport>& crashes,
                              Instant now) {
  wire::CrashNoticeT notice;
  std::size_t suspects = 0;
  for (auto it = crashes.rbegin(); it != crashes.rend(); ++it) {
    suspects += it->suspects.size() + it->silent_calls.size();
    if (suspects > kMaxSuspectsOfRecord)
      break;
    notice.crashes.push_back(ToMessage(service, *it, now));
  }
  return notice;
}

}  // namespace

CrashStore::CrashStore(StoreClient* store, DecisionLog* log, CrashGuard* guard)
    : store_(store), log_(log), guard_(guard) {
  assert(store != nullptr && log != nullptr && guard != nullptr);
}

bool CrashStore::IsKey(const std::string& key) {
  return key.starts_with(kQuarantinePrefix) || key.starts_with(kEvidencePrefix);
}

bool CrashStore::OnRecord(const platform::KeyedRecord& record, Instant now) {
  FrameReader reader(kMaxRecordBytes);
  reader.Append(record.value);
  wire::FrameT frame;
  const Result<bool> whole = reader.Next(&frame);
  const auto* notice = whole && *whole ? frame.body.AsCrashNotice() : nullptr;
  if (notice == nullptr)
    return false;
  if (record.key.starts_with(kQuarantinePrefix)) {
    if (notice->quarantines.size() != 1)
      return false;
    stored_quarantines_.insert(record.key);
    guard_->OnQuarantines(notice->quarantines, now);
    return true;
  }
  if (notice->crashes.empty())
    return false;
  const std::string& service = notice->crashes.front().service;
  stored_evidence_.try_emplace(record.key, StoredEvidence{service, {}, now});
  for (const wire::TargetCrashT& it : notice->crashes)
    guard_->RestoreCrash(service, FromMessage(it, now), now);
  return true;
}

void CrashStore::OnTick(bool is_writer, Instant now) {
  if (call_in_flight_ || now < next_call_at_ || !is_writer)
    return;
  // A store that was restored from an older copy may have lost records.
  if (std::exchange(era_, store_->era()) != store_->era()) {
    stored_quarantines_.clear();
    stored_evidence_.clear();
  }
  if (!WriteQuarantine(now) && now >= next_evidence_at_)
    WriteEvidence(now);
}

bool CrashStore::WriteQuarantine(Instant now) {
  const CallQuarantine& quarantine = guard_->quarantine();
  if (quarantine.active() == 0 && stored_quarantines_.empty())
    return false;
  for (const QuarantineRow& it : quarantine.Rows()) {
    const std::string key = KeyOf(it);
    if (it.lifted != stored_quarantines_.contains(key))
      continue;
    if (it.lifted) {
      Write(key, std::nullopt, [this, key] { stored_quarantines_.erase(key); });
      return true;
    }
    wire::CrashNoticeT notice;
    notice.quarantines.push_back(ToMessage(it, now));
    Write(key, std::move(notice),
          [this, key] { stored_quarantines_.insert(key); });
    return true;
  }
  return false;
}

bool CrashStore::WriteEvidence(Instant now) {
  for (const auto& [service, evidence] : guard_->evidence()) {
    if (WriteEvidenceOf(service, evidence, now))
      return true;
  }
  return false;
}

bool CrashStore::WriteEvidenceOf(const std::string& service,
                                 const CrashEvidence& evidence,
                                 Instant now) {
  const std::string key = EvidenceKeyOf(service);
  const auto stored = stored_evidence_.find(key);
  const bool is_stored = stored != stored_evidence_.end();
  if (!is_stored && (evidence.size() == 0 ||
                     unkept_revisions_[service] == evidence.revision()))
    return false;
  if (is_stored && stored->second.revision == evidence.revision() &&
      now < stored->second.written_at + kEvidenceRenewInterval)
    return false;
  next_evidence_at_ = now + kEvidenceInterval;
  const std::vector<CrashReport> crashes = evidence.KeptCrashes();
  if (crashes.empty()) {
    unkept_revisions_[service] = evidence.revision();
    if (!is_stored)
      return false;
    Write(key, std::nullopt, [this, key] { stored_evidence_.erase(key); });
    return true;
  }
  const StoredEvidence written{service, evidence.revision(), now};
  Write(key, MakeNotice(service, crashes, now),
        [this, key, written] { stored_evidence_[key] = written; });
  return true;
}

void CrashStore::Write(const std::string& key,
                       std::optional<wire::CrashNoticeT> notice,
                       std::function<void()> on_stored) {
  std::string value;
  if (notice)
    value = EncodeFrame(MakeFrame(std::move(*notice)));
  call_in_flight_ = true;
  store_->Call(
      platform::EncodeKeyedAppend(platform::kEntryTopic, key, value),
      kStoreTimeout,
      [this, key,
       on_stored = std::move(on_stored)](const Result<StoreAnswer>& answer) {
        call_in_flight_ = false;
        if (answer && answer->status == kOk) {
          on_stored();
          return;
        }
        const Instant failed_at = EventLoop::Now();
        next_call_at_ = failed_at + kCallInterval;
        log_->Write(Event::kQuarantineNotStored, failed_at, {{"key", key}});
      });
}

}  // namespace bbv
